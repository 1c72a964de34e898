// Election of the aggregator of an availability zone.
//
// The hosts need no agreement. Each host accepts the best ranked host of its
// zone that sends aggregator messages. A host that receives none from a better
// ranked host becomes aggregator itself: at once if it knows no better host,
// else after these had time to start. So the next live host replaces a lost
// aggregator, and a returning one takes over again. Two aggregators of a zone
// at once cost some messages, but no host is counted twice, since each reports
// to only one of them.
//
// Has no network and no clock of its own.

#ifndef GENTIANLB_GATEWAY_AGGREGATOR_ELECTION_H_
#define GENTIANLB_GATEWAY_AGGREGATOR_ELECTION_H_

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gateway/fleet_messages.h"

namespace gentianlb::gateway {

// Returns the time after which an unresponsive sender counts as killed, frozen
// or cut off. A host with a small share of a processor may stall for some
// tenths of a second when the share is used up.
inline absl::Duration LivenessTimeout(absl::Duration period) {
  constexpr int kPeriods = 4;
  constexpr absl::Duration kMinTimeout = absl::Milliseconds(400);
  return std::max(kMinTimeout, kPeriods * period);
}

// Returns whether an update of age `age` is recent enough for shares of
// limits. Until a network partition is detected every side uses the whole
// limit, so little more than one missing message counts as a partition. If the
// message was lost by chance, it does no harm to leave out that host's share
// for a moment.
inline bool IsCurrent(absl::Duration age, absl::Duration period) {
  constexpr double kPeriods = 1.8;
  return age <= kPeriods * period;
}

// Decides which host is the aggregator of this host's zone.
class AggregatorElection {
 public:
  AggregatorElection(HostEntry self, absl::Time now)
      : self_(std::move(self)), no_aggregator_since_(now) {}

  // Adds a host of any zone or replaces its entry.
  void AddHost(const HostEntry& host);
  // Starts the election. To be called once the table of hosts was read or can't
  // be read; before that, every host would elect itself.
  void Start(absl::Time now);
  // Records that `host` sent a message that only an aggregator sends.
  void RecordAggregator(const std::string& host, absl::Duration period,
                        absl::Time now);
  // Updates the result of the election. To be called once per period.
  void Tick(absl::Duration period, absl::Time now);

  // Returns whether this host is the aggregator.
  bool won() const { return is_aggregator_; }
  // Returns the aggregator, or an empty string if none is live.
  const std::string& aggregator() const { return aggregator_; }
  // Returns the host to report to: the aggregator or the expected next one.
  std::string ReportTarget() const;

  // Returns the number of known hosts, including this one.
  int known_hosts() const { return static_cast<int>(hosts_.size()) + 1; }
  const HostEntry& self() const { return self_; }
  // Returns null if the host is unknown.
  const HostEntry* Find(const std::string& host) const;
  // Returns the peers of this zone, the best first.
  std::vector<std::string> ZonePeers() const;
  // Returns the hosts of each other zone, the best first.
  std::map<std::string, std::vector<std::string>> OtherZones() const;

 private:
  struct KnownHost {
    HostEntry entry;
    absl::Time skipped_until = absl::InfinitePast();
    absl::Time last_aggregator_message = absl::InfinitePast();
    absl::Duration period;
  };

  void OnAggregatorLost(absl::Time now);
  // Returns the better ranked hosts of the zone that may be or become
  // aggregator, the best first.
  std::vector<std::string> BetterCandidates(absl::Time now) const;
  void SortBestFirst(std::vector<std::string>* names) const;

  const HostEntry self_;
  absl::flat_hash_map<std::string, KnownHost> hosts_;
  bool started_ = false;
  bool is_aggregator_ = false;
  std::string aggregator_;
  std::string next_;  // Expected next aggregator while none is live.
  absl::Time no_aggregator_since_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_AGGREGATOR_ELECTION_H_
