#include "replay/bench.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "replay/bound.h"
#include "replay/deployment.h"
#include "replay/policies.h"
#include "replay/report.h"
#include "replay/scenario.h"
#include "replay/signature.h"

namespace gentianlb::replay {
namespace {

constexpr std::uint64_t kBenchSeed = 1;

struct Case {
  Deployment deployment;
  std::string scenario;
};

Result<std::vector<Case>> Cases(const BenchFilter& filter) {
  std::vector<Case> cases;
  for (const std::string& name : DeploymentNames()) {
    if (!filter.deployment.empty() && filter.deployment != name) continue;
    BOOST_LEAF_AUTO(deployment, FindDeployment(name));
    for (const std::string& scenario : ScenarioNames()) {
      if (!filter.scenario.empty() && filter.scenario != scenario) continue;
      cases.push_back({deployment, scenario});
    }
  }
  if (cases.empty()) return Fail(Code::kUsage, "nothing to run");
  return cases;
}

Result<BenchRow> RunCase(const Case& it) {
  BOOST_LEAF_AUTO(trace, MakeScenario(it.deployment, it.scenario, kBenchSeed));
  BenchRow row{it.deployment.name, it.scenario, {}, {}};
  BOOST_LEAF_ASSIGN(row.product, ReplayUnder(kProductPolicy, it.deployment,
                                             trace, kBenchSeed));
  for (std::size_t i = 0; i < it.deployment.services.size(); ++i) {
    row.product.services[i].bound =
        Bound(it.deployment, it.deployment.services[i], trace);
  }
  for (const std::string& name : BaselineNames()) {
    BOOST_LEAF_AUTO(figures,
                    ReplayUnder(name, it.deployment, trace, kBenchSeed));
    row.baselines.push_back(std::move(figures));
  }
  return row;
}

int InTime(const ServiceFigures& service) {
  int sum = 0;
  for (const TierFigures& tier : service.tiers) sum += tier.in_time;
  return sum;
}

int Offered(const ServiceFigures& service) {
  int sum = 0;
  for (const TierFigures& tier : service.tiers) sum += tier.offered;
  return sum;
}

int Inversions(const ServiceFigures& service) {
  int sum = 0;
  for (const TierFigures& tier : service.tiers) {
    sum += tier.inversions + tier.cancel_inversions;
  }
  return sum;
}

int Doubtful(const ServiceFigures& service) {
  int sum = 0;
  for (const TierFigures& tier : service.tiers) sum += tier.doubtful_refusals;
  return sum;
}

double WastedPart(const ServiceFigures& service) {
  double computed = service.prefill.computed;
  return computed > 0 ? service.prefill.wasted() / computed : 0;
}

// Without what was computed a second time for another server.
double ThrownAwayPart(const ServiceFigures& service) {
  const PrefillFigures& prefill = service.prefill;
  double thrown = prefill.wasted() - prefill.misplaced;
  return prefill.computed > 0 ? thrown / prefill.computed : 0;
}

double Ratio(double part, double whole) { return whole > 0 ? part / whole : 1; }

// One line of the table.
std::string LineOf(const BenchRow& row, std::size_t index) {
  const ServiceFigures& product = row.product.services[index];
  int best = 0;
  double least_waste = 1;
  for (const ReplayFigures& baseline : row.baselines) {
    best = std::max(best, InTime(baseline.services[index]));
    least_waste = std::min(least_waste, WastedPart(baseline.services[index]));
  }
  const BoundFigures& bound = product.bound;
  double top = bound.by_tier.empty() ? 0 : bound.by_tier.front();
  int top_in_time = product.tiers.empty() ? 0 : product.tiers.front().in_time;
  int in_time = InTime(product);
  return absl::StrFormat(
      "%-11s %-16s %-13s %6d %6d %6.3f %6.3f %6.3f %6.2f %7.2f %7.2f %7.2f %5d "
      "%5d "
      "%6.0f %6.0f\n",
      row.deployment, row.scenario, product.service.str(), Offered(product),
      in_time, Ratio(top_in_time, top), Ratio(in_time, bound.tiers_total),
      Ratio(in_time, bound.total), Ratio(in_time, best),
      100 * WastedPart(product), 100 * ThrownAwayPart(product),
      100 * least_waste, Inversions(product), Doubtful(product),
      product.watts_above_cap, product.ns_per_decision);
}

Result<ReplayFigures> ReplayWithWeightsOf(std::string_view name, const Case& it,
                                          const Trace& trace) {
  BOOST_LEAF_AUTO(other, FindDeployment(name));
  Deployment deployment = it.deployment;
  deployment.weights = other.weights;
  return ReplayUnder(kProductPolicy, deployment, trace, kBenchSeed);
}

void FindViolations(const Case& it, std::uint64_t seed,
                    const ReplayFigures& figures,
                    std::vector<Violation>* violations) {
  auto note = [&](const ServiceFigures& service, const std::string& what) {
    violations->push_back({it.deployment.name, it.scenario, seed,
                           absl::StrCat(service.service.str(), ": ", what)});
  };
  for (const ServiceFigures& service : figures.services) {
    if (Inversions(service) > 0) {
      note(service, absl::StrCat(Inversions(service), " inversions"));
    }
    if (service.watts_above_cap > 0) {
      note(service, absl::StrCat(service.watts_above_cap, " W above the cap"));
    }
  }
}

}  // namespace

Result<BenchFigures> RunBench(const BenchFilter& filter) {
  BOOST_LEAF_AUTO(cases, Cases(filter));
  BenchFigures figures;
  Signature signature;
  for (const Case& it : cases) {
    BOOST_LEAF_AUTO(row, RunCase(it));
    for (const ServiceFigures& service : row.product.services) {
      signature.Add(service.signature);
    }
    figures.rows.push_back(std::move(row));
  }
  figures.signature = signature.Value();
  return figures;
}

std::string ToText(const BenchFigures& figures) {
  std::string text = absl::StrFormat(
      "%-11s %-16s %-13s %6s %6s %6s %6s %6s %6s %7s %7s %7s %5s %5s %6s %6s\n",
      "deployment", "scenario", "service", "offer", "intime", "top", "tiers",
      "all", "xbase", "waste%", "thrown%", "base%", "inv", "doubt", "W over",
      "ns");
  for (const BenchRow& row : figures.rows) {
    for (std::size_t i = 0; i < row.product.services.size(); ++i) {
      text += LineOf(row, i);
    }
  }
  absl::StrAppend(&text, "signature ", Hex(figures.signature), "\n");
  return text;
}

std::string ToJsonText(const BenchFigures& figures) {
  Json::Value value;
  value["signature"] = Hex(figures.signature);
  value["rows"] = Json::Value(Json::arrayValue);
  for (const BenchRow& row : figures.rows) {
    Json::Value item;
    item["deployment"] = row.deployment;
    item["scenario"] = row.scenario;
    item["product"] = ToJson(row.product);
    item["baselines"] = Json::Value(Json::arrayValue);
    for (const ReplayFigures& baseline : row.baselines) {
      item["baselines"].append(ToJson(baseline));
    }
    value["rows"].append(item);
  }
  return Print(value);
}

Result<SweepFigures> RunSweep(const BenchFilter& filter, std::uint64_t seeds) {
  BOOST_LEAF_AUTO(cases, Cases(filter));
  SweepFigures sweep;
  for (const Case& it : cases) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      BOOST_LEAF_AUTO(trace, MakeScenario(it.deployment, it.scenario, seed));
      BOOST_LEAF_AUTO(figures,
                      ReplayUnder(kProductPolicy, it.deployment, trace, seed));
      FindViolations(it, seed, figures, &sweep.violations);
      ++sweep.replays;
    }
  }
  return sweep;
}

