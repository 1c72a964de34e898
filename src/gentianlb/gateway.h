// The entry host process on the users' platform.

#ifndef GENTIANLB_GENTIANLB_GATEWAY_H_
#define GENTIANLB_GENTIANLB_GATEWAY_H_

#include <string>

namespace gentianlb {

// Runs an entry host until it has drained after SIGTERM or SIGINT; SIGHUP reads
// the settings again. Returns an exit code, see docs/RESULT_CODES.md.
int RunGateway(const std::string& settings_path);

}  // namespace gentianlb

#endif  // GENTIANLB_GENTIANLB_GATEWAY_H_
