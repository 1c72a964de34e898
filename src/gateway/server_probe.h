// A question to whoever listens at a server's address: which server is it?

#ifndef GENTIANLB_GATEWAY_SERVER_PROBE_H_
#define GENTIANLB_GATEWAY_SERVER_PROBE_H_

#include <cstdint>
#include <functional>
#include <string_view>

#include "gateway/configuration.h"
#include "gateway/messages.h"

namespace gentianlb::gateway {

// What a probe has shown.
enum class ServerProbe {
  kSame,          // The server itself has answered.
  kOther,         // Another server, or the same one started anew.
  kUnidentified,  // An answer that names no server.
  kRefused,       // Nothing listens at the address.
  kUnanswered,
};

// Returns the name for log lines and metrics.
std::string_view Name(ServerProbe probe);

// Asks servers who they are, in the platform's way. Implemented by its adapter,
// and by fakes in tests.
struct IdentityPort {
  // Asks on a connection of its own, so that no late answer to another request
  // is taken for this one's. `service`: of the server; null if it is not
  // configured any more. Calls `done` once, later, with kUnanswered if no
  // connection was made. Returns an id.
  std::function<std::uint64_t(const ServerEntry& server, const Service* service,
                              std::function<void(ServerProbe)> done)>
      ask;
  // Gives up without a call. Does nothing if the question has been answered.
  std::function<void(std::uint64_t id)> cancel;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_SERVER_PROBE_H_
