#include "gateway/server_cooldowns.h"

#include <algorithm>

namespace gentianlb::gateway {

bool ServerCooldowns::OnAsked(const ServerEntry& server, absl::Duration span,
                              absl::Time now) {
  absl::erase_if(cooldowns_,
                 [now](const auto& item) { return item.second.until <= now; });
  const absl::Time until = now + span;
  const auto [found, is_new] =
      cooldowns_.try_emplace(server.id, Cooldown{server, until});
  if (is_new) return true;
  Cooldown& cooldown = found->second;
  const bool changed =
      cooldown.until < until || IsRestart(cooldown.server, server);
  if (changed) cooldown = {server, until};
  return changed;
}

void ServerCooldowns::ForgetRestarted(const Directory& directory) {
  absl::erase_if(cooldowns_, [&directory](const auto& item) {
    const ServerEntry* const registered = directory.Find(item.first);
    return registered != nullptr && IsRestart(item.second.server, *registered);
  });
}

absl::Duration ServerCooldowns::Left(const ServerId& server,
                                     absl::Time now) const {
  const auto found = cooldowns_.find(server);
  if (found == cooldowns_.end()) return absl::ZeroDuration();
  return std::max(absl::ZeroDuration(), found->second.until - now);
}

std::vector<schedule::ServerCooldown> ServerCooldowns::Active(
    absl::Time now) const {
  std::vector<schedule::ServerCooldown> active;
  for (const auto& [server, cooldown] : cooldowns_) {
    if (cooldown.until > now) active.push_back({server, cooldown.until - now});
  }
  std::sort(
      active.begin(), active.end(),
      [](const schedule::ServerCooldown& a, const schedule::ServerCooldown& b) {
        return a.server < b.server;
      });
  return active;
}

}  // namespace gentianlb::gateway
