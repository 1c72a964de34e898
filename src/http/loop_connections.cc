#include "http/loop_connections.h"

#include <glog/logging.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "loop/tcp_socket.h"

namespace gentianlb::http {

void LoopConnections::OnOpened(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  Connection state;
  state.descriptor = info->connect_fd;
  loop::SetKeepalive(state.descriptor);
  // Edge-triggered: otherwise a half-closed connection is reported in every
  // round until libmicrohttpd closes it.
  loop_->Watch(
      state.descriptor, EPOLLRDHUP | EPOLLET,
      [this, connection](std::uint32_t) { OnCallerDisconnect(connection); });
  state.waits_since = loop_->now();
  ApplyTimeout(connection, state);
  connections_.emplace(connection, std::move(state));
  Relieve();
}

void LoopConnections::OnClosed(MHD_Connection* connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  loop_->Unwatch(found->second.descriptor);
  if (found->second.evicted) --evicting_;
  connections_.erase(found);
}

void LoopConnections::Relieve() {
  while (connections_.size() - evicting_ > evicts_above_) {
    Connection* const longest = FindLongestWaiting();
    if (longest == nullptr) return;
    LOG(WARNING) << "event=connection-evicted waited_ms="
                 << absl::ToInt64Milliseconds(loop_->now() -
                                              longest->waits_since)
                 << " connections=" << connections_.size()
                 << " evicting=" << evicting_ << " above=" << evicts_above_;
    longest->evicted = true;
    ++evicting_;
    ++evicted_;
    // libmicrohttpd reads the end of the caller's bytes.
    shutdown(longest->descriptor, SHUT_RD);
  }
}

LoopConnections::Connection* LoopConnections::FindLongestWaiting() {
  Connection* longest = nullptr;
  for (auto& [connection, state] : connections_) {
    if (state.responding || state.evicted) continue;
    if (longest == nullptr || state.waits_since < longest->waits_since) {
      longest = &state;
    }
  }
  const bool may_be_evicted =
      longest != nullptr && loop_->now() - longest->waits_since >= kMinWait;
  return may_be_evicted ? longest : nullptr;
}

bool LoopConnections::IsEvicted(MHD_Connection* connection) const {
  const auto found = connections_.find(connection);
  return found != connections_.end() && found->second.evicted;
}

bool LoopConnections::SetPendingResponse(
    MHD_Connection* connection,
    const std::shared_ptr<PendingResponse>& response) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return true;
  found->second.response = response;
  return !found->second.caller_disconnected;
}

void LoopConnections::SetResponding(MHD_Connection* connection,
                                    bool responding) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  found->second.responding = responding;
  if (!responding) found->second.waits_since = loop_->now();
  if (keep_alive_timeout_ == stall_timeout_) return;
  ApplyTimeout(connection, found->second);
}

void LoopConnections::SetIdleTimeout(absl::Duration timeout) {
  keep_alive_timeout_ = timeout;
  stall_timeout_ = timeout;
  ApplyTimeouts();
}

void LoopConnections::SetKeepAliveTimeout(absl::Duration timeout) {
  keep_alive_timeout_ = timeout;
  ApplyTimeouts();
}

void LoopConnections::ApplyTimeouts() const {
  for (const auto& [connection, state] : connections_) {
    ApplyTimeout(connection, state);
  }
}

void LoopConnections::ApplyTimeout(MHD_Connection* connection,
                                   const Connection& state) const {
  const absl::Duration timeout =
      state.responding ? stall_timeout_ : keep_alive_timeout_;
  const auto seconds = static_cast<unsigned>(std::max<std::int64_t>(
      1, absl::ToInt64Seconds(absl::Ceil(timeout, absl::Seconds(1)))));
  MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT, seconds);
}

void LoopConnections::OnCallerDisconnect(MHD_Connection* connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  found->second.caller_disconnected = true;
  if (const auto response = found->second.response.lock()) response->Cancel();
}

}  // namespace gentianlb::http
