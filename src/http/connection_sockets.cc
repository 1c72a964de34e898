#include "http/connection_sockets.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/types.h>

#include <algorithm>

namespace gentianlb::http {
namespace {

// IPv4 and IPv6 addresses have the port at the same place.
int PortOf(const sockaddr_storage& address) {
  return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
}

// Returns whether a socket is still that of the connection: libcurl may have
// closed it, and its number may be another file's by now.
bool HasPorts(int socket, PortPair ports) {
  sockaddr_storage local = {};
  sockaddr_storage remote = {};
  socklen_t local_size = sizeof local;
  socklen_t remote_size = sizeof remote;
  return getsockname(socket, reinterpret_cast<sockaddr*>(&local),
                     &local_size) == 0 &&
         getpeername(socket, reinterpret_cast<sockaddr*>(&remote),
                     &remote_size) == 0 &&
         PortPair{PortOf(local), PortOf(remote)} == ports;
}

bool HasBytes(int socket) {
  char byte = 0;
  return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

}  // namespace

bool ConnectionSockets::HasUnreadBytes(PortPair ports) const {
  return std::any_of(ports_.begin(), ports_.end(), [&](const auto& entry) {
    const auto& [socket, known] = entry;
    return known == ports && HasPorts(socket, ports) && HasBytes(socket);
  });
}

}  // namespace gentianlb::http
