#include "http/connection_sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/types.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "absl/hash/hash.h"
#include "loop/tcp_socket.h"

namespace gentianlb::http {
namespace {

// Returns nullopt for another family than IPv4 and IPv6.
std::optional<std::pair<std::string, int>> ReadAddress(
    const sockaddr_storage& address) {
  std::array<char, INET6_ADDRSTRLEN> text = {};
  const auto& ipv4 = reinterpret_cast<const sockaddr_in&>(address);
  const auto& ipv6 = reinterpret_cast<const sockaddr_in6&>(address);
  const bool is_ipv6 = address.ss_family == AF_INET6;
  const void* const ip = is_ipv6 ? static_cast<const void*>(&ipv6.sin6_addr)
                                 : static_cast<const void*>(&ipv4.sin_addr);
  if (inet_ntop(address.ss_family, ip, text.data(), text.size()) == nullptr) {
    return std::nullopt;
  }
  // Both families have the port at the same place.
  return std::pair(std::string(text.data()), int{ntohs(ipv4.sin_port)});
}

// Returns whether a socket is still that of the connection: libcurl may have
// closed it, and its number may be another file's by now.
bool HasEnds(int socket, const ConnectionEnds& ends) {
  sockaddr_storage local = {};
  sockaddr_storage remote = {};
  socklen_t local_size = sizeof local;
  socklen_t remote_size = sizeof remote;
  if (getsockname(socket, reinterpret_cast<sockaddr*>(&local), &local_size) !=
          0 ||
      getpeername(socket, reinterpret_cast<sockaddr*>(&remote), &remote_size) !=
          0) {
    return false;
  }
  return ReadAddress(local) == std::pair(ends.local_ip, ends.local_port) &&
         ReadAddress(remote) == std::pair(ends.remote_ip, ends.remote_port);
}

bool HasBytes(int socket) {
  char byte = 0;
  return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

}  // namespace

void ConnectionSockets::OnMade(int socket, ConnectionEnds ends) {
  std::erase(closed_early_, ends);
  connections_[socket] = {std::move(ends), {}};
}

int ConnectionSockets::Close(int socket) {
  const auto found = connections_.find(socket);
  if (found != connections_.end()) {
    const ConnectionEnds& ends = found->second.ends;
    if (!loop::IsAllAcknowledged(socket) && HasEnds(socket, ends)) {
      closed_early_.push_back(ends);
      if (closed_early_.size() > kMaxClosedEarly) closed_early_.pop_front();
    }
    connections_.erase(found);
  }
  return close(socket);
}

bool ConnectionSockets::TakeClosedEarly(const ConnectionEnds& ends) {
  return std::erase(closed_early_, ends) > 0;
}

bool ConnectionSockets::HasUnreadBytes(const ConnectionEnds& ends) const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [&](const auto& entry) {
                       const auto& [socket, connection] = entry;
                       return connection.ends == ends &&
                              HasEnds(socket, ends) && HasBytes(socket);
                     });
}

bool ConnectionSockets::Carry(const ConnectionEnds& ends,
                              std::string_view request_id) {
  Connection* const connection = Find(ends);
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

ConnectionSockets::Connection* ConnectionSockets::Find(
    const ConnectionEnds& ends) {
  for (auto& [socket, connection] : connections_) {
    if (connection.ends == ends && HasEnds(socket, ends)) {
      return &connection;
    }
  }
  return nullptr;
}

}  // namespace gentianlb::http
