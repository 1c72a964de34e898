#include "http/connection_sockets.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/types.h>

#include <algorithm>

#include "absl/hash/hash.h"

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
  return std::any_of(connections_.begin(), connections_.end(),
                     [&](const auto& entry) {
                       const auto& [socket, connection] = entry;
                       return connection.ports == ports &&
                              HasPorts(socket, ports) && HasBytes(socket);
                     });
}

bool ConnectionSockets::Carry(PortPair ports, std::string_view request_id) {
  Connection* const connection = Find(ports);
  if (connection == nullptr) return false;
  std::vector<std::uint32_t>& requests = connection->requests;
  if (requests.size() >= kMaxRequests) return false;
  // Ids with the same hash only cost a connection.
  const auto hash =
      static_cast<std::uint32_t>(absl::Hash<std::string_view>()(request_id));
  if (std::find(requests.begin(), requests.end(), hash) != requests.end()) {
    return false;
  }
  requests.push_back(hash);
  return true;
}

ConnectionSockets::Connection* ConnectionSockets::Find(PortPair ports) {
  for (auto& [socket, connection] : connections_) {
    if (connection.ports == ports && HasPorts(socket, ports)) {
      return &connection;
    }
  }
  return nullptr;
}

}  // namespace gentianlb::http
