// Finds out whether bytes wait at a kept connection before a request is sent on
// it. They can't belong to that request's response: a server has written more
// than one response to an earlier request. libcurl would read them as the
// beginning of the next response.

#ifndef GENTIANLB_HTTP_CONNECTION_SOCKETS_H_
#define GENTIANLB_HTTP_CONNECTION_SOCKETS_H_

#include "absl/container/flat_hash_map.h"

namespace gentianlb::http {

// The ports of the two ends of a connection on this host's side.
struct PortPair {
  int local = 0;
  int remote = 0;

  bool operator==(const PortPair&) const = default;
};

// The sockets of one client's connections. Not thread-safe.
class ConnectionSockets {
 public:
  // Records a connection that was made. A socket whose number was used before
  // replaces the earlier one, so that what is kept is bounded.
  void OnMade(int socket, PortPair ports) { ports_[socket] = ports; }

  // Returns whether bytes have arrived at a connection and were not read.
  // Returns false for a connection that isn't known.
  bool HasUnreadBytes(PortPair ports) const;

 private:
  absl::flat_hash_map<int, PortPair> ports_;  // By socket.
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_CONNECTION_SOCKETS_H_
