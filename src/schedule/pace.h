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

// What a first token is expected to take.
struct FirstTokenTime {
  double prompt = 0;  // Seconds of prompt work, as configured.
  double rest = 0;    // Seconds of all else.
  auto operator<=>(const FirstTokenTime&) const = default;
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
  // Seconds to the first token, with `prefill_tokens` to be computed before it.
  double FirstTokenSeconds(double prefill_tokens, int streams) const;

  // The expectation of a sample, to be taken when the request is sent.
  FirstTokenTime ExpectedFirstToken(double prefill_tokens, int streams) const;
  // The same as one figure.
  double Seconds(const FirstTokenTime& expected) const;

  void AddFirstToken(double seconds, const FirstTokenTime& expected);
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
  void LearnFirstToken(double seconds, const FirstTokenTime& expected);

  double prefill_token_;  // Seconds, configured.
  double decode_token_;   // Seconds of a stream alone, configured.
  bool guessed_;          // Both speeds are only a first guess.
  Stretch prefill_;
  Stretch decode_;
  // Seconds to a first token beyond prompt and step: the way, and the engine's
  // own queue. Kept apart from the prompt's pace: as a part of it, the 100 ms
  // that short prompts wait for a slot would foretell 600 ms for long ones,
  // which then are refused while servers have room. Only where speeds are
  // guessed: configured ones tell a queue from a slow engine.
  double overhead_ = 0;
  double call_seconds_;  // Mean of the calls, learnt.
  bool called_ = false;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_PACE_H_
