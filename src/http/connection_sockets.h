// Finds out whether a kept connection may carry a request, before it is sent.
//
// A server may write more than one response to a request. Bytes that wait at a
// connection are such a response, which libcurl would read as the beginning of
// the next one. A response that comes later names the request that it belongs
// to, not the send: a connection that has carried that request before proves
// nothing about a later send of it.

#ifndef GENTIANLB_HTTP_CONNECTION_SOCKETS_H_
#define GENTIANLB_HTTP_CONNECTION_SOCKETS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

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
  // Bounds what is remembered of a connection.
  static constexpr std::size_t kMaxRequests = 256;

  // Records a connection that was made. A socket whose number was used before
  // replaces the earlier one, so that what is kept is bounded.
  void OnMade(int socket, PortPair ports) {
    connections_[socket] = {ports, {}};
  }

  // Returns whether bytes have arrived at a connection and were not read.
  // Returns false for a connection that isn't known.
  bool HasUnreadBytes(PortPair ports) const;

  // Records that a connection carries the request with this id from now on.
  // Returns false, and records nothing, if it may have carried it before: also
  // if the connection isn't known, or has carried kMaxRequests.
  bool Carry(PortPair ports, std::string_view request_id);

 private:
  struct Connection {
    PortPair ports;
    std::vector<std::uint32_t> requests;  // Hashes of their ids.
  };

  // Returns null if it isn't known.
  Connection* Find(PortPair ports);

  absl::flat_hash_map<int, Connection> connections_;  // By socket.
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_CONNECTION_SOCKETS_H_
