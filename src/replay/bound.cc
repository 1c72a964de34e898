#include "replay/bound.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "replay/site.h"
#include "replay/work_model.h"

namespace gentianlb::replay {
namespace {

using schedule::kPrefixBlockTokens;
using schedule::ServerSpec;

// Windows are widened to whole steps, which keeps the bound true; finer steps
// cost time with the square of their number.
constexpr double kLeastStepSeconds = 2;
constexpr int kMostSteps = 150;

// One request, reduced to what it needs at the least.
struct Job {
  Tier tier;
  double from = 0;  // Seconds after the start.
  double to = 0;
  int first_step = 0;
  int last_step = 0;
  double prompt_tokens = 0;  // Those that nobody else's prompt holds.
  double output_tokens = 0;
  double cost = 0;
};

struct Grid {
  double step_seconds = 0;
  std::size_t steps = 0;
};

// Supply by step of time.
using Supply = std::vector<double>;

// What is left for windows of time: an interval's work can't exceed its supply.
class Slack {
 public:
  explicit Slack(const Supply& supply) : steps_(supply.size()) {
    left_.resize(steps_ * steps_, 0);
    for (std::size_t from = 0; from < steps_; ++from) {
      double sum = 0;
      for (std::size_t to = from; to < steps_; ++to) {
        sum += supply[to];
        left_[from * steps_ + to] = sum;
      }
    }
  }

  // Fits as much of `cost` as there is room for; returns how much.
  double Fit(const Job& job) {
    double room = job.cost;
    ForEachAround(job, [&](double& left) { room = std::min(room, left); });
    ForEachAround(job, [&](double& left) { left -= room; });
    return room;
  }

 private:
  // All intervals that hold the job's window.
  template <typename Visit>
  void ForEachAround(const Job& job, Visit visit) {
    for (int from = 0; from <= job.first_step; ++from) {
      double* row = &left_[from * steps_];
      for (std::size_t to = job.last_step; to < steps_; ++to) visit(row[to]);
    }
  }

  const std::size_t steps_;
  std::vector<double> left_;
};

// Follows the servers' speeds and the cap through the trace.
class SupplyMeter {
 public:
  SupplyMeter(const Deployment& deployment, const ServiceLoad& service,
              const WorkModel& model, const Grid& grid)
      : service_(service),
        model_(model),
        speeds_(service.servers.size(), 1),
        cap_(deployment.power_cap_watts * service.power_fraction),
        step_seconds_(grid.step_seconds),
        supply_(grid.steps, 0) {}

  Supply Measure(const Trace& trace) {
    for (const TraceEvent& event : trace.events) Take(event);
    AddUntil(static_cast<double>(supply_.size()) * step_seconds_);
    return supply_;
  }

 private:
  void Take(const TraceEvent& event) {
    double at = absl::ToDoubleSeconds(event.at);
    if (const auto* cap = std::get_if<TracePowerCap>(&event.body)) {
      double watts = cap->watts * service_.power_fraction;
      bool lower = watts < cap_;
      AddUntil(at + (lower ? absl::ToDoubleSeconds(kCapNotice) : 0));
      cap_ = watts;
    } else if (const auto* slow = std::get_if<TraceServerSlow>(&event.body)) {
      SetSpeed(at, slow->server, slow->speed);
    } else if (const auto* dead = std::get_if<TraceServerDead>(&event.body)) {
      SetSpeed(at, dead->server, 0);
    } else if (const auto* back = std::get_if<TraceServerBack>(&event.body)) {
      SetSpeed(at, back->server, 1);
    }
  }

  void SetSpeed(double at, const ServerId& server, double speed) {
    for (std::size_t i = 0; i < speeds_.size(); ++i) {
      if (service_.servers[i].id != server) continue;
      // What was supplied before a notice ran out stays as it was counted.
      AddUntil(at);
      speeds_[i] = speed;
    }
  }

  void AddUntil(double until) {
    const double rate = model_.Supply(speeds_, cap_);
    while (from_ < until) {
      auto step = static_cast<std::size_t>(from_ / step_seconds_);
      if (step >= supply_.size()) return;
      double end =
          std::min(until, static_cast<double>(step + 1) * step_seconds_);
      supply_[step] += rate * (end - from_);
      from_ = end;
    }
  }

