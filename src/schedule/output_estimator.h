// Estimates the number of output tokens of a request before it runs.
//
// Load pattern: output lengths differ by a factor of 100, from a tender draft
// to a one-line response. Without an estimate, the dispatcher could not judge
// whether a deadline is reachable, fairness would count requests instead of
// work, and the memory of running streams would be overcommitted or left idle.
//
// The quantiles come from the P-square sketch of Boost.Accumulators, which uses
// constant memory and keeps no samples. There is one sketch per workspace, tier
// and order of magnitude of the caller's output limit, because one workspace
// may send both long drafts and short tags. The tokens already streamed correct
// the estimate of a running request.

#ifndef GENTIANLB_SCHEDULE_OUTPUT_ESTIMATOR_H_
#define GENTIANLB_SCHEDULE_OUTPUT_ESTIMATOR_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <compare>
#include <optional>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "schedule/index.h"
#include "schedule/messages.h"

namespace gentianlb::schedule {

// Estimated number of output tokens of one request.
struct OutputEstimate {
  int median = 0;
  int p90 = 0;  // 0.9 quantile.
  // True if derived from similar requests or the caller's own estimate; false
  // if it is a default.
  bool learnt = false;
  auto operator<=>(const OutputEstimate&) const = default;
};

// Tracks quantiles of output lengths whose distribution may change over time.
// Starts a new sketch after every kSketchSamples samples; otherwise a workspace
// that switches from tags to drafts would be estimated from old data for days.
class LengthSketch {
 public:
  LengthSketch();
  void Add(double tokens);
  // Returns nothing until there are enough samples.
  std::optional<OutputEstimate> Quantiles() const;

 private:
  using Accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::extended_p_square>>;

  static Accumulator MakeAccumulator();

  Accumulator current_;
  int current_count_ = 0;
  std::optional<OutputEstimate> previous_;  // From the sketch before.
};

// Learns output lengths from completed requests and estimates those of new
// ones.
class OutputEstimator {
 public:
  // Returns the estimate for `request`: from the caller's own estimate if
  // given, else from similar requests, else a default.
  OutputEstimate Estimate(const Request& request,
                          WorkspaceIndex workspace) const;
  // Records the output length of a completed request.
  void Learn(const Request& request, WorkspaceIndex workspace,
             int output_tokens);

  // Returns the median output length of the whole service, in tokens. Requests
  // well above it are classed as long.
  int ServiceMedian() const;

 private:
  // Workspace, and a number that combines the tier with the order of magnitude
  // of the caller's output limit.
  using Key = std::pair<WorkspaceIndex, std::uint32_t>;

  static Key KeyOf(const Request& request, WorkspaceIndex workspace);

  absl::flat_hash_map<Key, LengthSketch> sketches_;
  LengthSketch service_;
};

// Returns an optimistic output length in tokens. A request that would miss its
// deadline even with this length is not worth starting.
double OptimisticOutputTokens(const OutputEstimate& estimate);

// Returns `estimate` corrected for `streamed` tokens already received. `bound`
// is the caller's output limit in tokens; 0 means none.
OutputEstimate CorrectEstimate(const OutputEstimate& estimate, int streamed,
                               int bound);

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_OUTPUT_ESTIMATOR_H_
