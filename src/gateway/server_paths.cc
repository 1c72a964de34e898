#include "gateway/server_paths.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <utility>

namespace gentianlb::gateway {
namespace {

// Connections to this many servers fail in a row only if the path itself is
// lost, or if servers crash together. In that case others have answered within
// the time of a connection timeout.
constexpr std::size_t kFailuresOfPath = 3;
constexpr absl::Duration kSilenceOfPath = absl::Milliseconds(250);

// A probe of a direct path costs the server a connection, and no request waits
// for it.
constexpr absl::Duration kFirstProbeDelay = absl::Milliseconds(250);
constexpr absl::Duration kMaxProbeDelay = absl::Seconds(1);

// How long a peer that reaches no server is not asked.
constexpr absl::Duration kPeerRetryDelay = absl::Seconds(1);

// A server that so many peers in a row can't reach is probably down or in a
// zone that is cut off. It is not tried through others for a while.
constexpr int kMaxPeerFailures = 6;

// Peers of the own zone are named in turn; in a large one this takes seconds.
constexpr absl::Duration kNeighbourTimeout = absl::Seconds(15);

}  // namespace

ServerPaths::ProbeTimer::ProbeTimer(absl::Time lost)
    : next(lost + kFirstProbeDelay), interval(kFirstProbeDelay) {}

bool ServerPaths::ProbeTimer::TakeDue(absl::Time now) {
  if (now < next) return false;
  interval = std::min(interval * 2, kMaxProbeDelay);
  next = now + interval;
  return true;
}

void ServerPaths::AddPeer(const HostEntry& host, absl::Time now) {
  if (host.host == self_.str()) return;
  Peer& peer = peers_[host.host];
  // A host at another address was replaced.
  if (peer.address != host.address) peer.failed.clear();
  peer.address = host.address;
  peer.zone = host.zone;
  peer.seen = now;
  peer_zones_.insert(host.zone);
}

bool ServerPaths::IsZoneCutOff(const std::string& zone) const {
  if (zone == zone_.str() || !peer_zones_.contains(zone)) return false;
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& item) {
    return item.second.zone == zone;
  });
}

void ServerPaths::SetPeers(const std::vector<HostEntry>& dispatchers,
                           const std::vector<HostEntry>& neighbours,
                           absl::Time now) {
  for (const HostEntry& host : dispatchers) AddPeer(host, now);
  for (const HostEntry& host : neighbours) AddPeer(host, now);
  // Connections to a zone that is cut off would hang.
  std::erase_if(peers_, [&](const auto& item) {
    const Peer& peer = item.second;
    const absl::Duration timeout =
        peer.zone == zone_.str() ? kNeighbourTimeout : absl::ZeroDuration();
    return now - peer.seen > timeout;
  });
}

void ServerPaths::SetServers(const std::vector<ServerEntry>& servers) {
  servers_.clear();
  for (const ServerEntry& server : servers) servers_.insert(server.id);
  const auto is_gone = [this](const auto& item) {
    return !servers_.contains(item.first);
  };
  std::erase_if(direct_losses_, is_gone);
  std::erase_if(peer_failures_, is_gone);
}

bool ServerPaths::IsDirectOpen(const ServerId& server) const {
  return !all_direct_lost_ && !direct_losses_.contains(server);
}

std::optional<ServerPath> ServerPaths::Choose(const ServerEntry& server,
                                              absl::Time now) {
  if (IsDirectOpen(server.id)) return ServerPath{};
  if (auto path = ChoosePeer(server, now)) return path;
  if (direct_losses_.contains(server.id)) return std::nullopt;
  return ServerPath{};
}

bool ServerPaths::IsOpen(const std::string& host, const Peer& peer,
                         const ServerId& server, absl::Time now) const {
  const bool retry = now >= peer.failed_at + kPeerRetryDelay;
  if (peer.failed.size() >= kFailuresOfPath && !retry) return false;
  return !peer_losses_.IsLost(EntryHostId(host), server, now);
}

