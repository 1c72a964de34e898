#include "replay/policies.h"

#include <cmath>
#include <map>

#include "absl/strings/str_cat.h"
#include "replay/baseline.h"
#include "replay/bound.h"
#include "replay/driver.h"
#include "schedule/dispatcher.h"

namespace gentianlb::replay {
namespace {

Result<ReplayFigures> ReplayProduct(const Deployment& deployment,
                                    const Trace& trace, std::uint64_t seed) {
  schedule::DispatcherOptions options{deployment.weights, seed};
  return Replay(deployment, trace, seed,
                [&] { return schedule::Dispatcher(options); });
}

template <ServerChoice Choice>
Result<ReplayFigures> ReplayBaseline(const Deployment& deployment,
                                     const Trace& trace, std::uint64_t seed,
                                     const Choice& choice) {
  return Replay(deployment, trace, seed, [&] { return Baseline(choice); });
}

// The bound in the form of a replay: what is not in time counts as refused.
Result<ReplayFigures> BoundAsReplay(const Deployment& deployment,
                                    const Trace& trace) {
  ReplayFigures figures;
  figures.deployment = deployment.name;
  figures.note = trace.note;
  for (const ServiceLoad& service : deployment.services) {
    ServiceFigures row;
    row.service = service.id;
    row.bound = Bound(deployment, service, trace);
    std::map<Tier, TierFigures> tiers;
    for (const TraceEvent& event : trace.events) {
      const auto* request = std::get_if<TraceRequest>(&event.body);
      if (request == nullptr || request->service != service.id) continue;
      ++tiers[request->tier].offered;
    }
    std::size_t next = 0;
    for (auto& [tier, counts] : tiers) {
      counts.tier = tier;
      double in_time =
          next < row.bound.by_tier.size() ? row.bound.by_tier[next] : 0;
      ++next;
      counts.in_time = static_cast<int>(std::floor(in_time));
      counts.refused = counts.offered - counts.in_time;
      row.tiers.push_back(counts);
    }
    figures.services.push_back(std::move(row));
  }
  return figures;
}

Result<ReplayFigures> Dispatch(std::string_view name,
                               const Deployment& deployment, const Trace& trace,
                               std::uint64_t seed) {
  if (name == kProductPolicy) return ReplayProduct(deployment, trace, seed);
  if (name == kBoundPolicy) return BoundAsReplay(deployment, trace);
  if (name == "round-robin") {
    return ReplayBaseline(deployment, trace, seed, RoundRobin());
  }
  if (name == "least-outstanding") {
    return ReplayBaseline(deployment, trace, seed, LeastOutstanding());
  }
  if (name == "two-choices") {
    return ReplayBaseline(deployment, trace, seed, TwoChoices(seed));
  }
  if (name == "prefix-affinity") {
    return ReplayBaseline(deployment, trace, seed, PrefixAffinity());
  }
  return Fail(Code::kUsage,
              absl::StrCat("no policy named ", std::string(name)));
}

}  // namespace

std::vector<std::string> PolicyNames() {
  return {std::string(kProductPolicy), "round-robin",
          "least-outstanding",         "two-choices",
          "prefix-affinity",           std::string(kBoundPolicy)};
}

std::vector<std::string> BaselineNames() {
  return {"round-robin", "least-outstanding", "two-choices", "prefix-affinity"};
}

Result<ReplayFigures> ReplayUnder(std::string_view name,
                                  const Deployment& deployment,
                                  const Trace& trace, std::uint64_t seed) {
  BOOST_LEAF_AUTO(figures, Dispatch(name, deployment, trace, seed));
  figures.policy = std::string(name);
  return figures;
}

}  // namespace gentianlb::replay
