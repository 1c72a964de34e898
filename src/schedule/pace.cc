#include "schedule/pace.h"

#include <algorithm>

namespace gentianlb::schedule {
namespace {

// Three samples carry two thirds of the quick average: a straggler that gives
// a few answers a second is known within two or three seconds.
constexpr double kQuickWeight = 0.3;

// The normal follows within some hundred samples, and a straggler moves it ten
// times more slowly, so that it stays a straggler until it is well.
constexpr double kNormalWeight = 0.02;
constexpr double kStragglerWeight = 0.002;

// A loaded batch stretches up to about twice; beyond three it is a fault.
constexpr double kStragglerStretch = 3;

// So close to its expectation, an idle server has nothing to be forgiven. The
// normal is forgotten slowly: a server that is always slower than configured
// is asked again only now and then.
constexpr double kStretched = 1.05;
constexpr double kForgetNormal = 0.9;

// No engine is so far off its configuration; a larger sample is a pause.
constexpr double kMaxSample = 100;
constexpr double kMinSample = 0.05;

// Each further stream of a batch costs some per cent of the step time; the
// stretch learns what this first guess misses.
constexpr double kBatchSlope = 0.02;

// Two hops of about a millisecond each way.
constexpr double kRoundTripSeconds = 0.005;

// What a first token takes beyond its prompt: the median of prompts below 300
// tokens, measured on 112 servers at full load (p10 35 ms, p75 460 ms).
constexpr double kUsualRestSeconds = 0.1;

// For a server without a configured speed.
constexpr double kDefaultPrefillSpeed = 5000;
constexpr double kDefaultDecodeSpeed = 50;

// A lookup of a plain service; the first call replaces it. Kinds of calls
// differ tenfold in length, so that a single long one says nothing: a mean over
// some twenty calls tells servers apart.
constexpr double kCallSeconds = 0.02;
constexpr double kCallWeight = 0.05;

// How much longer a step takes with `streams` in the batch than with one.
double BatchFactor(int streams) {
  return 1 + kBatchSlope * std::max(0, streams - 1);
}

double SecondsEach(double speed, double fallback) {
  return 1 / (speed > 0 ? speed : fallback);
}

}  // namespace

void Stretch::Add(double sample) {
  sample = std::clamp(sample, kMinSample, kMaxSample);
  if (samples_ < kEnough) {
    // A plain mean at first, and the quick average as soon as it is quicker.
    const double weight = 1.0 / ++samples_;
    quick_ += std::max(kQuickWeight, weight) * (sample - quick_);
    normal_ += weight * (sample - normal_);
    return;
  }
  const bool usual = sample < normal_ * kStragglerStretch;
  quick_ += kQuickWeight * (sample - quick_);
  normal_ += (usual ? kNormalWeight : kStragglerWeight) * (sample - normal_);
}

void Stretch::Told(double stretch) {
  if (samples_ >= kEnough) return;
  stretch = std::clamp(stretch, kMinSample, kMaxSample);
  quick_ = stretch;
  normal_ = stretch;
}

bool Stretch::straggling() const {
  return quick_ > kStragglerStretch * std::max(1.0, normal_);
}

bool Stretch::stretched() const { return quick_ > kStretched; }

void Stretch::Forget() {
  if (quick_ > kStretched * normal_) {
    quick_ = (quick_ + normal_) / 2;
    return;
  }
  // What seemed normal may itself stem from a slow time.
  normal_ = std::max(1.0, normal_ * kForgetNormal);
  quick_ = std::min(quick_, normal_);
}

Pace::Pace(const ServerSpec& spec)
    : prefill_token_(
          SecondsEach(spec.prefill_tokens_per_second, kDefaultPrefillSpeed)),
      decode_token_(
          SecondsEach(spec.decode_tokens_per_second, kDefaultDecodeSpeed)),
      guessed_(spec.speeds_estimated),
      prefill_(spec.speeds_estimated),
      decode_(spec.speeds_estimated),
      call_seconds_(kCallSeconds) {}

double Pace::PrefillSeconds(double tokens) const {
  return tokens * prefill_token_ * prefill_.quick();
}

double Pace::TokenSeconds(int streams) const {
  return decode_token_ * BatchFactor(streams) * decode_.quick();
}

double Pace::CallSeconds() const { return call_seconds_; }

double Pace::FirstTokenSeconds(double prefill_tokens, int streams) const {
  return PrefillSeconds(prefill_tokens) + overhead_ + TokenSeconds(streams);
}

FirstTokenTime Pace::ExpectedFirstToken(double prefill_tokens,
                                        int streams) const {
  const double prompt = prefill_tokens * prefill_token_;
  if (guessed_) return {prompt, overhead_ + TokenSeconds(streams)};
  return {prompt, kRoundTripSeconds + decode_token_ * BatchFactor(streams)};
}

double Pace::Seconds(const FirstTokenTime& expected) const {
  const double stretch = guessed_ ? prefill_.quick() : 1;
  return expected.prompt * stretch + expected.rest;
}

void Pace::AddFirstToken(double seconds, const FirstTokenTime& expected) {
  if (guessed_) return LearnFirstToken(seconds, expected);
  prefill_.Add(seconds / Seconds(expected));
}

// Each part takes as much of the error as its weight in the expectation, as in
// a least squares fit whose errors grow with what they are errors of.
void Pace::LearnFirstToken(double seconds, const FirstTokenTime& expected) {
  const double prompt = expected.prompt * expected.prompt;
  const double rest = std::max(expected.rest, kUsualRestSeconds);
  const double share = prompt / (prompt + rest * rest);
  const double error = seconds - Seconds(expected);
  if (expected.prompt > 0) {
    prefill_.Add(prefill_.quick() + share * error / expected.prompt);
  }
  overhead_ = std::max(0.0, overhead_ + kQuickWeight * (1 - share) * error);
}

void Pace::AddTokens(double seconds_each, int streams) {
  decode_.Add(seconds_each / (decode_token_ * BatchFactor(streams)));
}

void Pace::AddCall(double seconds) {
  call_seconds_ += (called_ ? kCallWeight : 1) * (seconds - call_seconds_);
  called_ = true;
}

void Pace::Told(double prefill, double decode) {
  prefill_.Told(prefill);
  decode_.Told(decode);
}

void Pace::Forget() {
  prefill_.Forget();
  decode_.Forget();
  overhead_ /= 2;
}

bool Pace::straggling() const {
  return prefill_.straggling() || decode_.straggling();
}

bool Pace::stretched() const {
  return prefill_.stretched() || decode_.stretched() ||
         overhead_ > kRoundTripSeconds;
}

double Pace::prefill_speed() const {
  return 1 / (prefill_token_ * prefill_.quick());
}

}  // namespace gentianlb::schedule
