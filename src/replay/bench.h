// The fixed set of replays that every change of the decisions is judged by: all
// scenarios on both deployments, with one signature over all of it; the sweep
// over seeds that looks for broken promises; and what a decision costs at two
// sizes.

#ifndef GENTIANLB_REPLAY_BENCH_H_
#define GENTIANLB_REPLAY_BENCH_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/result.h"
#include "replay/figures.h"

namespace gentianlb::replay {

// The product's figures on one scenario, beside what they are measured by.
struct BenchRow {
  std::string deployment;
  std::string scenario;
  ReplayFigures product;
  std::vector<ReplayFigures> baselines;
};

struct BenchFigures {
  std::vector<BenchRow> rows;
  std::uint64_t signature = 0;  // Over all the product's decisions.
};

// Which part of the fixed set to run; empty means all.
struct BenchFilter {
  std::string deployment;
  std::string scenario;
};

// Runs the set with seed 1.
Result<BenchFigures> RunBench(const BenchFilter& filter);

std::string ToText(const BenchFigures& figures);
std::string ToJsonText(const BenchFigures& figures);

// One broken promise: a tier inverted, or the cap exceeded.
struct Violation {
  std::string deployment;
  std::string scenario;
  std::uint64_t seed = 0;
  std::string what;
  bool operator==(const Violation&) const = default;
};

struct SweepFigures {
  int replays = 0;
  std::vector<Violation> violations;
};

// Runs the product through each scenario with the seeds from 1 to `seeds`.
Result<SweepFigures> RunSweep(const BenchFilter& filter, std::uint64_t seeds);

std::string ToText(const SweepFigures& figures);

// The product on one trace under the weights of both deployments.
struct WeightsRow {
  std::string deployment;
  std::string scenario;
  ReplayFigures association;
  ReplayFigures almaty;
};

// Runs each scenario, with seed 1, under both.
Result<std::vector<WeightsRow>> RunWeights(const BenchFilter& filter);

std::string ToText(const std::vector<WeightsRow>& rows);

// What one decision costs with so many servers and requests waiting.
struct ScaleFigures {
  int servers = 0;
  int waiting = 0;
  std::int64_t decisions = 0;
  double ns_per_decision = 0;
};

ScaleFigures MeasureScale(int servers, int waiting);

std::string ToText(const std::vector<ScaleFigures>& figures);

}  // namespace gentianlb::replay

#endif  // GENTIANLB_REPLAY_BENCH_H_
