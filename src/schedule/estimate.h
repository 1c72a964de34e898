// How many tokens a request will put out, before anyone knows.
//
// Load pattern: output lengths differ a hundredfold, a tender draft beside a
// one-line size question. Without an estimate, deadlines are judged by a guess,
// fairness counts requests instead of work, and memory for running streams is
// either overrun or left idle.
//
// Quantiles come from the P-square sketch of Boost.Accumulators: constant
// memory, no samples kept. One sketch each for a workspace, tier and order of
// magnitude of the caller's bound, since one workspace sends both drafts and
// tags. What has streamed already corrects the estimate.

#ifndef GENTIANLB_SCHEDULE_ESTIMATE_H_
#define GENTIANLB_SCHEDULE_ESTIMATE_H_

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

// Tokens of one answer.
struct OutputEstimate {
  int median = 0;
  int high = 0;         // Nine in ten are no longer.
  bool learnt = false;  // From such requests; else a guess.
  auto operator<=>(const OutputEstimate&) const = default;
};

// Quantiles of a stream that may change its habits: after kSketchSamples a
// fresh sketch takes over, or a workspace that turns from tags to drafts would
// be judged by its past for days.
class LengthSketch {
 public:
  LengthSketch();
  void Add(double tokens);
  // Nothing before enough samples are in.
  std::optional<OutputEstimate> Quantiles() const;

 private:
  using Accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::extended_p_square>>;

  static Accumulator Fresh();

  Accumulator young_;
  int young_count_ = 0;
  std::optional<OutputEstimate> old_;
};

class OutputEstimator {
 public:
  OutputEstimate Estimate(const Request& request,
                          WorkspaceIndex workspace) const;
  void Learn(const Request& request, WorkspaceIndex workspace,
             int output_tokens);

  // The typical answer of the whole service; what is far above it is long.
  int ServiceMedian() const;

 private:
  // Workspace; tier and order of magnitude of the caller's bound.
  using Key = std::pair<WorkspaceIndex, std::uint32_t>;

  static Key KeyOf(const Request& request, WorkspaceIndex workspace);

  absl::flat_hash_map<Key, LengthSketch> sketches_;
  LengthSketch service_;
};

// The length of an answer that turns out short. What could not finish even so
// is hopeless.
double HopefulOutput(const OutputEstimate& estimate);

// What `estimate` becomes once `streamed` tokens are out. `bound` is the
// caller's own, 0 for none.
OutputEstimate Corrected(const OutputEstimate& estimate, int streamed,
                         int bound);

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_ESTIMATE_H_
