#include "schedule/order.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace gentianlb::schedule {
namespace {

// A rested workspace that has paid its debt needs no memory; two are dropped
// for each grant, more than come to rest in the mean.
constexpr int kForgetAtOnce = 2;

// How deep the heads go into one workspace's lines.
constexpr std::size_t kHeadDepth = 3;

}  // namespace

WaitingQueue::Key WaitingQueue::PlaceOf(const Waiting& waiting,
                                        WaitIndex index) {
  return {waiting.order_at, waiting.sequence, index};
}

WaitingQueue::Key WaitingQueue::ExpiryOf(const Waiting& waiting,
                                         WaitIndex index) {
  return {waiting.latest_start, waiting.sequence, index};
}

WaitIndex WaitingQueue::Add(Waiting waiting) {
  const LaneKey key{waiting.request.tier, waiting.pool};
  const WorkspaceIndex workspace = waiting.workspace;
  const WaitIndex index = waiting_.Add(std::move(waiting));
  const Waiting& added = waiting_[index];
  if (key.pool >= pool_sizes_.size()) pool_sizes_.resize(key.pool + 1);
  ++pool_sizes_[key.pool];
  Lane& lane = lanes_[key];
  ++lane.size;
  Flow& flow = lane.flows[workspace];
  if (flow.empty()) {
    flow.weight = added.weight;
    Activate(&lane, workspace, &flow);
  }
  (added.is_long ? flow.longs : flow.shorts).insert(PlaceOf(added, index));
  AddWork(&lane, workspace, &flow, added.work);
  expiry_.insert(ExpiryOf(added, index));
  return index;
}

Waiting WaitingQueue::Remove(WaitIndex index) {
  const Waiting& leaving = waiting_[index];
  const LaneKey key{leaving.request.tier, leaving.pool};
  Lane& lane = lanes_[key];
  Flow& flow = lane.flows[leaving.workspace];
  --pool_sizes_[key.pool];
  --lane.size;
  expiry_.erase(ExpiryOf(leaving, index));
  (leaving.is_long ? flow.longs : flow.shorts).erase(PlaceOf(leaving, index));
  AddWork(&lane, leaving.workspace, &flow, -leaving.work);
  if (flow.empty()) Rest(&lane, leaving.workspace, &flow);
  return waiting_.Remove(index);
}

void WaitingQueue::Activate(Lane* lane, WorkspaceIndex workspace, Flow* flow) {
  lane->resting.erase({flow->tag, workspace});
  // Idle time gives no credit, or a workspace could save up for a burst.
  flow->tag = std::max(flow->tag, lane->virtual_time);
  lane->turns.insert({flow->tag, workspace});
  lane->by_work.insert({flow->work, workspace});
  lane->active_weight += flow->weight;
}

void WaitingQueue::Rest(Lane* lane, WorkspaceIndex workspace, Flow* flow) {
  lane->turns.erase({flow->tag, workspace});
  lane->by_work.erase({flow->work, workspace});
  lane->active_weight -= flow->weight;
  if (lane->turns.empty()) {
    lane->active_weight = 0;
    lane->work = 0;
  }
  flow->work = 0;
  // A debt is remembered, or emptying its line would wipe it out.
  lane->resting.insert({flow->tag, workspace});
}

