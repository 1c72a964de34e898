// How fast a server works, learnt from its own answers.
//
// Load pattern: engines of several generations, configured speeds that are a
// first guess, and stragglers that slow down without warning while their load
// report, seconds old, still looks well. Without it, work keeps going to a slow
// server because it looks idle.
//
// Speeds are kept as a stretch: measured over expected time. The quick average
// predicts; the slow one is what is normal for this server. A straggler is one
// whose quick average is far above its normal.

#ifndef GENTIANLB_SCHEDULE_PACE_H_
#define GENTIANLB_SCHEDULE_PACE_H_

#include "schedule/messages.h"

namespace gentianlb::schedule {

// Measured over expected time, as a quick and a slow average.
class Stretch {
 public:
  // When the expectation is a guess, the first samples replace it.
  explicit Stretch(bool guessed) : samples_(guessed ? 0 : kEnough) {}

  void Add(double sample);
  // What others have learnt, until there are enough own samples.
  void Told(double stretch);
  bool own() const { return samples_ > 0; }
  double quick() const { return quick_; }
  bool straggling() const;
  bool stretched() const;  // Above the expectation.
  // No sample for long: believe half of what was bad.
  void Forget();

 private:
  // Samples after which an average stands on its own.
  static constexpr int kEnough = 20;

  double quick_ = 1;
  double normal_ = 1;
  int samples_;
};

class Pace {
 public:
  explicit Pace(const ServerSpec& spec);

  // Seconds to compute `tokens` of prompts, one after the other.
  double PrefillSeconds(double tokens) const;
  // Seconds between two tokens of one stream among `streams`.
  double TokenSeconds(int streams) const;
  // Seconds of one call of a plain service.
  double CallSeconds() const;

  // The same by the configuration, as the expectation of a sample.
  double ExpectedFirstToken(double prefill_tokens, int streams) const;

  void AddFirstToken(double seconds, double expected);
  void AddTokens(double seconds_each, int streams);
  void AddCall(double seconds);
  void Told(double prefill, double decode);
  void Forget();

  bool straggling() const;
  bool stretched() const;        // Slower than configured.
  double prefill_speed() const;  // Tokens a second, as learnt.
  double prefill_stretch() const { return prefill_.quick(); }
  double decode_stretch() const { return decode_.quick(); }
  // Whether own answers have taught something.
  bool learnt() const { return prefill_.own() && decode_.own(); }

 private:
  double prefill_token_;  // Seconds, configured.
  double decode_token_;   // Seconds of a stream alone, configured.
  Stretch prefill_;
  Stretch decode_;
  double call_seconds_;  // Mean of the calls, learnt.
  bool called_ = false;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_PACE_H_
