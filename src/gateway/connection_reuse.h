// Decides whether a request may go to a backend server on a kept connection.
//
// A faulty server writes an answer a second time, late, where the answer to the
// next request on that connection is due. That request is lost to its caller,
// and may have run. Once a server has done so, its connections carry one
// request each for a while: what comes late on them reaches nobody.

#ifndef GENTIANLB_GATEWAY_CONNECTION_REUSE_H_
#define GENTIANLB_GATEWAY_CONNECTION_REUSE_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "absl/time/time.h"
#include "gateway/messages.h"

namespace gentianlb::gateway {

class ConnectionReuse {
 public:
  // A new connection costs a round trip, and a call that may run once costs its
  // caller far more.
  static constexpr absl::Duration kPause = absl::Minutes(1);
  // Bounds the memory. Of more servers, those whose pauses end first are
  // forgotten.
  static constexpr std::size_t kMaxServers = 1024;

  // Records that `server` answered with another request's answer. Returns
  // whether a pause of reuse begins; otherwise it is prolonged.
  bool OnOtherAnswer(const ServerEntry& server, absl::Time now);

  // Another server at the address shares its connections, and its pause. A
  // server that has restarted since has none.
  bool MayReuse(const ServerEntry& server, absl::Time now) const;

  // Returns the number of servers that are remembered.
  std::size_t size() const { return pauses_.size(); }

 private:
  struct Pause {
    ServerId server;
    std::int64_t started = 0;  // As in ServerEntry.
    absl::Time until;
  };

  void MakeRoom(absl::Time now);

  std::map<settings::Endpoint, Pause> pauses_;  // By address.
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_CONNECTION_REUSE_H_
