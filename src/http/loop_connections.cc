#include "http/loop_connections.h"

#include <sys/epoll.h>

#include <algorithm>
#include <utility>

namespace gentianlb::http {

void LoopConnections::OnOpened(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  Connection state;
  state.descriptor = info->connect_fd;
  // Edge-triggered: otherwise a half-closed connection is reported in every
  // round until libmicrohttpd closes it.
  loop_->Watch(
      state.descriptor, EPOLLRDHUP | EPOLLET,
      [this, connection](std::uint32_t) { OnCallerDisconnect(connection); });
  connections_.emplace(connection, std::move(state));
  ApplyTimeout(connection);
}

void LoopConnections::OnClosed(MHD_Connection* connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  loop_->Unwatch(found->second.descriptor);
  connections_.erase(found);
}

bool LoopConnections::SetPendingResponse(
    MHD_Connection* connection,
    const std::shared_ptr<PendingResponse>& response) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return true;
  found->second.response = response;
  return !found->second.caller_disconnected;
}

void LoopConnections::SetIdleTimeout(absl::Duration timeout) {
  idle_timeout_ = timeout;
  for (const auto& [connection, state] : connections_) ApplyTimeout(connection);
}

void LoopConnections::ApplyTimeout(MHD_Connection* connection) const {
  const auto seconds = static_cast<unsigned>(std::max<std::int64_t>(
      1, absl::ToInt64Seconds(absl::Ceil(idle_timeout_, absl::Seconds(1)))));
  MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT, seconds);
}

void LoopConnections::OnCallerDisconnect(MHD_Connection* connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  found->second.caller_disconnected = true;
  if (const auto response = found->second.response.lock()) response->Cancel();
}

}  // namespace gentianlb::http
