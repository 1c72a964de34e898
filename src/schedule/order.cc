#include "schedule/order.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace gentianlb::schedule {
namespace {

// An idle flow whose tag the virtual time has passed is no longer needed. Two
// evictions per grant keep up with the flows that become idle.
constexpr int kMaxEvictionsPerGrant = 2;

// Maximum number of short, and of long, requests that Heads() takes from one
// workspace.
constexpr std::size_t kHeadDepth = 3;

}  // namespace

WaitingQueue::Key WaitingQueue::OrderKey(const WaitingRequest& waiting,
                                         WaitIndex index) {
  return {waiting.order_time, waiting.sequence, index};
}

WaitingQueue::Key WaitingQueue::ExpiryKey(const WaitingRequest& waiting,
                                          WaitIndex index) {
  return {waiting.latest_start, waiting.sequence, index};
}

WaitIndex WaitingQueue::Add(WaitingRequest waiting) {
  const LaneKey key{waiting.request.tier, waiting.pool};
  const WaitIndex index = waiting_.Add(std::move(waiting));
  const WaitingRequest& added = waiting_[index];
  if (key.pool >= pool_sizes_.size()) pool_sizes_.resize(key.pool + 1);
  ++pool_sizes_[key.pool];
  Lane& lane = lanes_[key];
  ++lane.size;
  if (added.returning) {
    lane.returning.insert(ExpiryKey(added, index));
    lane.returning_work += added.work;
  } else {
    AddToFlow(&lane, index);
  }
  expiry_.insert(ExpiryKey(added, index));
  return index;
}

void WaitingQueue::AddToFlow(Lane* lane, WaitIndex index) {
  const WaitingRequest& added = waiting_[index];
  Flow& flow = lane->flows[added.workspace];
  if (flow.empty()) {
    flow.weight = added.weight;
    Activate(lane, added.workspace, &flow);
  }
  (added.is_long ? flow.long_requests : flow.short_requests)
      .insert(OrderKey(added, index));
  AddWork(lane, added.workspace, &flow, added.work);
}

WaitingRequest WaitingQueue::Remove(WaitIndex index) {
  const WaitingRequest& removed = waiting_[index];
  const LaneKey key{removed.request.tier, removed.pool};
  Lane& lane = lanes_[key];
  --pool_sizes_[key.pool];
  --lane.size;
  expiry_.erase(ExpiryKey(removed, index));
  if (removed.returning) {
    lane.returning.erase(ExpiryKey(removed, index));
    lane.returning_work =
        lane.returning.empty() ? 0 : lane.returning_work - removed.work;
  } else {
    RemoveFromFlow(&lane, index);
  }
  return waiting_.Remove(index);
}

void WaitingQueue::RemoveFromFlow(Lane* lane, WaitIndex index) {
  const WaitingRequest& removed = waiting_[index];
  Flow& flow = lane->flows[removed.workspace];
  (removed.is_long ? flow.long_requests : flow.short_requests)
      .erase(OrderKey(removed, index));
  AddWork(lane, removed.workspace, &flow, -removed.work);
  if (flow.empty()) Deactivate(lane, removed.workspace, &flow);
}

void WaitingQueue::Activate(Lane* lane, WorkspaceIndex workspace, Flow* flow) {
  lane->idle.erase({flow->tag, workspace});
  // Idle time earns no credit; otherwise a workspace could save it up for a
  // burst.
  flow->tag = std::max(flow->tag, lane->virtual_time);
  lane->by_tag.insert({flow->tag, workspace});
  lane->by_work.insert({flow->work, workspace});
  lane->active_weight += flow->weight;
}

void WaitingQueue::Deactivate(Lane* lane, WorkspaceIndex workspace,
                              Flow* flow) {
  lane->by_tag.erase({flow->tag, workspace});
  lane->by_work.erase({flow->work, workspace});
  lane->active_weight -= flow->weight;
  if (lane->by_tag.empty()) {
    lane->active_weight = 0;
    lane->work = 0;
  }
  flow->work = 0;
  // Keeps the debt of the flow; otherwise a workspace could clear it by
  // emptying its queue.
  lane->idle.insert({flow->tag, workspace});
}

