#include "schedule/suspects.h"

namespace gentianlb::schedule {

void SuspectRequests::Report(const SuspectChange& change) const {
  if (on_change_) on_change_(change);
}

void SuspectRequests::OnServerLost(ContentHash content, const ServerId& server,
                                   absl::Time now) {
  if (content == kNoContent) return;
  if (losses_.Add(content, {server, now})) Report({content, server});
}

void SuspectRequests::OnServed(ContentHash content) {
  if (losses_.empty()) return;
  if (losses_.Clear(content)) Report({content, ServerId()});
}

void SuspectRequests::OnPeerChange(const SuspectChange& change,
                                   absl::Time now) {
  if (change.content == kNoContent) return;
  if (change.server.empty()) {
    losses_.Clear(change.content);
  } else {
    losses_.Add(change.content, {change.server, now - change.age});
  }
}

void SuspectRequests::OnResponse(const ServerId& server,
                                 absl::Time granted_at) {
  if (losses_.empty()) return;
  for (const ContentHash content : losses_.RefutedBy(server, granted_at)) {
    if (losses_.Remove(content, server)) Report({content, ServerId()});
  }
}

std::vector<SuspectChange> SuspectRequests::Snapshot(std::size_t most,
                                                     absl::Time now) const {
  std::vector<SuspectChange> changes;
  for (const auto& [content, loss] : losses_.MostSuspected(most)) {
    changes.push_back({content, loss.server, now - loss.at});
  }
  return changes;
}

std::size_t SuspectRequests::ServersLost(ContentHash content,
                                         absl::Time now) const {
  const ServerLosses::Losses* losses = losses_.Find(content, now);
  return losses == nullptr ? 0 : losses->size();
}

absl::Time SuspectRequests::FirstLoss(ContentHash content,
                                      absl::Time now) const {
  const ServerLosses::Losses* losses = losses_.Find(content, now);
  return losses == nullptr ? absl::InfiniteFuture() : losses->front().at;
}

bool SuspectRequests::MayRun(ContentHash content, std::size_t running,
                             absl::Time now) const {
  const std::size_t lost = ServersLost(content, now);
  return lost == 0 || lost + running < kMaxServersLost;
}

absl::Duration SuspectRequests::TimeUntilForgotten(ContentHash content,
                                                   absl::Time now) const {
  const ServerLosses::Losses* losses = losses_.Find(content, now);
  if (losses == nullptr) return absl::ZeroDuration();
  return losses->back().at + kMemory - now;
}

}  // namespace gentianlb::schedule
