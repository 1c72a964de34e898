#include "base/byte_budget.h"

#include <glog/logging.h>

#include <numeric>
#include <utility>

namespace gentianlb {

std::string_view NameOf(HeldKind kind) {
  switch (kind) {
    case HeldKind::kRequest:
      return "request";
    case HeldKind::kAnswer:
      return "answer";
    case HeldKind::kUnread:
      return "unread";
  }
  return "";
}

std::size_t ByteBudget::held() const {
  return std::accumulate(held_.begin(), held_.end(), std::size_t{0});
}

bool ByteBudget::MayKeep(std::size_t bytes) const {
  return bytes <= kSmallBytes || kept_ == 0 ||
         kept_ + bytes <= limit_ / kKeptPart;
}

HeldBytes* ByteBudget::FindLargest() const {
  HeldBytes* largest = nullptr;
  for (HeldBytes* holder : holders_) {
    if (!holder->give_way_) continue;
    if (largest == nullptr || holder->bytes_ > largest->bytes_) {
      largest = holder;
    }
  }
  return largest;
}

void ByteBudget::Relieve() {
  if (relieving_) return;
  relieving_ = true;
  while (held() > limit_) {
    HeldBytes* const largest = FindLargest();
    if (largest == nullptr) {
      LOG_EVERY_N(WARNING, 1000)
          << "event=bytes-over-limit held=" << held() << " limit=" << limit_
          << " holders=" << holders_.size();
      break;
    }
    LOG(WARNING) << "event=bytes-give-way kind=" << NameOf(largest->kind_)
                 << " bytes=" << largest->bytes_ << " held=" << held()
                 << " held_of_kind=" << held(largest->kind_)
                 << " limit=" << limit_ << " holders=" << holders_.size();
    ++gave_way_[static_cast<std::size_t>(largest->kind_)];
    const std::size_t held_before = held();
    const auto give_way = largest->give_way_;  // May be destroyed.
    give_way();
    if (held() < held_before) continue;
    LOG(ERROR) << "event=bytes-not-released held=" << held();
    break;
  }
  relieving_ = false;
}

HeldBytes::HeldBytes(std::shared_ptr<ByteBudget> budget, HeldKind kind,
                     std::function<void()> give_way)
    : budget_(std::move(budget)), kind_(kind), give_way_(std::move(give_way)) {}

void HeldBytes::Set(std::size_t bytes) {
  if (budget_ == nullptr || bytes == bytes_) return;
  std::size_t& held = budget_->held_[static_cast<std::size_t>(kind_)];
  held = held - bytes_ + bytes;
  if (kept_) budget_->kept_ = budget_->kept_ - bytes_ + bytes;
  if (bytes_ == 0) budget_->holders_.insert(this);
  if (bytes == 0) budget_->holders_.erase(this);
  bytes_ = bytes;
}

bool HeldBytes::Keep() {
  if (budget_ != nullptr && !kept_) {
    if (!budget_->MayKeep(bytes_)) {
      LOG(WARNING) << "event=bytes-not-kept kind=" << NameOf(kind_)
                   << " bytes=" << bytes_ << " kept=" << budget_->kept_
                   << " held=" << budget_->held()
                   << " limit=" << budget_->limit();
      ++budget_->gave_way_[static_cast<std::size_t>(kind_)];
      return false;
    }
    kept_ = true;
    budget_->kept_ += bytes_;
  }
  give_way_ = nullptr;
  return true;
}

}  // namespace gentianlb
