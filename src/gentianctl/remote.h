// Calls to an entry host's control address.

#ifndef GENTIANLB_GENTIANCTL_REMOTE_H_
#define GENTIANLB_GENTIANCTL_REMOTE_H_

#include <json/json.h>

#include <string>

#include "base/result.h"
#include "gentianctl/command.h"

namespace gentianlb::ctl {

// Which entry host, and by which key.
struct Remote {
  std::string host;      // IP:PORT of the control address.
  std::string key_file;  // Holds the operators' key.
  std::string ca_file;   // Set: over TLS, checked against it.
  std::string format = "text";
  double timeout_seconds = 30;
};

// Adds the options that lead to an entry host, without `--host`.
void AddAccess(CLI::App* command, Remote* remote);

// The same with one `--host`.
void AddRemote(CLI::App* command, Remote* remote);

// Calls `method` and waits. kPeerUnreachable when nothing was sent or no answer
// came; then the call may still have taken effect.
Outcome<Json::Value> Call(const Remote& remote, const std::string& method,
                          const Json::Value& params);

// Prints the answer's `text`, or all of it as JSON; an error otherwise.
Exit Show(const std::string& format, const Outcome<Json::Value>& answer);

// The exit code that stands for an error.
Exit ExitFor(const Error& error);

}  // namespace gentianlb::ctl

#endif  // GENTIANLB_GENTIANCTL_REMOTE_H_