void WaitingQueue::SetTag(Lane* lane, WorkspaceIndex workspace, Flow* flow,
                          double tag) {
  auto& order = flow->empty() ? lane->idle : lane->by_tag;
  order.erase({flow->tag, workspace});
  flow->tag = tag;
  order.insert({tag, workspace});
}

void WaitingQueue::AddWork(Lane* lane, WorkspaceIndex workspace, Flow* flow,
                           double work) {
  lane->by_work.erase({flow->work, workspace});
  flow->work = std::max(0.0, flow->work + work);
  lane->work = std::max(0.0, lane->work + work);
  lane->by_work.insert({flow->work, workspace});
}

void WaitingQueue::EvictIdleFlows(Lane* lane) {
  for (int i = 0; i < kMaxEvictionsPerGrant && !lane->idle.empty(); ++i) {
    const auto first = *lane->idle.begin();
    if (first.first > lane->virtual_time) return;
    lane->idle.erase(lane->idle.begin());
    lane->flows.erase(first.second);
  }
}

std::vector<LaneKey> WaitingQueue::Lanes() const {
  std::vector<LaneKey> keys;
  for (const auto& [key, lane] : lanes_) {
    if (!lane.empty()) keys.push_back(key);
  }
  return keys;
}

bool WaitingQueue::LaneEmpty(const LaneKey& key) const {
  const auto lane = lanes_.find(key);
  return lane == lanes_.end() || lane->second.empty();
}

void WaitingQueue::Heads(const LaneKey& key, std::size_t limit,
                         std::vector<WaitIndex>* heads) const {
  const Lane& lane = lanes_.at(key);
  // Takes the first request of every workspace, then the second ones, and so
  // on: behind a request that is too late for the servers with free capacity
  // there may be one that is not.
  for (std::size_t depth = 0; depth < kHeadDepth; ++depth) {
    for (const auto& [tag, workspace] : lane.by_tag) {
      const Flow& flow = lane.flows.at(workspace);
      const RequestSet* first = &flow.short_requests;
      const RequestSet* second = &flow.long_requests;
      const bool long_first =
          first->empty() ||
          (!second->empty() && *second->begin() < *first->begin());
      if (long_first) std::swap(first, second);
      for (const RequestSet* requests : {first, second}) {
        if (heads->size() >= limit) return;
        if (requests->size() <= depth) continue;
        heads->push_back(
            std::next(requests->begin(), static_cast<std::ptrdiff_t>(depth))
                ->index);
      }
    }
    if (heads->size() >= lane.size) return;
  }
  for (const Key& request : lane.returning) {
    if (heads->size() >= limit) return;
    heads->push_back(request.index);
  }
}

void WaitingQueue::Charge(const WaitingRequest& waiting) {
  Lane& lane = lanes_[{waiting.request.tier, waiting.pool}];
  Flow& flow = lane.flows[waiting.workspace];
  lane.virtual_time = std::max(lane.virtual_time, flow.tag);
  SetTag(&lane, waiting.workspace, &flow,
         flow.tag + waiting.work / waiting.weight);
  EvictIdleFlows(&lane);
}

void WaitingQueue::CorrectCharge(const LaneKey& key, WorkspaceIndex workspace,
                                 double weight, double tokens) {
  Lane& lane = lanes_[key];
  const auto found = lane.flows.find(workspace);
  if (found == lane.flows.end()) return;
  Flow& flow = found->second;
  SetTag(&lane, workspace, &flow, flow.tag + tokens / weight);
}

Tier WaitingQueue::LowestTier() const {
  for (auto lane = lanes_.rbegin(); lane != lanes_.rend(); ++lane) {
    if (!lane->second.empty()) return lane->first.tier;
  }
  return Tier{-1};
}

