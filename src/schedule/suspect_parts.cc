#include "schedule/suspect_parts.h"

#include <algorithm>

namespace gentianlb::schedule {
namespace {

using Losses = ServerLosses::Losses;

bool Holds(std::span<const PromptPart> prompt, PartHash part) {
  return std::any_of(prompt.begin(), prompt.end(),
                     [&](const PromptPart& held) { return held.hash == part; });
}

int TotalWeight(const Losses& losses) {
  int weight = 0;
  for (const ServerLosses::Loss& loss : losses) weight += loss.weight;
  return weight;
}

// Returns the time after the last loss for which the part isn't sent.
absl::Duration QuarantineAfter(const Losses& losses) {
  absl::Duration quarantine = SuspectParts::kQuarantine;
  for (std::size_t i = 1; i < losses.size(); ++i) {
    const bool again =
        losses[i].at - losses[i - 1].at >= SuspectParts::kQuarantine;
    if (again) quarantine *= 2;
  }
  return std::min(quarantine, SuspectParts::kMaxQuarantine);
}

}  // namespace

std::span<const PromptPart> SharedParts(std::span<const PromptPart> parts) {
  return parts.empty() ? parts : parts.first(parts.size() - 1);
}

void SuspectParts::Report(const PartChange& change) const {
  if (on_change_) on_change_(change);
}

void SuspectParts::OnServerLost(std::span<const PromptPart> prompt,
                                const ServerId& server,
                                ResponseProgress progress, absl::Time now) {
  const int weight =
      progress == ResponseProgress::kBegun ? kBegunWeight : kUnansweredWeight;
  for (const PromptPart& part : SharedParts(prompt)) {
    if (progress == ResponseProgress::kUnderWay) {
      Refute(part.hash, now);
    } else if (!IsRefuted(part.hash, now) &&
               losses_.Add(part.hash, {server, now, weight})) {
      Report({part.hash, server, weight});
    }
  }
}

void SuspectParts::OnWritten(std::span<const PromptPart> prompt) {
  if (losses_.empty()) return;
  for (const PromptPart& part : SharedParts(prompt)) {
    if (losses_.Clear(part.hash)) Report({part.hash, ServerId(), 0});
  }
}

void SuspectParts::OnResponse(const ServerId& server, absl::Time granted_at) {
  if (losses_.empty()) return;
  for (const PartHash part : losses_.RefutedBy(server, granted_at)) {
    if (losses_.Remove(part, server)) Report({part, ServerId(), 0});
  }
}

void SuspectParts::OnPeerChange(const PartChange& change, absl::Time now) {
  if (change.server.empty()) {
    losses_.Clear(change.part);
  } else if (IsRefuted(change.part, now)) {
    Report({change.part, ServerId(), 0});
  } else {
    losses_.Add(change.part, {change.server, now - change.age, change.weight});
  }
}

std::vector<PartChange> SuspectParts::Snapshot(std::size_t most,
                                               absl::Time now) const {
  std::vector<PartChange> changes;
  for (const auto& [part, loss] : losses_.MostSuspected(most)) {
    changes.push_back({part, loss.server, loss.weight, now - loss.at});
  }
  return changes;
}

std::optional<PartHash> SuspectParts::FindDeadly(
    std::span<const PromptPart> prompt, absl::Time now) const {
  if (losses_.empty()) return std::nullopt;
  for (const PromptPart& part : SharedParts(prompt)) {
    if (!IsDeadly(part.hash, now)) continue;
    Losses unexplained = *losses_.Find(part.hash, now);
    std::erase_if(unexplained, [&](const ServerLosses::Loss& loss) {
      return IsExplained(loss.server, prompt, now);
    });
    if (TotalWeight(unexplained) >= kDeadlyWeight) return part.hash;
  }
  return std::nullopt;
}

bool SuspectParts::IsDeadly(PartHash part, absl::Time now) const {
  const Losses* losses = losses_.Find(part, now);
  return losses != nullptr && TotalWeight(*losses) >= kDeadlyWeight &&
         now - losses->back().at < QuarantineAfter(*losses);
}

bool SuspectParts::IsExplained(const ServerId& server,
                               std::span<const PromptPart> prompt,
                               absl::Time now) const {
  const std::vector<PartHash> parts = losses_.KeysOf(server);
  return std::any_of(parts.begin(), parts.end(), [&](PartHash part) {
    return !Holds(prompt, part) && IsDeadly(part, now);
  });
}

bool SuspectParts::IsRefuted(PartHash part, absl::Time now) const {
  const auto found = refuted_at_.find(part);
  return found != refuted_at_.end() && now - found->second <= kReportSpread;
}

void SuspectParts::Refute(PartHash part, absl::Time now) {
  if (losses_.Clear(part)) Report({part, ServerId(), 0});
  if (!refuted_at_.contains(part) && refuted_at_.size() >= kMaxParts) {
    refuted_at_.clear();
  }
  refuted_at_[part] = now;
}

absl::Duration SuspectParts::QuarantineLeft(PartHash part,
                                            absl::Time now) const {
  const Losses* losses = losses_.Find(part, now);
  if (losses == nullptr) return absl::ZeroDuration();
  return losses->back().at + QuarantineAfter(*losses) - now;
}

std::size_t SuspectParts::CountDeadly(absl::Time now) const {
  std::size_t deadly = 0;
  losses_.ForEach([&](PartHash part, const Losses& /*losses*/) {
    deadly += IsDeadly(part, now) ? 1 : 0;
  });
  return deadly;
}

}  // namespace gentianlb::schedule
