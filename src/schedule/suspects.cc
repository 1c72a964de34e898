#include "schedule/suspects.h"

#include <algorithm>
#include <utility>

namespace gentianlb::schedule {

const SuspectRequests::Suspect* SuspectRequests::Find(ContentHash content,
                                                      absl::Time now) const {
  const auto found = suspects_.find(content);
  if (found == suspects_.end()) return nullptr;
  return now - found->second.last_loss < kMemory ? &found->second : nullptr;
}

bool SuspectRequests::AddLoss(ContentHash content, const ServerId& server,
                              absl::Time now) {
  if (content == kNoContent) return false;
  if (!suspects_.contains(content)) {
    ForgetOld(now);
    MakeRoom();
  }
  Suspect& suspect = suspects_[content];
  const bool known =
      std::any_of(suspect.losses.begin(), suspect.losses.end(),
                  [&](const Loss& loss) { return loss.server == server; });
  if (known) return false;
  suspect.losses.push_back({server, now});
  suspect.last_loss = now;
  by_server_[server].insert(content);
  return true;
}

void SuspectRequests::RemoveLoss(ContentHash content, const ServerId& server) {
  const auto suspect = suspects_.find(content);
  std::erase_if(suspect->second.losses,
                [&](const Loss& loss) { return loss.server == server; });
  if (suspect->second.losses.empty()) suspects_.erase(suspect);
  const auto contents = by_server_.find(server);
  contents->second.erase(content);
  if (contents->second.empty()) by_server_.erase(contents);
}

bool SuspectRequests::Clear(ContentHash content) {
  const auto found = suspects_.find(content);
  if (found == suspects_.end()) return false;
  const std::vector<Loss> losses = found->second.losses;
  for (const Loss& loss : losses) RemoveLoss(content, loss.server);
  return true;
}

void SuspectRequests::Report(const SuspectChange& change) const {
  if (on_change_) on_change_(change);
}

void SuspectRequests::OnServerLost(ContentHash content, const ServerId& server,
                                   absl::Time now) {
  if (AddLoss(content, server, now)) Report({content, server});
}

void SuspectRequests::OnServed(ContentHash content) {
  if (suspects_.empty()) return;
  if (Clear(content)) Report({content, ServerId()});
}

void SuspectRequests::OnPeerChange(const SuspectChange& change,
                                   absl::Time now) {
  if (change.server.empty()) {
    Clear(change.content);
  } else {
    AddLoss(change.content, change.server, now);
  }
}

void SuspectRequests::OnResponse(const ServerId& server,
                                 absl::Time granted_at) {
  if (by_server_.empty()) return;
  const auto found = by_server_.find(server);
  if (found == by_server_.end()) return;
  const std::vector<ContentHash> contents(found->second.begin(),
                                          found->second.end());
  for (const ContentHash content : contents) {
    const std::vector<Loss>& losses = suspects_.at(content).losses;
    const auto loss =
        std::find_if(losses.begin(), losses.end(),
                     [&](const Loss& item) { return item.server == server; });
    if (loss->at >= granted_at) continue;
    RemoveLoss(content, server);
    if (!suspects_.contains(content)) Report({content, ServerId()});
  }
}

std::size_t SuspectRequests::ServersLost(ContentHash content,
                                         absl::Time now) const {
  const Suspect* suspect = Find(content, now);
  return suspect == nullptr ? 0 : suspect->losses.size();
}

absl::Time SuspectRequests::FirstLoss(ContentHash content,
                                      absl::Time now) const {
  const Suspect* suspect = Find(content, now);
  // In the order of their times.
  return suspect == nullptr ? absl::InfiniteFuture()
                            : suspect->losses.front().at;
}

bool SuspectRequests::MayRun(ContentHash content, std::size_t running,
                             absl::Time now) const {
  const std::size_t lost = ServersLost(content, now);
  return lost == 0 || lost + running < kMaxServersLost;
}

absl::Duration SuspectRequests::TimeUntilForgotten(ContentHash content,
                                                   absl::Time now) const {
  const Suspect* suspect = Find(content, now);
  if (suspect == nullptr) return absl::ZeroDuration();
  return suspect->last_loss + kMemory - now;
}

void SuspectRequests::ForgetOld(absl::Time now) {
  std::vector<ContentHash> old;
  for (const auto& [content, suspect] : suspects_) {
    if (now - suspect.last_loss >= kMemory) old.push_back(content);
  }
  for (const ContentHash content : old) Clear(content);
}

void SuspectRequests::MakeRoom() {
  if (suspects_.size() < kMaxContents) return;
  const auto least = std::min_element(
      suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
        return std::pair(a.second.losses.size(), a.second.last_loss) <
               std::pair(b.second.losses.size(), b.second.last_loss);
      });
  Clear(least->first);
}

}  // namespace gentianlb::schedule
