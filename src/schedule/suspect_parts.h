// Finds parts of prompts under which backend servers end.
//
// Load pattern: one part of a prompt ends each server that begins to write on
// it. Its requests are no two alike, come from several callers over all hosts,
// and share their other parts with sound ones; so neither a content nor a
// caller nor a prefix tells them apart.
//
// Each lost server accuses the shared parts of all requests that had not come
// far there; each prompt on which a server writes on speaks for all of its
// parts. That is group testing: parts that only came along with a deadly one
// are told apart from it by the requests that hold one of them alone.

#ifndef GENTIANLB_SCHEDULE_SUSPECT_PARTS_H_
#define GENTIANLB_SCHEDULE_SUSPECT_PARTS_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <span>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "schedule/messages.h"
#include "schedule/server_losses.h"

namespace gentianlb::schedule {

// Returns the parts that other requests may share: all but the last.
std::span<const PromptPart> SharedParts(std::span<const PromptPart> parts);

// What one host has learnt of a part, for its peers.
struct PartChange {
  PartHash part = 0;
  ServerId server;     // That was lost under it; empty: the part is cleared.
  int weight = 0;      // Of the loss.
  absl::Duration age;  // Of the loss.
  bool operator==(const PartChange&) const = default;
};

// Not thread-safe. Shared by the dispatchers of one entry host.
class SuspectParts {
 public:
  // Weights of a lost server: an answer that had just begun when the connection
  // was lost is a stronger sign than a request that may have waited.
  static constexpr int kBegunWeight = 2;
  static constexpr int kUnansweredWeight = 1;
  // With this weight of losses a part is deadly.
  static constexpr int kDeadlyWeight = 3 * kBegunWeight;

  // Time after the last loss for which a deadly part isn't sent to servers. It
  // doubles each time that a server is lost under it again afterwards.
  static constexpr absl::Duration kQuarantine = absl::Minutes(5);
  static constexpr absl::Duration kMaxQuarantine = absl::Hours(1);

  // When full, the parts with the fewest losses are forgotten first.
  static constexpr std::size_t kMaxParts = 4096;

  // Servers that are lost in one instant are reported in any order.
  static constexpr absl::Duration kReportSpread = absl::Seconds(1);

  // Sets the callback for each change that this host has learnt by itself.
  void OnChange(std::function<void(const PartChange&)> callback) {
    on_change_ = std::move(callback);
  }

  // Records that the connection to `server` was lost under a prompt, and how
  // far its answer had come.
  void OnServerLost(std::span<const PromptPart> prompt, const ServerId& server,
                    ResponseProgress progress, absl::Time now);
  // Records that a server has written on a prompt for some time, or to the end.
  void OnWritten(std::span<const PromptPart> prompt);
  // Records a response of `server` to a request that was granted at
  // `granted_at`: the server has not ended before.
  void OnResponse(const ServerId& server, absl::Time granted_at);
  // Records what a peer has learnt.
  void OnPeerChange(const PartChange& change, absl::Time now);

  // Returns what a peer that knows nothing should learn, at most `most` losses.
  std::vector<PartChange> Snapshot(std::size_t most, absl::Time now) const;

  // Returns a part for which the prompt must not be sent to a server now. A
  // loss doesn't count against a part if the server was lost under another
  // deadly part as well that the prompt doesn't hold.
  std::optional<PartHash> FindDeadly(std::span<const PromptPart> prompt,
                                     absl::Time now) const;
  // Returns the time until a prompt with the part may be sent again.
  absl::Duration QuarantineLeft(PartHash part, absl::Time now) const;

  // Returns the losses of a part; null if there is none.
  const ServerLosses::Losses* LossesOf(PartHash part, absl::Time now) const {
    return losses_.Find(part, now);
  }
  // Returns the number of parts with losses, and of deadly ones among them.
  std::size_t size() const { return losses_.size(); }
  std::size_t CountDeadly(absl::Time now) const;

 private:
  bool IsDeadly(PartHash part, absl::Time now) const;
  // Returns whether `server` was lost under a deadly part outside the prompt.
  bool IsExplained(const ServerId& server, std::span<const PromptPart> prompt,
                   absl::Time now) const;
  bool IsRefuted(PartHash part, absl::Time now) const;
  void Refute(PartHash part, absl::Time now);
  void Report(const PartChange& change) const;

  // Deadly parts are remembered well beyond their quarantine.
  ServerLosses losses_{2 * kMaxQuarantine, kMaxParts};
  // When a server on which a part was under way was lost, if lately: losses
  // that are reported now happened in the same instant.
  absl::flat_hash_map<PartHash, absl::Time> refuted_at_;
  std::function<void(const PartChange&)> on_change_;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_SUSPECT_PARTS_H_
