#include "http/loop_connections.h"

#include <sys/epoll.h>

#include <algorithm>
#include <utility>

namespace gentianlb::http {

void LoopConnections::Opened(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  Link link;
  link.descriptor = info->connect_fd;
  // Edge-triggered: a half-closed connection would be reported in every round
  // until libmicrohttpd closes it.
  loop_->Watch(link.descriptor, EPOLLRDHUP | EPOLLET,
               [this, connection](std::uint32_t) { CallerLeft(connection); });
  links_.emplace(connection, std::move(link));
  ApplyTimeout(connection);
}

void LoopConnections::Closed(MHD_Connection* connection) {
  const auto found = links_.find(connection);
  if (found == links_.end()) return;
  loop_->Unwatch(found->second.descriptor);
  links_.erase(found);
}

bool LoopConnections::Awaits(MHD_Connection* connection,
                             const std::shared_ptr<Answer>& answer) {
  const auto found = links_.find(connection);
  if (found == links_.end()) return true;
  found->second.answer = answer;
  return !found->second.caller_left;
}

void LoopConnections::SetIdleTimeout(absl::Duration timeout) {
  idle_timeout_ = timeout;
  for (const auto& [connection, link] : links_) ApplyTimeout(connection);
}

void LoopConnections::ApplyTimeout(MHD_Connection* connection) const {
  const auto seconds = static_cast<unsigned>(std::max<std::int64_t>(
      1, absl::ToInt64Seconds(absl::Ceil(idle_timeout_, absl::Seconds(1)))));
  MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT, seconds);
}

void LoopConnections::CallerLeft(MHD_Connection* connection) {
  const auto found = links_.find(connection);
  if (found == links_.end()) return;
  found->second.caller_left = true;
  if (const auto answer = found->second.answer.lock()) answer->CallerLeft();
}

}  // namespace gentianlb::http
