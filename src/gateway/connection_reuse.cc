#include "gateway/connection_reuse.h"

#include <algorithm>

namespace gentianlb::gateway {

bool ConnectionReuse::OnOtherAnswer(const ServerEntry& server, absl::Time now) {
  const bool begins = MayReuse(server, now);
  if (!pauses_.contains(server.id)) MakeRoom(now);
  pauses_[server.id] = {server.started, now + kPause};
  return begins;
}

void ConnectionReuse::MakeRoom(absl::Time now) {
  absl::erase_if(pauses_,
                 [now](const auto& item) { return item.second.until <= now; });
  if (pauses_.size() < kMaxServers) return;
  pauses_.erase(std::min_element(pauses_.begin(), pauses_.end(),
                                 [](const auto& a, const auto& b) {
                                   return a.second.until < b.second.until;
                                 }));
}

bool ConnectionReuse::MayReuse(const ServerEntry& server,
                               absl::Time now) const {
  const auto found = pauses_.find(server.id);
  if (found == pauses_.end() || found->second.until <= now) return true;
  return IsRestart(found->second.started, server.started);
}

}  // namespace gentianlb::gateway
