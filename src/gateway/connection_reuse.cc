#include "gateway/connection_reuse.h"

#include <algorithm>

namespace gentianlb::gateway {

bool ConnectionReuse::OnOtherAnswer(const ServerEntry& server, absl::Time now) {
  const bool begins = MayReuse(server, now);
  if (!pauses_.contains(server.address)) MakeRoom(now);
  pauses_[server.address] = {server.id, server.started, now + kPause};
  return begins;
}

void ConnectionReuse::MakeRoom(absl::Time now) {
  std::erase_if(pauses_,
                [now](const auto& item) { return item.second.until <= now; });
  if (pauses_.size() < kMaxServers) return;
  pauses_.erase(std::min_element(pauses_.begin(), pauses_.end(),
                                 [](const auto& a, const auto& b) {
                                   return a.second.until < b.second.until;
                                 }));
}

bool ConnectionReuse::MayReuse(const ServerEntry& server,
                               absl::Time now) const {
  const auto found = pauses_.find(server.address);
  if (found == pauses_.end() || found->second.until <= now) return true;
  const Pause& pause = found->second;
  return pause.server == server.id && IsRestart(pause.started, server.started);
}

}  // namespace gentianlb::gateway
