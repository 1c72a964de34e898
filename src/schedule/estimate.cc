#include "schedule/estimate.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>

namespace gentianlb::schedule {
namespace {

// The median places work; the ninth decile reserves memory for it.
constexpr std::array<double, 2> kQuantiles = {0.5, 0.9};

// The sketch keeps 7 markers; below about twice as many samples they are noise.
constexpr int kMinSamples = 16;

// A ninth decile is steady after some hundred samples; at one request a second
// a change of habit is followed within the quarter of an hour.
constexpr int kSketchSamples = 1000;

// About 1 KB each: 16 MB at the most. Further ones share the service's sketch.
constexpr std::size_t kMaxSketches = 16384;

// Before anything is known: a paragraph, and an answer four times as long.
constexpr OutputEstimate kFirstGuess = {.median = 256, .high = 1024};

// Lengths are close to log-normal; what has outgrown the ninth decile goes on
// for about half as long again.
constexpr double kOvergrowth = 1.5;

// An answer half as long as the median is common; a guess may be off by ten.
// Without the latter, requests whose bound looks out of reach would never run,
// and so nothing would ever be learnt of them.
constexpr double kHopeful = 0.5;
constexpr double kHopefulGuess = 0.05;

int Bounded(double tokens, int bound) {
  const int rounded = std::max(1, static_cast<int>(std::lround(tokens)));
  return bound > 0 ? std::min(rounded, bound) : rounded;
}

OutputEstimate Bounded(const OutputEstimate& estimate, int bound) {
  return {.median = Bounded(estimate.median, bound),
          .high = Bounded(estimate.high, bound),
          .learnt = estimate.learnt};
}

}  // namespace

LengthSketch::LengthSketch() : young_(Fresh()) {}

LengthSketch::Accumulator LengthSketch::Fresh() {
  return Accumulator(
      boost::accumulators::tag::extended_p_square::probabilities = kQuantiles);
}

void LengthSketch::Add(double tokens) {
  young_(tokens);
  ++young_count_;
  if (young_count_ < kSketchSamples) return;
  old_ = Quantiles();
  young_ = Fresh();
  young_count_ = 0;
}

std::optional<OutputEstimate> LengthSketch::Quantiles() const {
  if (young_count_ < kMinSamples) return old_;
  const auto quantiles = boost::accumulators::extended_p_square(young_);
  const int median = Bounded(quantiles[0], 0);
  const int high = std::max(median, Bounded(quantiles[1], 0));
  return OutputEstimate{.median = median, .high = high, .learnt = true};
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
    // Right in the middle and often far off: nine in ten stay under thrice.
    constexpr double kHintSpread = 3;
    const int hint = request.expected_output_tokens;
    return Bounded(OutputEstimate{.median = hint,
                                  .high = Bounded(hint * kHintSpread, 0),
                                  .learnt = true},
                   bound);
  }
  const auto found = sketches_.find(KeyOf(request, workspace));
  if (found != sketches_.end()) {
    if (const auto own = found->second.Quantiles()) return Bounded(*own, bound);
  }
  // The caller's bound says more of a new kind of request than the others do.
  if (bound > 0) return {.median = std::max(1, bound / 2), .high = bound};
  OutputEstimate guess = service_.Quantiles().value_or(kFirstGuess);
  guess.learnt = false;
  return guess;
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
  return service_.Quantiles().value_or(kFirstGuess).median;
}

double HopefulOutput(const OutputEstimate& estimate) {
  return estimate.median * (estimate.learnt ? kHopeful : kHopefulGuess);
}

OutputEstimate Corrected(const OutputEstimate& estimate, int streamed,
                         int bound) {
  if (streamed < estimate.median) return estimate;
  const int grown =
      std::max(estimate.high, Bounded(streamed * kOvergrowth, bound));
  if (streamed < estimate.high) {
    return {estimate.high, estimate.high, estimate.learnt};
  }
  return Bounded(OutputEstimate{.median = grown, .high = grown}, bound);
}

}  // namespace gentianlb::schedule