void WaitingQueue::MoveTag(Lane* lane, WorkspaceIndex workspace, Flow* flow,
                           double tag) {
  auto& order = flow->empty() ? lane->resting : lane->turns;
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

void WaitingQueue::ForgetRested(Lane* lane) {
  for (int i = 0; i < kForgetAtOnce && !lane->resting.empty(); ++i) {
    const auto first = *lane->resting.begin();
    if (first.first > lane->virtual_time) return;
    lane->resting.erase(lane->resting.begin());
    lane->flows.erase(first.second);
  }
}

std::vector<LaneKey> WaitingQueue::Lanes() const {
  std::vector<LaneKey> keys;
  for (const auto& [key, lane] : lanes_) {
    if (!lane.turns.empty()) keys.push_back(key);
  }
  return keys;
}

bool WaitingQueue::LaneEmpty(const LaneKey& key) const {
  const auto lane = lanes_.find(key);
  return lane == lanes_.end() || lane->second.turns.empty();
}

void WaitingQueue::Heads(const LaneKey& key, std::size_t limit,
                         std::vector<WaitIndex>* heads) const {
  const Lane& lane = lanes_.at(key);
  // First the first of every workspace, then the second ones: behind one that
  // is too late for the servers with room stands one that is not.
  for (std::size_t depth = 0; depth < kHeadDepth; ++depth) {
    for (const auto& [tag, workspace] : lane.turns) {
      const Flow& flow = lane.flows.at(workspace);
      const Line* first = &flow.shorts;
      const Line* second = &flow.longs;
      const bool long_first =
          first->empty() ||
          (!second->empty() && *second->begin() < *first->begin());
      if (long_first) std::swap(first, second);
      for (const Line* line : {first, second}) {
        if (heads->size() >= limit) return;
        if (line->size() <= depth) continue;
        heads->push_back(
            std::next(line->begin(), static_cast<std::ptrdiff_t>(depth))
                ->index);
      }
    }
    if (heads->size() >= lane.size) return;
  }
}

void WaitingQueue::Charge(const Waiting& waiting) {
  Lane& lane = lanes_[{waiting.request.tier, waiting.pool}];
  Flow& flow = lane.flows[waiting.workspace];
  lane.virtual_time = std::max(lane.virtual_time, flow.tag);
  MoveTag(&lane, waiting.workspace, &flow,
          flow.tag + waiting.work / waiting.weight);
  ForgetRested(&lane);
}

void WaitingQueue::Correct(const LaneKey& key, WorkspaceIndex workspace,
                           double weight, double tokens) {
  Lane& lane = lanes_[key];
  const auto found = lane.flows.find(workspace);
  if (found == lane.flows.end()) return;
  Flow& flow = found->second;
  MoveTag(&lane, workspace, &flow, flow.tag + tokens / weight);
}

Tier WaitingQueue::LowestTier() const {
  for (auto lane = lanes_.rbegin(); lane != lanes_.rend(); ++lane) {
    if (!lane->second.turns.empty()) return lane->first.tier;
  }
  return Tier{-1};
}

WaitIndex WaitingQueue::ShedCandidate(Tier tier) const {
  const LaneKey* worst = nullptr;
  double most = -1;
  for (auto lane = lanes_.lower_bound({tier, 0});
       lane != lanes_.end() && lane->first.tier == tier; ++lane) {
    if (lane->second.turns.empty() || lane->second.work <= most) continue;
    most = lane->second.work;
    worst = &lane->first;
  }
  if (worst == nullptr) return kNoIndex;
  return LastOf(*worst, lanes_.at(*worst).by_work.rbegin()->second);
}

WaitIndex WaitingQueue::LastOf(const LaneKey& key,
                               WorkspaceIndex workspace) const {
  const auto lane = lanes_.find(key);
  if (lane == lanes_.end()) return kNoIndex;
  const auto flow = lane->second.flows.find(workspace);
  if (flow == lane->second.flows.end() || flow->second.empty()) {
    return kNoIndex;
  }
  const Line& shorts = flow->second.shorts;
  const Line& longs = flow->second.longs;
  if (shorts.empty()) return longs.rbegin()->index;
  if (longs.empty()) return shorts.rbegin()->index;
  return std::max(*shorts.rbegin(), *longs.rbegin()).index;
}

double WaitingQueue::WorkAbove(Tier tier, PoolIndex pool) const {
  double work = 0;
  for (const auto& [key, lane] : lanes_) {
    if (key.tier >= tier) break;
    if (key.pool == pool) work += lane.work;
  }
  return work;
}

std::size_t WaitingQueue::LaneSize(const LaneKey& key) const {
  const auto lane = lanes_.find(key);
  return lane == lanes_.end() ? 0 : lane->second.size;
}

double WaitingQueue::LaneWork(const LaneKey& key) const {
  const auto lane = lanes_.find(key);
  return lane == lanes_.end() ? 0 : lane->second.work;
}

double WaitingQueue::WorkAhead(const LaneKey& key, WorkspaceIndex workspace,
                               double weight, absl::Time order_at) const {
  const auto found = lanes_.find(key);
  if (found == lanes_.end()) return 0;
  const Lane& lane = found->second;
  const auto own = lane.flows.find(workspace);
  if (own == lane.flows.end() || own->second.empty()) return 0;
  const Flow& flow = own->second;
  const Line& longest =
      flow.shorts.size() > flow.longs.size() ? flow.shorts : flow.longs;
  // The line's own spread tells how much of it goes first.
  const absl::Time first = longest.begin()->at;
  const absl::Time last = longest.rbegin()->at;
  double part = order_at < first ? 0 : 1;
  if (order_at >= first && order_at < last) {
    part = absl::FDivDuration(order_at - first, last - first);
  }
  const double share = weight / std::max(weight, lane.active_weight);
  return std::min(lane.work, flow.work * part / share);
}

absl::Time WaitingQueue::FirstExpiry() const {
  if (expiry_.empty()) return absl::InfiniteFuture();
  return expiry_.begin()->at;
}

bool WaitingQueue::InHeads(WaitIndex index) const {
  const Waiting& waiting = waiting_[index];
  std::vector<WaitIndex> heads;
  Heads({waiting.request.tier, waiting.pool}, kHeadsTried, &heads);
  return std::find(heads.begin(), heads.end(), index) != heads.end();
}

WaitIndex WaitingQueue::FirstExpiring() const {
  return expiry_.empty() ? kNoIndex : expiry_.begin()->index;
}

std::vector<WaitIndex> WaitingQueue::AllOf(PoolIndex pool) const {
  std::vector<WaitIndex> all;
  for (const Key& key : expiry_) {
    if (waiting_[key.index].pool == pool) all.push_back(key.index);
  }
  return all;
}

}  // namespace gentianlb::schedule
