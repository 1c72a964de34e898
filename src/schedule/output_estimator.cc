#include "schedule/output_estimator.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>

namespace gentianlb::schedule {
namespace {

// The median is used for placement, the 0.9 quantile for memory reservation.
constexpr std::array<double, 2> kQuantiles = {0.5, 0.9};

// The sketch has 7 markers, which are noisy below about twice as many samples.
constexpr int kMinSamples = 16;

// The 0.9 quantile is stable after a few hundred samples. At one request per
// second, a changed distribution is followed within about 15 minutes.
constexpr int kSketchSamples = 1000;

// About 1 KB each, 16 MB in total. Requests beyond the limit use the sketch of
// the whole service.
constexpr std::size_t kMaxSketches = 16384;

// Default without any samples: one paragraph, and four times that.
constexpr OutputEstimate kDefaultEstimate = {.median = 256, .p90 = 1024};

// Lengths are roughly log-normal: an output that exceeds the 0.9 quantile is
// expected to end at about 1.5 times its current length.
constexpr double kOverrunFactor = 1.5;

// Optimistic output length as a fraction of the median. Half the median is
// common. A default may be wrong by a factor of 10; without the lower fraction,
// requests that seem to miss their deadline would never run, so their true
// lengths would never be learnt.
constexpr double kOptimisticFactor = 0.5;
constexpr double kOptimisticDefaultFactor = 0.05;

// Rounds `tokens` to at least 1 and at most `bound`; 0 means no limit.
int Clamp(double tokens, int bound) {
  const int rounded = std::max(1, static_cast<int>(std::lround(tokens)));
  return bound > 0 ? std::min(rounded, bound) : rounded;
}

OutputEstimate Clamp(const OutputEstimate& estimate, int bound) {
  return {.median = Clamp(estimate.median, bound),
          .p90 = Clamp(estimate.p90, bound),
          .learnt = estimate.learnt};
}

}  // namespace

LengthSketch::LengthSketch() : current_(MakeAccumulator()) {}

LengthSketch::Accumulator LengthSketch::MakeAccumulator() {
  return Accumulator(
      boost::accumulators::tag::extended_p_square::probabilities = kQuantiles);
}

void LengthSketch::Add(double tokens) {
  current_(tokens);
  ++current_count_;
  if (current_count_ < kSketchSamples) return;
  previous_ = Quantiles();
  current_ = MakeAccumulator();
  current_count_ = 0;
}

std::optional<OutputEstimate> LengthSketch::Quantiles() const {
  if (current_count_ < kMinSamples) return previous_;
  const auto quantiles = boost::accumulators::extended_p_square(current_);
  const int median = Clamp(quantiles[0], 0);
  const int p90 = std::max(median, Clamp(quantiles[1], 0));
  return OutputEstimate{.median = median, .p90 = p90, .learnt = true};
}

OutputEstimator::Key OutputEstimator::KeyOf(const Request& request,
                                            WorkspaceIndex workspace) {
  const auto bound =
      static_cast<std::uint32_t>(std::max(0, request.max_output_tokens));
  const auto tier = static_cast<std::uint32_t>(request.tier.rank);
  return {workspace,
          tier * 64 + static_cast<std::uint32_t>(std::bit_width(bound))};
}

OutputEstimate OutputEstimator::Estimate(const Request& request,
                                         WorkspaceIndex workspace) const {
  const int bound = request.max_output_tokens;
  if (request.expected_output_tokens > 0) {
    // Caller estimates are unbiased but imprecise: about 90 % of the outputs
    // stay below three times the estimate.
    constexpr double kCallerP90Factor = 3;
    const int expected = request.expected_output_tokens;
    return Clamp(OutputEstimate{.median = expected,
                                .p90 = Clamp(expected * kCallerP90Factor, 0),
                                .learnt = true},
                 bound);
  }
  const auto found = sketches_.find(KeyOf(request, workspace));
  if (found != sketches_.end()) {
    if (const auto own = found->second.Quantiles()) return Clamp(*own, bound);
  }
  // For a new kind of request, the caller's output limit predicts the length
  // better than other requests of the service do.
  if (bound > 0) return {.median = std::max(1, bound / 2), .p90 = bound};
  OutputEstimate estimate = service_.Quantiles().value_or(kDefaultEstimate);
  estimate.learnt = false;
  return estimate;
}

void OutputEstimator::Learn(const Request& request, WorkspaceIndex workspace,
                            int output_tokens) {
  service_.Add(output_tokens);
  const Key key = KeyOf(request, workspace);
  const auto found = sketches_.find(key);
  if (found != sketches_.end()) {
    found->second.Add(output_tokens);
  } else if (sketches_.size() < kMaxSketches) {
    sketches_[key].Add(output_tokens);
  }
}

int OutputEstimator::ServiceMedian() const {
  return service_.Quantiles().value_or(kDefaultEstimate).median;
}

double OptimisticOutputTokens(const OutputEstimate& estimate) {
  return estimate.median *
         (estimate.learnt ? kOptimisticFactor : kOptimisticDefaultFactor);
}

OutputEstimate CorrectEstimate(const OutputEstimate& estimate, int streamed,
                               int bound) {
  if (streamed < estimate.median) return estimate;
  const int extended =
      std::max(estimate.p90, Clamp(streamed * kOverrunFactor, bound));
  if (streamed < estimate.p90) {
    return {estimate.p90, estimate.p90, estimate.learnt};
  }
  return Clamp(OutputEstimate{.median = extended, .p90 = extended}, bound);
}

}  // namespace gentianlb::schedule
