// An ordered, exactly-once link to one peer over messages that may be lost or
// sent twice. One batch is under way at a time; it is repeated until the peer
// has taken it, and the peer takes each number once.
//
// Without it a grant lost on the way would leave a request waiting for ever on
// both sides, and a repeated one would be acted on twice.

#ifndef GENTIANLB_ENTRY_PEER_LINK_H_
#define GENTIANLB_ENTRY_PEER_LINK_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "entry/wire.h"

namespace gentianlb::entry {

struct PeerBatch {
  std::uint64_t number = 0;  // Counts the batches of this link from 1.
  std::vector<PeerItem> items;
};

// The sending side.
class PeerOutbox {
 public:
  void Push(PeerItem item) { waiting_.push_back(std::move(item)); }

  // The batch to send now, or nothing while one is under way or none waits. A
  // failed one comes again once its back-off has passed.
  std::optional<PeerBatch> Next(absl::Time now);

  // The end of the batch under way.
  void Taken();
  void Failed(absl::Time now);

  // When Next() may have something again after a failure.
  absl::Time retry_at() const { return retry_at_; }
  bool idle() const { return !under_way_.has_value() && waiting_.empty(); }

  // The peer has been started anew, or is gone: what it was told means nothing.
  void Reset();

 private:
  std::deque<PeerItem> waiting_;
  std::optional<PeerBatch> under_way_;
  bool sending_ = false;
  std::uint64_t last_number_ = 0;
  int failures_ = 0;
  absl::Time retry_at_ = absl::InfinitePast();
};

// The receiving side, for all peers.
class PeerInbox {
 public:
  enum class Verdict {
    kTake,
    kRepeated,  // Already taken: answer as before, act no more.
    kStale,     // Of an earlier start of the sender.
  };

  Verdict Judge(const EntryHostId& sender, Incarnation incarnation,
                std::uint64_t number);

 private:
  struct Seen {
    Incarnation incarnation = 0;
    std::uint64_t number = 0;
  };
  std::map<EntryHostId, Seen> seen_;
};

}  // namespace gentianlb::entry

#endif  // GENTIANLB_ENTRY_PEER_LINK_H_
