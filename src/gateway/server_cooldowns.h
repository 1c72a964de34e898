// The cooldowns that backend servers have asked of this host.
//
// An overloaded server refuses a request and says for how long it wants no
// other from the host that sent it. The wish is one of this server to this host
// alone: other hosts may be welcome. Dispatchers change and may not know of it,
// so the host that sends checks it last.

#ifndef GENTIANLB_GATEWAY_SERVER_COOLDOWNS_H_
#define GENTIANLB_GATEWAY_SERVER_COOLDOWNS_H_

#include <cstddef>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gateway/directory.h"
#include "gateway/messages.h"

namespace gentianlb::gateway {

class ServerCooldowns {
 public:
  // Records that `server` asked for `span` from `now` on. Of overlapping
  // cooldowns the later end counts. Returns whether the end has changed.
  bool OnAsked(const ServerEntry& server, absl::Duration span, absl::Time now);

  // Forgets the cooldowns of servers that have restarted since. Those of
  // servers that are not registered stay until their end: a registration may
  // lapse and come back while the server runs on.
  void ForgetRestarted(const Directory& directory);

  // Returns the time left of the server's cooldown; zero if there is none.
  absl::Duration Left(const ServerId& server, absl::Time now) const;

  // Returns all that have not ended, in the order of the servers' ids.
  std::vector<schedule::ServerCooldown> Active(absl::Time now) const;

 private:
  struct Cooldown {
    ServerEntry server;  // That asked for it.
    absl::Time until;
  };

  absl::flat_hash_map<ServerId, Cooldown> cooldowns_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_SERVER_COOLDOWNS_H_
