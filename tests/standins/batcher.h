// A model engine's continuous batching: which streams run, and how far each
// comes in a stretch of time. Knows no priorities; first come, first admitted.

#ifndef GENTIANLB_STANDINS_BATCHER_H_
#define GENTIANLB_STANDINS_BATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "standins/stream.h"

namespace gentianlb::standins {

struct Speeds {
  double prefill_rate = 0;  // Prompt tokens a second, for all streams together.
  double decode_rate = 0;   // Tokens a second of one stream at most.
  double batch_rate = 0;    // Tokens a second of all streams together.
  std::int64_t max_running = 0;
  std::int64_t kv_tokens = 0;
  absl::Duration first_token_delay;
};

// Not thread-safe.
class Batcher {
 public:
  struct Events {
    std::function<void(Stream&)> on_admitted;  // Fills in what is cached.
    std::function<void(Stream&)> on_prefilled;
    std::function<void(Stream&)> on_done;
  };

  void Add(Stream stream);
  // Null when unknown.
  Stream* Find(const std::string& id);
  void Cancel(const std::string& id);
  std::map<std::string, Stream>& streams() { return streams_; }

  // Lets `elapsed` pass, up to `now`.
  void Advance(absl::Time now, absl::Duration elapsed, const Speeds& speeds,
               const Events& events);

  // Forgets streams that ended before `then`.
  void Forget(absl::Time then);

  std::int64_t running() const;
  std::int64_t queued() const;
  std::int64_t kv_used() const;

 private:
  // Unfinished streams in the order of their arrival.
  std::vector<Stream*> Unfinished();
  void Admit(const Speeds& speeds, const Events& events);
  void Prefill(double budget, const Events& events);
  void Decode(absl::Time now, double seconds, const Speeds& speeds,
              const Events& events);

  std::map<std::string, Stream> streams_;
  std::vector<std::string> order_;  // Unfinished ones, oldest first.
};

}  // namespace gentianlb::standins

#endif  // GENTIANLB_STANDINS_BATCHER_H_
