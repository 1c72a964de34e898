#include "replay/server_fake.h"

#include <algorithm>
#include <limits>

namespace gentianlb::replay {
namespace {

using schedule::kPrefixBlockTokens;

// Less than a token by so much counts as a whole one: the sums of fractions are
// not exact.
constexpr double kTokenSlack = 1e-6;

// Rounds up, so that a change is over when its time has come.
constexpr absl::Duration kClockStep = absl::Nanoseconds(100);

}  // namespace

ServerFake::ServerFake(const schedule::ServerSpec& spec, absl::Time now)
    : spec_(spec), now_(now), cache_(spec.cache_tokens) {}

void ServerFake::Submit(const StreamWork& work) { queue_.push_back(work); }

std::optional<StreamRemains> ServerFake::Cancel(StreamIndex index) {
  auto queued =
      std::find_if(queue_.begin(), queue_.end(),
                   [&](const StreamWork& work) { return work.index == index; });
  if (queued != queue_.end()) {
    queue_.erase(queued);
    return StreamRemains{index, 0, 0};
  }
  if (prefill_.has_value() && prefill_->work.index == index) {
    StreamRemains remains{index, prefill_->total - prefill_->todo, 0};
    kv_used_ -= KvTokens(prefill_->work);
    prefill_.reset();
    return remains;
  }
  auto found = decoding_.find(index);
  if (found == decoding_.end()) return std::nullopt;
  StreamRemains remains = RemainsOf(found->second);
  by_target_.erase({DecodeTarget(found->second), index});
  kv_used_ -= KvTokens(found->second.work);
  decoding_.erase(found);
  return remains;
}

std::vector<StreamRemains> ServerFake::Die() {
  std::vector<StreamIndex> all;
  for (const StreamWork& work : queue_) all.push_back(work.index);
  if (prefill_.has_value()) all.push_back(prefill_->work.index);
  for (const auto& [target, index] : by_target_) all.push_back(index);
  std::vector<StreamRemains> remains;
  remains.reserve(all.size());
  for (StreamIndex index : all) remains.push_back(*Cancel(index));
  cache_.Clear();
  alive_ = false;
  return remains;
}

void ServerFake::Revive() {
  alive_ = true;
  speed_ = 1;
}

void ServerFake::Advance(absl::Time now, std::vector<StreamChange>* changes) {
  Settle(changes);
  while (now_ < now) {
    absl::Time next = std::min(now, NextChange());
    Progress(absl::ToDoubleSeconds(next - now_));
    now_ = next;
    Settle(changes);
  }
}

absl::Time ServerFake::NextChange() const {
  double seconds = SecondsToChange();
  if (seconds == std::numeric_limits<double>::infinity()) {
    return absl::InfiniteFuture();
  }
  return now_ + absl::Ceil(absl::Seconds(seconds), kClockStep);
}

double ServerFake::Watts() const {
  double watts = spec_.power.idle_watts;
  watts += spec_.power.watts_per_stream * running();
  if (prefill_.has_value()) {
    watts += spec_.power.joules_per_prefill_token * PrefillRate();
  }
  return watts;
}

std::vector<std::pair<StreamIndex, int>> ServerFake::Progress() const {
  std::vector<std::pair<StreamIndex, int>> progress;
  progress.reserve(by_target_.size());
  for (const auto& [target, index] : by_target_) {
    progress.push_back({index, RemainsOf(decoding_.at(index)).output_tokens});
  }
  return progress;
}

schedule::LoadReported ServerFake::Load(absl::Time now) const {
  return {spec_.id, now, running(), static_cast<int>(queue_.size()), kv_used_};
}

int ServerFake::running() const {
  return static_cast<int>(decoding_.size()) + (prefill_.has_value() ? 1 : 0);
}

double ServerFake::DecodeRate() const {
  double batch = static_cast<double>(decoding_.size());
  double rate = speed_ * spec_.decode_tokens_per_second /
                (1 + (batch - 1) * kBatchSlowdown);
  return prefill_.has_value() ? rate * (1 - kPrefillShare) : rate;
}

double ServerFake::PrefillRate() const {
  double rate = speed_ * spec_.prefill_tokens_per_second;
  return decoding_.empty() ? rate : rate * kPrefillShare;
}

double ServerFake::SecondsToChange() const {
  double seconds = std::numeric_limits<double>::infinity();
  if (prefill_.has_value()) seconds = prefill_->todo / PrefillRate();
  if (!by_target_.empty()) {
    double tokens = by_target_.begin()->first - decoded_;
    seconds = std::min(seconds, tokens / DecodeRate());
  }
  return std::max(seconds, 0.0);
}

double ServerFake::DecodeTarget(const Decode& decode) const {
  return decode.start + decode.work.output_tokens;
}

// The whole answer's room is held from the start, so that nothing has to be
// thrown out of memory on the way.
std::int64_t ServerFake::KvTokens(const StreamWork& work) const {
  return std::int64_t{work.prompt_tokens} + work.output_tokens;
}

StreamRemains ServerFake::RemainsOf(const Decode& decode) const {
  int tokens = static_cast<int>(decoded_ - decode.start + kTokenSlack);
  // The first token comes with the end of the prefill.
  tokens = std::clamp(tokens, 1, decode.work.output_tokens);
  return {decode.work.index, decode.computed, tokens};
}

void ServerFake::Progress(double seconds) {
  double decoded = seconds * DecodeRate();
  double prefilled = seconds * PrefillRate();
  if (!decoding_.empty()) decoded_ += decoded;
  if (prefill_.has_value()) prefill_->todo -= prefilled;
}

void ServerFake::Settle(std::vector<StreamChange>* changes) {
  FinishDecode(changes);
  if (prefill_.has_value() && prefill_->todo <= kTokenSlack) {
    FinishPrefill(changes);
  }
  Admit(changes);
}

void ServerFake::FinishPrefill(std::vector<StreamChange>* changes) {
  const StreamWork work = prefill_->work;
  Decode decode{work, prefill_->total, decoded_};
  cache_.Insert(*work.chain);
  prefill_.reset();
  by_target_.insert({DecodeTarget(decode), work.index});
  decoding_.insert({work.index, decode});
  changes->push_back({StreamChange::Kind::kFirstToken, work.index});
}

void ServerFake::FinishDecode(std::vector<StreamChange>* changes) {
  while (!by_target_.empty() &&
         by_target_.begin()->first <= decoded_ + kTokenSlack) {
    StreamIndex index = by_target_.begin()->second;
    by_target_.erase(by_target_.begin());
    kv_used_ -= KvTokens(decoding_.at(index).work);
    decoding_.erase(index);
    changes->push_back({StreamChange::Kind::kFinished, index});
  }
}

void ServerFake::Admit(std::vector<StreamChange>* changes) {
  if (prefill_.has_value() || queue_.empty()) return;
  const StreamWork work = queue_.front();
  bool slot = running() < spec_.max_streams;
  bool memory = kv_used_ + KvTokens(work) <= spec_.kv_tokens;
  // One that is larger than the whole memory runs alone.
  if (!(slot && memory) && running() > 0) return;
  queue_.pop_front();
  kv_used_ += KvTokens(work);
  int blocks = cache_.Match(*work.chain);
  double todo = work.prompt_tokens - blocks * kPrefixBlockTokens;
  prefill_ = Prefill{work, todo, todo};
  changes->push_back({StreamChange::Kind::kPrefillBegins, work.index, blocks});
}

}  // namespace gentianlb::replay