  const ServiceLoad& service_;
  const WorkModel& model_;
  std::vector<double> speeds_;
  double cap_;
  const double step_seconds_;
  double from_ = 0;
  Supply supply_;
};

// How many prompts hold each block.
absl::flat_hash_map<schedule::PrefixHash, int> CountBlocks(
    const Trace& trace, const ServiceId& service) {
  absl::flat_hash_map<schedule::PrefixHash, int> counts;
  for (const TraceEvent& event : trace.events) {
    const auto* request = std::get_if<TraceRequest>(&event.body);
    if (request == nullptr || request->service != service) continue;
    for (schedule::PrefixHash block : PrefixChain(*request)) ++counts[block];
  }
  return counts;
}

// Whether it could finish in time alone on the best server.
bool Reachable(const TraceRequest& request, double prompt_tokens,
               const std::vector<ServerSpec>& servers) {
  return std::any_of(servers.begin(), servers.end(), [&](const auto& spec) {
    double seconds = prompt_tokens / spec.prefill_tokens_per_second +
                     request.output_tokens / spec.decode_tokens_per_second;
    return absl::Seconds(seconds) <= request.deadline;
  });
}

std::vector<Job> Jobs(const ServiceLoad& service, const Trace& trace) {
  const auto counts = CountBlocks(trace, service.id);
  std::vector<Job> jobs;
  for (const TraceEvent& event : trace.events) {
    const auto* request = std::get_if<TraceRequest>(&event.body);
    if (request == nullptr || request->service != service.id) continue;
    double prompt = request->prompt_tokens % kPrefixBlockTokens;
    for (schedule::PrefixHash block : PrefixChain(*request)) {
      if (counts.at(block) == 1) prompt += kPrefixBlockTokens;
    }
    if (!Reachable(*request, prompt, service.servers)) continue;
    double from = absl::ToDoubleSeconds(event.at);
    double to = absl::ToDoubleSeconds(event.at + request->deadline);
    jobs.push_back({request->tier, from, to, 0, 0, prompt,
                    static_cast<double>(request->output_tokens)});
  }
  return jobs;
}

// Requests that fit, by tier, when `jobs` are taken in their order.
std::map<Tier, double> FitInOrder(const std::vector<Job>& jobs,
                                  const Supply& supply) {
  Slack slack(supply);
  std::map<Tier, double> fitted;
  for (const Job& job : jobs) fitted[job.tier] += slack.Fit(job) / job.cost;
  return fitted;
}

double Sum(const std::map<Tier, double>& counts) {
  double sum = 0;
  for (const auto& [tier, count] : counts) sum += count;
  return sum;
}

// Cuts time into steps, and each job's window into whole ones.
Grid CutIntoSteps(std::vector<Job>* jobs) {
  double last = 0;
  for (const Job& job : *jobs) last = std::max(last, job.to);
  Grid grid;
  // Whole seconds, of which sums are exact: the edge of a step is always one.
  grid.step_seconds = std::ceil(std::max(kLeastStepSeconds, last / kMostSteps));
  grid.steps = static_cast<std::size_t>(last / grid.step_seconds) + 1;
  for (Job& job : *jobs) {
    job.first_step = static_cast<int>(job.from / grid.step_seconds);
    job.last_step = static_cast<int>(job.to / grid.step_seconds);
  }
  return grid;
}

std::vector<Tier> TiersOf(const ServiceLoad& service, const Trace& trace) {
  std::set<Tier> tiers;
  for (const TraceEvent& event : trace.events) {
    const auto* request = std::get_if<TraceRequest>(&event.body);
    if (request != nullptr && request->service == service.id) {
      tiers.insert(request->tier);
    }
  }
  return {tiers.begin(), tiers.end()};
}

// The least, over the multipliers, of the requests that fit in tiers up to each
// one, and of all regardless of tier.
class LeastBound {
 public:
  explicit LeastBound(std::vector<Tier> tiers)
      : tiers_(std::move(tiers)),
        up_to_(tiers_.size(), std::numeric_limits<double>::infinity()) {}

  void TakeByTier(const std::map<Tier, double>& fitted) {
    double sum = 0;
    for (std::size_t i = 0; i < tiers_.size(); ++i) {
      auto found = fitted.find(tiers_[i]);
      if (found != fitted.end()) sum += found->second;
      up_to_[i] = std::min(up_to_[i], sum);
    }
  }

  void TakeTotal(double total) { total_ = std::min(total_, total); }

  BoundFigures Figures() const {
    BoundFigures figures;
    double before = 0;
    for (double sum : up_to_) {
      figures.by_tier.push_back(sum - before);
      before = sum;
    }
    figures.tiers_total = before;
    figures.total = total_;
    return figures;
  }

 private:
  const std::vector<Tier> tiers_;
  std::vector<double> up_to_;
  double total_ = std::numeric_limits<double>::infinity();
};

}  // namespace

BoundFigures Bound(const Deployment& deployment, const ServiceLoad& service,
                   const Trace& trace) {
  std::vector<Job> jobs = Jobs(service, trace);
  if (jobs.empty()) return {};
  const Grid grid = CutIntoSteps(&jobs);
  LeastBound least(TiersOf(service, trace));
  const double cap = deployment.power_cap_watts * service.power_fraction;
  for (double multiplier : Multipliers(service.servers, cap)) {
    WorkModel model(service.servers, multiplier);
    const Supply supply =
        SupplyMeter(deployment, service, model, grid).Measure(trace);
    for (Job& job : jobs) {
      job.cost = model.Cost(job.prompt_tokens, job.output_tokens);
    }
    // Of equal worth, the cheapest first is the most that fits: intervals of
    // one resource form a polymatroid, on which the greedy choice is best.
    std::sort(jobs.begin(), jobs.end(),
              [](const Job& a, const Job& b) { return a.cost < b.cost; });
    least.TakeTotal(Sum(FitInOrder(jobs, supply)));
    std::stable_sort(jobs.begin(), jobs.end(), [](const Job& a, const Job& b) {
      return a.tier < b.tier;
    });
    least.TakeByTier(FitInOrder(jobs, supply));
  }
  return least.Figures();
}

}  // namespace gentianlb::replay
