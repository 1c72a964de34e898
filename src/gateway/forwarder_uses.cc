// The part of the forwarder that exchanges the load of servers with peers.

#include <algorithm>

#include "gateway/forwarder.h"

namespace gentianlb::gateway {

std::vector<ServerUse> Forwarder::ServerUses() const {
  std::vector<ServerUse> uses;
  if (index_ == nullptr) return uses;
  for (const auto& [pool, queue] : queues_) {
    for (const ServerEntry& server : queue.servers()) {
      ServerUse use;
      use.server = HashName(server.id.str());
      const auto running = running_.find(server.id);
      if (running != running_.end()) {
        use.running = static_cast<std::uint16_t>(running->second);
      }
      if (groups_ != nullptr) {
        use.ungranted = static_cast<std::uint16_t>(
            std::max(0, use.running - groups_->GrantedOn(server.id)));
      }
      if (const auto slowdown =
              queue.dispatcher().MeasuredSlowdown(server.id)) {
        use.prefill_slowdown = static_cast<float>(slowdown->prefill);
        use.decode_slowdown = static_cast<float>(slowdown->decode);
      }
      if (const auto limit = queue.dispatcher().ObservedLimit(server.id)) {
        use.request_limit = static_cast<float>(*limit);
      }
      if (use.running > 0 || use.decode_slowdown > 0 || use.request_limit > 0) {
        uses.push_back(use);
      }
    }
  }
  return uses;
}

int Forwarder::LimitedServers() const {
  int limited = 0;
  for (const auto& [pool, queue] : queues_) {
    limited += queue.dispatcher().CountServers().limited;
  }
  return limited;
}

void Forwarder::SetPeerUses(
    const absl::flat_hash_map<NameHash, ServerUse>& uses) {
  if (index_ == nullptr) return;
  for (const auto& [pool, queue] : queues_) {
    for (const ServerEntry& server : queue.servers()) {
      const auto found = uses.find(HashName(server.id.str()));
      const ServerUse use = found == uses.end() ? ServerUse{} : found->second;
      ServerUse& notified = notified_peer_uses_[server.id];
      if (notified.running != use.running) {
        NotifyDispatcher(pool,
                         schedule::PeerLoadReported{server.id, use.running});
      }
      if (use.request_limit > 0) {
        NotifyDispatcher(
            pool, schedule::PeerLimitReported{server.id, use.request_limit});
      }
      const bool has_slowdown = use.decode_slowdown > 0 && queue.has_engines();
      if (has_slowdown && (notified.decode_slowdown != use.decode_slowdown ||
                           notified.prefill_slowdown != use.prefill_slowdown)) {
        NotifyDispatcher(
            pool, schedule::PeerSlowdownReported{
                      server.id, use.prefill_slowdown, use.decode_slowdown});
      }
      notified = use;
    }
  }
}

}  // namespace gentianlb::gateway
