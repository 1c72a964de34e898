// The process of an entry host on the users' platform.

#ifndef GENTIANLB_GENTIANLB_GATEWAY_H_
#define GENTIANLB_GENTIANLB_GATEWAY_H_

#include <string>

namespace gentianlb {

// Runs until SIGTERM has drained it; SIGHUP reads the settings again. The exit
// code is one of docs/RESULT_CODES.md.
int RunGateway(const std::string& settings_path);

}  // namespace gentianlb

#endif  // GENTIANLB_GENTIANLB_GATEWAY_H_
