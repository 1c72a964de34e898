#include "schedule/speed_estimator.h"

#include <algorithm>

namespace gentianlb::schedule {
namespace {

// Weight of a sample in the short-term average. The last three samples make up
// two thirds of it, so a straggler with a few responses per second is detected
// within two or three seconds.
constexpr double kRecentWeight = 0.3;

// Weights of a sample in the long-term average, which adapts within a few
// hundred samples. Samples of a straggler move it ten times more slowly, so
// that the server counts as a straggler until it recovers.
constexpr double kNormalWeight = 0.02;
constexpr double kStragglerWeight = 0.002;

// A full batch slows a server down by up to about 2; above 3 it is a fault.
constexpr double kStragglerSlowdown = 3;

// Slowdown above which a server counts as slower than expected.
constexpr double kMinSlowdown = 1.05;

// Factor by which the long-term average decays without samples. It decays
// slowly, so that a server that is always slower than configured is retried
// only occasionally.
constexpr double kNormalDecay = 0.9;

// Limits of a sample. No engine is this far from its configured speed; a larger
// sample is a pause.
constexpr double kMaxSample = 100;
constexpr double kMinSample = 0.05;

// Increase of the step time per additional stream of a batch. The measured
// slowdown makes up for the error of this estimate.
constexpr double kBatchSlope = 0.02;

// Two hops of about 1 ms each way.
constexpr double kRoundTripSeconds = 0.005;

// Typical time to a first token in addition to the prompt: the median over
// prompts below 300 tokens on 112 servers at full load (p10 35 ms, p75 460 ms).
constexpr double kTypicalRestSeconds = 0.1;

// Tokens per second of a server without a configured speed.
constexpr double kDefaultPrefillSpeed = 5000;
constexpr double kDefaultDecodeSpeed = 50;

// Initial estimate for a call of a plain service; the first call replaces it.
constexpr double kInitialCallSeconds = 0.02;

// Weight of a call in the moving average. Durations differ by a factor of 10
// between kinds of calls, so a single long call means little; an average over
// about 20 calls shows which servers are slow.
constexpr double kCallWeight = 0.05;

// Returns the seconds per token at `speed` tokens per second, or at `fallback`
// if `speed` is not positive.
double SecondsPerToken(double speed, double fallback) {
  return 1 / (speed > 0 ? speed : fallback);
}

}  // namespace

double BatchFactor(int streams) {
  return 1 + kBatchSlope * std::max(0, streams - 1);
}

void Slowdown::Add(double sample) {
  sample = std::clamp(sample, kMinSample, kMaxSample);
  if (samples_ < kEnoughSamples) {
    // The arithmetic mean at first. The short-term average never gives a sample
    // less than kRecentWeight.
    const double weight = 1.0 / ++samples_;
    recent_ += std::max(kRecentWeight, weight) * (sample - recent_);
    normal_ += weight * (sample - normal_);
    return;
  }
  const bool normal = sample < normal_ * kStragglerSlowdown;
  recent_ += kRecentWeight * (sample - recent_);
  normal_ += (normal ? kNormalWeight : kStragglerWeight) * (sample - normal_);
}

void Slowdown::Seed(double slowdown) {
  if (samples_ >= kEnoughSamples) return;
  slowdown = std::clamp(slowdown, kMinSample, kMaxSample);
  recent_ = slowdown;
  normal_ = slowdown;
}

bool Slowdown::straggling() const {
  return recent_ > kStragglerSlowdown * std::max(1.0, normal_);
}

bool Slowdown::slowed() const { return recent_ > kMinSlowdown; }

void Slowdown::Decay() {
  if (recent_ > kMinSlowdown * normal_) {
    recent_ = (recent_ + normal_) / 2;
    return;
  }
  // The long-term average may come from a period in which the server was slow.
  normal_ = std::max(1.0, normal_ * kNormalDecay);
  recent_ = std::min(recent_, normal_);
}

SpeedEstimator::SpeedEstimator(const ServerSpec& spec)
    : prefill_token_seconds_(SecondsPerToken(spec.prefill_tokens_per_second,
                                             kDefaultPrefillSpeed)),
      decode_token_seconds_(
          SecondsPerToken(spec.decode_tokens_per_second, kDefaultDecodeSpeed)),
      estimated_(spec.speeds_estimated),
      prefill_(spec.speeds_estimated),
      decode_(spec.speeds_estimated),
      call_seconds_(kInitialCallSeconds) {}

double SpeedEstimator::PrefillSeconds(double tokens) const {
  return tokens * prefill_token_seconds_ * prefill_.recent();
}

double SpeedEstimator::TokenSeconds(int streams) const {
  return decode_token_seconds_ * BatchFactor(streams) * decode_.recent();
}

double SpeedEstimator::CallSeconds() const { return call_seconds_; }

double SpeedEstimator::FirstTokenSeconds(double prefill_tokens,
                                         int streams) const {
  return PrefillSeconds(prefill_tokens) + overhead_ + TokenSeconds(streams);
}

FirstTokenTime SpeedEstimator::ExpectedFirstToken(double prefill_tokens,
                                                  int streams) const {
  const double prompt = prefill_tokens * prefill_token_seconds_;
  if (estimated_) return {prompt, overhead_ + TokenSeconds(streams)};
  return {prompt,
          kRoundTripSeconds + decode_token_seconds_ * BatchFactor(streams)};
}

double SpeedEstimator::TotalSeconds(const FirstTokenTime& expected) const {
  const double slowdown = estimated_ ? prefill_.recent() : 1;
  return expected.prompt * slowdown + expected.rest;
}

void SpeedEstimator::AddFirstTokenSample(double seconds,
                                         const FirstTokenTime& expected) {
  if (estimated_) return LearnFirstToken(seconds, expected);
  prefill_.Add(seconds / TotalSeconds(expected));
}

// Splits the prediction error between the prompt and the rest in proportion to
// their squares, as in a least squares fit with relative errors.
void SpeedEstimator::LearnFirstToken(double seconds,
                                     const FirstTokenTime& expected) {
  const double prompt_squared = expected.prompt * expected.prompt;
  const double rest = std::max(expected.rest, kTypicalRestSeconds);
  const double prompt_share = prompt_squared / (prompt_squared + rest * rest);
  const double error = seconds - TotalSeconds(expected);
  if (expected.prompt > 0) {
    prefill_.Add(prefill_.recent() + prompt_share * error / expected.prompt);
  }
  overhead_ =
      std::max(0.0, overhead_ + kRecentWeight * (1 - prompt_share) * error);
}

void SpeedEstimator::AddDecodeSample(double seconds_per_token, int streams) {
  decode_.Add(seconds_per_token /
              (decode_token_seconds_ * BatchFactor(streams)));
}

void SpeedEstimator::AddCallSample(double seconds) {
  call_seconds_ += (has_calls_ ? kCallWeight : 1) * (seconds - call_seconds_);
  has_calls_ = true;
}

void SpeedEstimator::Seed(double prefill, double decode) {
  prefill_.Seed(prefill);
  decode_.Seed(decode);
}

void SpeedEstimator::Decay() {
  prefill_.Decay();
  decode_.Decay();
  overhead_ /= 2;
}

bool SpeedEstimator::straggling() const {
  return prefill_.straggling() || decode_.straggling();
}

bool SpeedEstimator::slowed() const {
  return prefill_.slowed() || decode_.slowed() || overhead_ > kRoundTripSeconds;
}

double SpeedEstimator::prefill_speed() const {
  return 1 / (prefill_token_seconds_ * prefill_.recent());
}

}  // namespace gentianlb::schedule
