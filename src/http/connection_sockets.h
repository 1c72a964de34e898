// Finds out whether a kept connection may carry a request, before it is sent,
// and whether the other side had all of it when a connection was closed.
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
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace gentianlb::http {

// The two ends of a connection. Connections to servers at several addresses may
// share both ports.
struct ConnectionEnds {
  int local_port = 0;
  int remote_port = 0;
  std::string local_ip;
  std::string remote_ip;

  bool operator==(const ConnectionEnds&) const = default;
};

// The sockets of one client's connections. Not thread-safe.
class ConnectionSockets {
 public:
  // Bounds what is remembered of a connection.
  static constexpr std::size_t kMaxRequests = 256;
  // Bounds the connections that are remembered as closed early. A transfer asks
  // as soon as it ends.
  static constexpr std::size_t kMaxClosedEarly = 32;

  // Records a connection that was made. A socket whose number was used before
  // replaces the earlier one, so that what is kept is bounded.
  void OnMade(int socket, ConnectionEnds ends);

  // Closes a connection's socket, and remembers it for a while if the other
  // side had not acknowledged all that was sent. Returns what close() returns.
  int Close(int socket);
  // Returns whether the connection was closed before the other side had
  // acknowledged all that was sent, and forgets that.
  bool TakeClosedEarly(const ConnectionEnds& ends);

  // Returns whether bytes have arrived at a connection and were not read.
  // Returns false for a connection that isn't known.
  bool HasUnreadBytes(const ConnectionEnds& ends) const;

  // Records that a connection carries the request with this id from now on.
  // Returns false, and records nothing, if it may have carried it before: also
  // if the connection isn't known, or has carried kMaxRequests.
  bool Carry(const ConnectionEnds& ends, std::string_view request_id);

 private:
  struct Connection {
    ConnectionEnds ends;
    std::vector<std::uint32_t> requests;  // Hashes of their ids.
  };

  // Returns null if it isn't known.
  Connection* Find(const ConnectionEnds& ends);

  absl::flat_hash_map<int, Connection> connections_;  // By socket.
  std::deque<ConnectionEnds> closed_early_;           // The oldest first.
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_CONNECTION_SOCKETS_H_
