#include "standins/order_book.h"

#include <algorithm>

namespace gentianlb::standins {

OrderVerdict OrderBook::Take(const Order& order, bool check_fence) {
  bool known =
      order.kind == "load" || order.kind == "unload" || order.kind == "role";
  if (!known || order.id.empty()) return OrderVerdict::kMalformed;
  if (check_fence && order.fence < highest_fence_) return OrderVerdict::kStale;
  highest_fence_ = std::max(highest_fence_, order.fence);
  bool added = entries_.emplace(order.id, Entry{order}).second;
  return added ? OrderVerdict::kTaken : OrderVerdict::kRepeated;
}

void OrderBook::Finish(const std::string& id, bool works) {
  Entry& entry = entries_[id];
  entry.state = works ? OrderState::kDone : OrderState::kFailed;
  if (!works) return;
  if (entry.order.kind == "load") models_.insert(entry.order.model);
  if (entry.order.kind == "unload") models_.erase(entry.order.model);
  if (entry.order.kind == "role") role_ = entry.order.role;
}

OrderState OrderBook::StateOf(const std::string& id) const {
  auto entry = entries_.find(id);
  return entry == entries_.end() ? OrderState::kUnknown : entry->second.state;
}

}  // namespace gentianlb::standins