WaitIndex WaitingQueue::ShedCandidate(Tier tier) const {
  const LaneKey* lane_key = nullptr;
  double max_work = -1;
  for (auto lane = lanes_.lower_bound({tier, 0});
       lane != lanes_.end() && lane->first.tier == tier; ++lane) {
    if (lane->second.empty() || lane->second.total_work() <= max_work) continue;
    max_work = lane->second.total_work();
    lane_key = &lane->first;
  }
  if (lane_key == nullptr) return kNoIndex;
  const RequestSet& returning = lanes_.at(*lane_key).returning;
  if (!returning.empty()) return returning.rbegin()->index;
  return LastInWorkspace(*lane_key,
                         lanes_.at(*lane_key).by_work.rbegin()->second);
}

WaitIndex WaitingQueue::LastInWorkspace(const LaneKey& key,
                                        WorkspaceIndex workspace) const {
  const auto lane = lanes_.find(key);
  if (lane == lanes_.end()) return kNoIndex;
  const auto flow = lane->second.flows.find(workspace);
  if (flow == lane->second.flows.end() || flow->second.empty()) {
    return kNoIndex;
  }
  const RequestSet& short_requests = flow->second.short_requests;
  const RequestSet& long_requests = flow->second.long_requests;
  if (short_requests.empty()) return long_requests.rbegin()->index;
  if (long_requests.empty()) return short_requests.rbegin()->index;
  return std::max(*short_requests.rbegin(), *long_requests.rbegin()).index;
}

double WaitingQueue::WorkInHigherTiers(Tier tier, PoolIndex pool) const {
  double work = 0;
  for (const auto& [key, lane] : lanes_) {
    if (key.tier >= tier) break;
    if (key.pool == pool) work += lane.total_work();
  }
  return work;
}

std::size_t WaitingQueue::LaneSize(const LaneKey& key) const {
  const auto lane = lanes_.find(key);
  return lane == lanes_.end() ? 0 : lane->second.size;
}

double WaitingQueue::LaneWork(const LaneKey& key) const {
  const auto lane = lanes_.find(key);
  return lane == lanes_.end() ? 0 : lane->second.total_work();
}

double WaitingQueue::WorkAhead(const LaneKey& key, WorkspaceIndex workspace,
                               double weight, absl::Time order_time) const {
  const auto found = lanes_.find(key);
  if (found == lanes_.end()) return 0;
  const Lane& lane = found->second;
  const auto found_flow = lane.flows.find(workspace);
  if (found_flow == lane.flows.end() || found_flow->second.empty()) return 0;
  const Flow& flow = found_flow->second;
  const RequestSet& larger =
      flow.short_requests.size() > flow.long_requests.size()
          ? flow.short_requests
          : flow.long_requests;
  // Estimates the fraction ahead by interpolating between the larger set's
  // first and last key.
  const absl::Time first = larger.begin()->at;
  const absl::Time last = larger.rbegin()->at;
  double fraction = order_time < first ? 0 : 1;
  if (order_time >= first && order_time < last) {
    fraction = absl::FDivDuration(order_time - first, last - first);
  }
  const double share = weight / std::max(weight, lane.active_weight);
  return std::min(lane.work, flow.work * fraction / share);
}

absl::Time WaitingQueue::NextExpiryTime() const {
  if (expiry_.empty()) return absl::InfiniteFuture();
  return expiry_.begin()->at;
}

bool WaitingQueue::IsHead(WaitIndex index) const {
  const WaitingRequest& waiting = waiting_[index];
  std::vector<WaitIndex> heads;
  Heads({waiting.request.tier, waiting.pool}, kMaxHeads, &heads);
  return std::find(heads.begin(), heads.end(), index) != heads.end();
}

WaitIndex WaitingQueue::NextToExpire() const {
  return expiry_.empty() ? kNoIndex : expiry_.begin()->index;
}

std::vector<WaitIndex> WaitingQueue::RequestsInPool(PoolIndex pool) const {
  std::vector<WaitIndex> all;
  for (const Key& key : expiry_) {
    if (waiting_[key.index].pool == pool) all.push_back(key.index);
  }
  return all;
}

}  // namespace gentianlb::schedule
