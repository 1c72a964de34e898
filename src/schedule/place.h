// Which server takes a request.
//
// Load pattern: unlike engines, some slow, some with the prompt's beginning in
// their cache. Least outstanding alone sends a draft to an old engine that
// can't finish it in time, and throws away cached prompts.
//
// A few candidates are scored: the quickest with room, and those that hold most
// of the prompt. The score is the predicted finish plus the prompt work that
// is not cached, in seconds, weighed as the deployment says. A server on which
// the request would be late is no candidate while a better one may come free.

#ifndef GENTIANLB_SCHEDULE_PLACE_H_
#define GENTIANLB_SCHEDULE_PLACE_H_

#include <vector>

#include "absl/time/time.h"
#include "schedule/fleet.h"
#include "schedule/index.h"
#include "schedule/order.h"
#include "schedule/power.h"
#include "schedule/prefix_cache.h"

namespace gentianlb::schedule {

// Why a request can't be granted now.
// Of several hindrances the last in this order is reported.
enum class Hindrance {
  kNone,
  kNoRoom,    // No server has a free stream.
  kReserved,  // There is room, kept for short or more urgent requests.
  kTooSlow,   // It would be late on those with room.
  kTooLarge,  // Streams are free, but no memory or prompt room for this one.
  kNoPower,   // The share of watts is used up.
};

struct Placement {
  Hindrance hindrance = Hindrance::kNoRoom;
  ServerIndex server = kNoIndex;  // Where granted; the roomiest when too large.
  Demand demand;                  // On that server.
  double cached_tokens = 0;
};

// Room that is left free for others.
struct Reserves {
  double streams = 0;  // As a part of each server's window.
  double power = 0;    // As a part of the share above idle.
};

// Where to look for one request.
struct Search {
  // Pools for which a higher tier waits.
  const std::vector<bool>* closed_pools = nullptr;
  // Servers that are kept for a large request to fit in.
  const std::vector<ServerIndex>* held = nullptr;
  // If set, only these: all others were tried and nothing changed there.
  const std::vector<ServerIndex>* only = nullptr;
  bool contended = false;  // Others wait in the same lane.
  // Start it even where it is in time only if its answer turns out short.
  bool hopeful = false;
};

class Placer {
 public:
  Placer(const Weights& weights, const Fleet& fleet, const PowerLedger& power,
         const PrefixCache& cache)
      : weights_(weights), fleet_(fleet), power_(power), cache_(cache) {}

  Placement Place(const WaitingRequest& waiting, const Reserves& reserves,
                  const Search& search, absl::Time now);

 private:
  struct Choice;

  bool Patient(const WaitingRequest& waiting, absl::Time now) const;
  double BestCached(const PrefixCache::Lookup& lookup, absl::Time now) const;
  // Tokens of the answer by which lateness is judged.
  double JudgedOutput(const WaitingRequest& waiting, bool contended) const;
  void Collect(const WaitingRequest& waiting, const Search& search,
               const PrefixCache::Lookup& lookup);
  void Consider(ServerIndex server, const Choice& choice, Placement* best,
                double* best_score) const;

  Weights weights_;
  const Fleet& fleet_;
  const PowerLedger& power_;
  const PrefixCache& cache_;
  std::vector<ServerIndex> candidates_;  // Kept to save allocations.
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_PLACE_H_
