// A small fake of a backend server on the virtual clock: it admits all that
// comes in order, computes one prompt at a time, decodes a batch whose speed
// falls with its size, and keeps prompt prefixes in limited memory. Between two
// changes all rates are constant, so that time advances from change to change
// and not from token to token.

#ifndef GENTIANLB_REPLAY_SERVER_FAKE_H_
#define GENTIANLB_REPLAY_SERVER_FAKE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "replay/prefix_cache.h"
#include "schedule/messages.h"

namespace gentianlb::replay {

// The engine model. Grounds: published batching curves of model engines, where
// a batch of 32 gives 12 to 16 times the tokens of a batch of 1, and chunked
// prefill, which shares the step with decoding.
inline constexpr double kBatchSlowdown = 0.04;  // Per further stream.
inline constexpr double kPrefillShare = 0.5;    // Of the time, beside decoding.

// Names a request inside one replay.
using StreamIndex = int;

// One request as the server runs it.
struct StreamWork {
  StreamIndex index = 0;
  int prompt_tokens = 0;
  int output_tokens = 0;
  const std::vector<schedule::PrefixHash>* chain = nullptr;  // Outlives it.
};

// What became of a stream.
struct StreamChange {
  enum class Kind { kPrefillBegins, kFirstToken, kFinished };
  Kind kind = Kind::kFirstToken;
  StreamIndex index = 0;
  int cached_blocks = 0;  // With kPrefillBegins.
};

// What a stream had done when it was cancelled or broken off.
struct StreamRemains {
  StreamIndex index = 0;
  double prefilled_tokens = 0;  // Computed, not taken from the cache.
  int output_tokens = 0;
};

class ServerFake {
 public:
  ServerFake(const schedule::ServerSpec& spec, absl::Time now);

  const schedule::ServerSpec& spec() const { return spec_; }
  bool alive() const { return alive_; }
  const PrefixCache& cache() const { return cache_; }

  // Before and after each of the next five, Advance() to the same time.

  void Submit(const StreamWork& work);

  // Ends a stream early; nothing when it is not here.
  std::optional<StreamRemains> Cancel(StreamIndex index);

  // Goes on at `factor` times the usual speeds.
  void SetSpeed(double factor) { speed_ = factor; }

  // The process dies; returns what it was running.
  std::vector<StreamRemains> Die();

  // The process is whole again, with an empty cache.
  void Revive();

  // Brings the state to `now` and appends what happened on the way.
  void Advance(absl::Time now, std::vector<StreamChange>* changes);

  // When the next stream changes; InfiniteFuture() when idle.
  absl::Time NextChange() const;

  // The draw at this moment, by the server's power model.
  double Watts() const;

  // Output tokens so far of each decoding stream.
  std::vector<std::pair<StreamIndex, int>> Progress() const;

  schedule::LoadReported Load(absl::Time now) const;
  bool TakeCacheChanges(schedule::CacheChanged* changes) {
    return cache_.TakeChanges(changes);
  }

 private:
  struct Prefill {
    StreamWork work;
    double todo = 0;  // Tokens still to compute.
    double total = 0;
  };
  struct Decode {
    StreamWork work;
    double computed = 0;  // Prompt tokens that were computed.
    double start = 0;     // decoded_ when it began.
  };

  int running() const;
  double DecodeRate() const;   // Tokens a second of each stream.
  double PrefillRate() const;  // Tokens a second.
  double SecondsToChange() const;
  double DecodeTarget(const Decode& decode) const;
  std::int64_t KvTokens(const StreamWork& work) const;
  StreamRemains RemainsOf(const Decode& decode) const;
  void Progress(double seconds);
  void Settle(std::vector<StreamChange>* changes);
  void FinishPrefill(std::vector<StreamChange>* changes);
  void FinishDecode(std::vector<StreamChange>* changes);
  void Admit(std::vector<StreamChange>* changes);

  const schedule::ServerSpec spec_;
  absl::Time now_;
  double speed_ = 1;
  bool alive_ = true;
  std::int64_t kv_used_ = 0;
  double decoded_ = 0;  // Tokens that a stream here all the time would have.
  std::deque<StreamWork> queue_;
  std::optional<Prefill> prefill_;
  absl::flat_hash_map<StreamIndex, Decode> decoding_;
  std::set<std::pair<double, StreamIndex>> by_target_;
  PrefixCache cache_;
};

}  // namespace gentianlb::replay

#endif  // GENTIANLB_REPLAY_SERVER_FAKE_H_
