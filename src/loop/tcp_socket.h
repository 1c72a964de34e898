// Options and addresses of TCP sockets, shared by all connections between
// machines.

#ifndef GENTIANLB_LOOP_TCP_SOCKET_H_
#define GENTIANLB_LOOP_TCP_SOCKET_H_

#include <netinet/in.h>

#include <cstdint>
#include <string>

#include "absl/time/time.h"

namespace gentianlb::loop {

// Fills in `address`. Returns false if `ip` is not an IPv4 address.
bool MakeAddress(const std::string& ip, std::uint16_t port,
                 sockaddr_in* address);

// A connection ends when sent bytes stay unacknowledged for this long. Allows
// several TCP retransmissions, and is shorter than a caller's timeout of
// seconds.
inline constexpr absl::Duration kMaxUnacknowledged = absl::Milliseconds(2500);

// Sets keepalive and unacknowledged-data timeouts. For a powered-off or
// partitioned peer, the kernel's default timeout is a quarter of an hour.
void SetLivenessOptions(int socket,
                        absl::Duration max_unacknowledged = kMaxUnacknowledged);

// Sets keepalive alone, so that even an idle connection is acknowledged about
// once a second. A connection whose other side answers, but doesn't read,
// stays.
void SetKeepalive(int socket);

// Returns for how long the other side of a connection with SetKeepalive() has
// acknowledged nothing, although bytes or a probe wait for it. Zero if nothing
// waits, or if the kernel doesn't say.
absl::Duration UnacknowledgedFor(int socket);

// Returns whether the other side has acknowledged all that was sent; true if
// the kernel doesn't say.
bool IsAllAcknowledged(int socket);

}  // namespace gentianlb::loop

#endif  // GENTIANLB_LOOP_TCP_SOCKET_H_