std::string ToText(const SweepFigures& figures) {
  std::string text;
  for (const Violation& violation : figures.violations) {
    absl::StrAppend(&text, violation.deployment, " ", violation.scenario,
                    " seed ", violation.seed, ": ", violation.what, "\n");
  }
  absl::StrAppend(&text, figures.replays, " replays, ",
                  figures.violations.size(), " violations\n");
  return text;
}

Result<std::vector<WeightsRow>> RunWeights(const BenchFilter& filter) {
  BOOST_LEAF_AUTO(cases, Cases(filter));
  std::vector<WeightsRow> rows;
  for (const Case& it : cases) {
    BOOST_LEAF_AUTO(trace,
                    MakeScenario(it.deployment, it.scenario, kBenchSeed));
    WeightsRow row{it.deployment.name, it.scenario, {}, {}};
    BOOST_LEAF_ASSIGN(row.association,
                      ReplayWithWeightsOf("association", it, trace));
    BOOST_LEAF_ASSIGN(row.almaty, ReplayWithWeightsOf("almaty", it, trace));
    rows.push_back(std::move(row));
  }
  return rows;
}

std::string ToText(const std::vector<WeightsRow>& rows) {
  std::string text =
      absl::StrFormat("%-11s %-16s %14s %8s %14s %8s\n", "trace of", "scenario",
                      "association: in", "waste%", "almaty: in", "waste%");
  for (const WeightsRow& row : rows) {
    // Plain services have no prompts to waste.
    const ServiceFigures& goodput = row.association.services.front();
    const ServiceFigures& waste = row.almaty.services.front();
    absl::StrAppendFormat(&text, "%-11s %-16s %14d %8.2f %14d %8.2f\n",
                          row.deployment, row.scenario, InTime(goodput),
                          100 * WastedPart(goodput), InTime(waste),
                          100 * WastedPart(waste));
  }
  return text;
}

std::string ToText(const std::vector<ScaleFigures>& figures) {
  std::string text;
  for (const ScaleFigures& row : figures) {
    absl::StrAppendFormat(
        &text, "%5d servers, %6d waiting: %8.0f ns per decision (%d)\n",
        row.servers, row.waiting, row.ns_per_decision, row.decisions);
  }
  return text;
}

}  // namespace gentianlb::replay