// Prefers peers of the server's zone: they are most likely to reach it. Through
// a peer of a third zone, the bytes would cross a border of zones twice. If the
// server's zone is cut off, peers of this host's zone reach it no better.
std::optional<ServerPath> ServerPaths::ChoosePeer(const ServerEntry& server,
                                                  absl::Time now) {
  const auto failures = peer_failures_.find(server.id);
  if (failures != peer_failures_.end() &&
      failures->second.count >= kMaxPeerFailures &&
      now < failures->second.last + kPeerRetryDelay) {
    return std::nullopt;
  }
  const bool zone_cut_off = IsZoneCutOff(server.zone.str());
  std::array<std::vector<ServerPath>, 3> by_preference;
  for (const auto& [host, peer] : peers_) {
    if (!IsOpen(host, peer, server.id, now)) continue;
    const bool in_own_zone = peer.zone == zone_.str();
    if (in_own_zone && zone_cut_off) continue;
    const std::size_t preference =
        peer.zone == server.zone.str() ? 0 : (in_own_zone ? 1 : 2);
    by_preference[preference].push_back({EntryHostId(host), peer.address});
  }
  for (const std::vector<ServerPath>& peers : by_preference) {
    if (!peers.empty()) return peers[next_peer_++ % peers.size()];
  }
  return std::nullopt;
}

void ServerPaths::OnReached(const ServerId& server, const ServerPath& path,
                            absl::Time started, absl::Time now) {
  if (!path.direct()) {
    const auto peer = peers_.find(path.peer.str());
    if (peer != peers_.end()) peer->second.failed.clear();
    peer_failures_.erase(server);
    return peer_losses_.OnReached(path.peer, server);
  }
  direct_reached_at_ = now;
  const auto loss = direct_losses_.find(server);
  const bool was_lost = loss != direct_losses_.end();
  if (was_lost && started < loss->second.since) return;
  if (was_lost) direct_losses_.erase(loss);
  if (started < direct_failed_at_) return;
  direct_failed_.clear();
  const bool all_were_lost = std::exchange(all_direct_lost_, false);
  if (!all_were_lost && !was_lost) return;
  LOG(INFO) << "event=path-back server=" << server
            << " all_were_lost=" << all_were_lost
            << " lost=" << direct_losses_.size();
  if (!all_were_lost) return;
  for (auto& [id, other] : direct_losses_) other.probe.next = now;
}

void ServerPaths::OnUnreachable(const ServerId& server, const ServerPath& path,
                                absl::Time now) {
  if (!path.direct()) {
    peer_losses_.OnUnreachable(path.peer, server, now);
    PeerFailures& failures = peer_failures_[server];
    ++failures.count;
    failures.last = now;
    const auto peer = peers_.find(path.peer.str());
    if (peer == peers_.end()) return;
    peer->second.failed.insert(server);
    peer->second.failed_at = now;
    return;
  }
  direct_failed_.insert(server);
  direct_failed_at_ = now;
  const bool is_new =
      direct_losses_.try_emplace(server, DirectLoss{now, ProbeTimer(now)})
          .second;
  const bool lose_all = !all_direct_lost_ &&
                        direct_failed_.size() >= kFailuresOfPath &&
                        now >= direct_reached_at_ + kSilenceOfPath;
  if (lose_all) {
    all_direct_lost_ = true;
    all_direct_probe_ = ProbeTimer(now);
  }
  if (!is_new && !lose_all) return;
  LOG(WARNING) << "event=path-lost server=" << server
               << " lost=" << direct_losses_.size()
               << " failed_in_a_row=" << direct_failed_.size() << " reached_ms="
               << absl::ToInt64Milliseconds(now - direct_reached_at_)
               << " all_lost=" << all_direct_lost_
               << " peers=" << peers_.size();
}

std::vector<ServerId> ServerPaths::TakeDueProbes(absl::Time now) {
  std::vector<ServerId> due;
  if (all_direct_lost_) {
    if (servers_.empty() || !all_direct_probe_.TakeDue(now)) return due;
    // Not only those that failed: servers that crashed together may have made
    // all look lost.
    auto next = servers_.upper_bound(last_probed_);
    if (next == servers_.end()) next = servers_.begin();
    last_probed_ = *next;
    due.push_back(*next);
    return due;
  }
  for (auto& [server, loss] : direct_losses_) {
    if (loss.probe.TakeDue(now)) due.push_back(server);
  }
  return due;
}

}  // namespace gentianlb::gateway
