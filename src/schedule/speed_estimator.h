// Estimates the speed of a backend server from its responses.
//
// Load pattern: engines of several generations, configured speeds that are only
// estimates, and stragglers that slow down suddenly while their last load
// report still shows little load. Without measured speeds, a slow server looks
// idle and keeps getting work.
//
// Speed is tracked as a slowdown: measured time divided by expected time. A
// short-term average is used for predictions, a long-term average is the normal
// slowdown of the server. A straggler is a server whose short-term average is
// far above its normal slowdown.

#ifndef GENTIANLB_SCHEDULE_SPEED_ESTIMATOR_H_
#define GENTIANLB_SCHEDULE_SPEED_ESTIMATOR_H_

#include "schedule/messages.h"

namespace gentianlb::schedule {

// Returns the step time of a batch of `streams` relative to a batch of one.
double BatchFactor(int streams);

// Short-term and long-term average of measured time divided by expected time.
class Slowdown {
 public:
  // `estimated`: the expected times are only estimates, and the first samples
  // replace them.
  explicit Slowdown(bool estimated)
      : samples_(estimated ? 0 : kEnoughSamples) {}

  // Adds one measurement: measured time divided by expected time.
  void Add(double sample);
  // Sets both averages to a slowdown measured by peer dispatchers, unless there
  // are enough own samples or the expectation is certain.
  void Seed(double slowdown);
  // Whether the averages rest on own samples or a certain expectation.
  bool measured() const { return samples_ > 0; }
  double recent() const { return recent_; }
  bool straggling() const;
  bool slowed() const;  // Slower than expected.
  // Moves the averages toward normal. Called when there are no new samples.
  void Decay();

 private:
  // Number of samples after which the averages replace an uncertain
  // expectation.
  static constexpr int kEnoughSamples = 20;

  double recent_ = 1;  // Short-term average.
  double normal_ = 1;  // Long-term average.
  int samples_;        // Up to kEnoughSamples.
};

// Expected time to the first token.
struct FirstTokenTime {
  double prompt = 0;  // Seconds to compute the prompt at the configured speed.
  double rest = 0;    // Seconds of everything else.
  auto operator<=>(const FirstTokenTime&) const = default;
};

// Learns how much slower a server is than configured, and predicts times.
class SpeedEstimator {
 public:
  explicit SpeedEstimator(const ServerSpec& spec);

  // Returns the seconds to compute `tokens` prompt tokens sequentially.
  double PrefillSeconds(double tokens) const;
  // Returns the seconds between two tokens of a stream when `streams` streams
  // run.
  double TokenSeconds(int streams) const;
  // Returns the mean seconds of a call of a plain service.
  double CallSeconds() const;
  // Returns the seconds to the first token when `prefill_tokens` must be
  // computed before it.
  double FirstTokenSeconds(double prefill_tokens, int streams) const;

  // Returns the expected time that AddFirstTokenSample() compares a measurement
  // with. Must be called when the request is sent.
  FirstTokenTime ExpectedFirstToken(double prefill_tokens, int streams) const;
  // Returns the total of `expected` in seconds. If the configured speeds are
  // estimates, the prompt is scaled by the learnt slowdown.
  double TotalSeconds(const FirstTokenTime& expected) const;

  // Adds the measured time to a first token.
  void AddFirstTokenSample(double seconds, const FirstTokenTime& expected);
  // Adds the measured seconds per output token, with `streams` streams running.
  void AddDecodeSample(double seconds_per_token, int streams);
  // Adds the measured duration of a call of a plain service.
  void AddCallSample(double seconds);
  // Sets the slowdowns measured by peer dispatchers, unless there are enough
  // own samples or the configured speeds are certain.
  void Seed(double prefill, double decode);
  // Moves all learnt values toward normal. Called when there are no new
  // samples.
  void Decay();

  bool straggling() const;
  bool slowed() const;           // Slower than configured.
  double prefill_speed() const;  // Prompt tokens per second, as learnt.
  double prefill_slowdown() const { return prefill_.recent(); }
  double decode_slowdown() const { return decode_.recent(); }
  // Whether own responses have been measured for both prefill and decode, or
  // the configured speeds are certain.
  bool learnt() const { return prefill_.measured() && decode_.measured(); }

 private:
  void LearnFirstToken(double seconds, const FirstTokenTime& expected);

  double prefill_token_seconds_;  // As configured.
  double decode_token_seconds_;   // Of a single stream, as configured.
  bool estimated_;                // Whether both speeds are only estimates.
  Slowdown prefill_;
  Slowdown decode_;
  // Seconds to a first token in addition to the prompt and one decode step:
  // network and the engine's own queue. Kept separate from the prefill
  // slowdown; otherwise the 100 ms that short prompts wait for a slot would
  // predict 600 ms for long ones, which would then be refused although servers
  // have capacity. Learnt only where the speeds are estimates: with known
  // speeds, a queue can be distinguished from a slow engine.
  double overhead_ = 0;
  double call_seconds_;  // Moving average.
  bool has_calls_ = false;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_SPEED_ESTIMATOR_H_
