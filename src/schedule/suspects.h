// Remembers under which requests the connections to backend servers were lost.
//
// Load pattern: a request that makes its server end. Its caller, and the system
// itself where it may, send it again, to one server after the other. Each takes
// everything with it that runs there. Attempts of one caller share nothing but
// what they ask for, so the memory is by content.
//
// Whether a server has ended is known only later; its callers may be back
// within milliseconds. So each lost connection counts at once, and is forgotten
// when the server responds to a request that was granted later, or when any
// server completes a request with the same content. All other requests on a
// server that ends are suspected too; they are cleared by their next success.

#ifndef GENTIANLB_SCHEDULE_SUSPECTS_H_
#define GENTIANLB_SCHEDULE_SUSPECTS_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "absl/time/time.h"
#include "schedule/messages.h"
#include "schedule/server_losses.h"

namespace gentianlb::schedule {

// What one host has learnt of a content, for its peers.
struct SuspectChange {
  ContentHash content = kNoContent;
  ServerId server;     // That was lost under it; empty: the content is cleared.
  absl::Duration age;  // Of the loss.
  bool operator==(const SuspectChange&) const = default;
};

// Not thread-safe. Shared by the dispatchers of one entry host.
class SuspectRequests {
 public:
  // A request under which this many servers were lost is sent to no other.
  static constexpr std::size_t kMaxServersLost = 3;

  // Time after the last loss for which a content is remembered.
  static constexpr absl::Duration kMemory = absl::Minutes(5);

  // When full, the contents with the fewest losses are forgotten first.
  static constexpr std::size_t kMaxContents = 4096;

  // Sets the callback for each change that this host has learnt by itself.
  void OnChange(std::function<void(const SuspectChange&)> callback) {
    on_change_ = std::move(callback);
  }

  // Records that the connection to `server` was lost under `content`.
  void OnServerLost(ContentHash content, const ServerId& server,
                    absl::Time now);
  // Records a response of `server` to a request that was granted at
  // `granted_at`: the server has not ended before.
  void OnResponse(const ServerId& server, absl::Time granted_at);
  // Records that a server completed a request with this content.
  void OnServed(ContentHash content);
  // Records what a peer has learnt.
  void OnPeerChange(const SuspectChange& change, absl::Time now);

  // Returns what a peer that knows nothing should learn, at most `most` losses.
  std::vector<SuspectChange> Snapshot(std::size_t most, absl::Time now) const;

  // Returns the number of servers lost under `content`.
  std::size_t ServersLost(ContentHash content, absl::Time now) const;
  // Returns when the first of these was lost; InfiniteFuture() if none was.
  absl::Time FirstLoss(ContentHash content, absl::Time now) const;
  // Returns whether a request may be sent while `running` others with the same
  // content run that were granted since the first loss: if all of them end
  // their servers too, no more than kMaxServersLost are lost.
  bool MayRun(ContentHash content, std::size_t running, absl::Time now) const;
  // Returns the time until `content` is forgotten; zero if it isn't suspected.
  absl::Duration TimeUntilForgotten(ContentHash content, absl::Time now) const;

  // Returns the number of contents that are remembered.
  std::size_t size() const { return losses_.size(); }

 private:
  void Report(const SuspectChange& change) const;

  ServerLosses losses_{kMemory, kMaxContents};
  std::function<void(const SuspectChange&)> on_change_;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_SUSPECTS_H_
