// When the table service answered, as far as the hosts of a fleet know
// together.
//
// Registrations of healthy servers lapse while the service is unavailable, so
// removals shortly after an outage are delayed (directory.h). A host that took
// its own lost connection for an outage would delay the removals of servers
// that really left, and requests would reach them too late. One that learnt of
// an outage after its removals would drop all servers at once. So an outage is
// a time in which no host got an answer, long enough for registrations to
// lapse, and hosts exchange when the service answered them.

#ifndef GENTIANLB_GATEWAY_TABLE_AVAILABILITY_H_
#define GENTIANLB_GATEWAY_TABLE_AVAILABILITY_H_

#include <algorithm>
#include <compare>
#include <cstdint>

#include "absl/time/time.h"

namespace gentianlb::gateway {

// No registration lapses in a shorter outage: servers renew theirs every 1.2 s
// or more, and one lapses after three such intervals.
inline constexpr absl::Duration kMinOutage = absl::Milliseconds(2400);

// The span since the last outage in which the service answered, as the ages of
// its first and its last answer in milliseconds. Below 0: no answer is known.
struct AnswerAges {
  std::int32_t first_ms = -1;
  std::int32_t last_ms = -1;
  bool known() const { return last_ms >= 0; }
  auto operator<=>(const AnswerAges&) const = default;
};

// Returns the ages after another `elapsed`.
AnswerAges Aged(const AnswerAges& ages, absl::Duration elapsed);
// Returns what two hosts know together: both spans if no outage lies between
// them, else the later one.
AnswerAges Join(const AnswerAges& a, const AnswerAges& b);

// Whether this host's own calls of the service failed lately.
enum class OwnCalls { kAnswered, kFailed };

class TableAvailability {
 public:
  // Records that the service answered this host. `before`: its earlier calls.
  void OnAnswer(OwnCalls before, absl::Time now);
  // Records when it answered a peer.
  void OnPeerReport(const AnswerAges& ages, OwnCalls own, absl::Time now);

  // Returns the time of the first answer since the last outage, or of the
  // return of this host alone if that is later: the servers beside it were
  // probably cut off too, and their registrations lapsed. May return an earlier
  // time later, when a peer reports answers that this host missed.
  // InfinitePast() if no answer is known.
  absl::Time recovered_at() const { return std::max(first_, returned_at_); }

  // Returns the ages to publish regularly. The last answer is one to this host:
  // hosts that published each other's would keep it young forever.
  AnswerAges OwnAges(absl::Time now) const;
  // Returns all that is known, to accompany changes of the table.
  AnswerAges KnownAges(absl::Time now) const;

 private:
  void RecordReturn(OwnCalls own, absl::Time now);
  void Add(absl::Time first, absl::Time last, absl::Time now,
           const char* observer);

  absl::Time own_last_ = absl::InfinitePast();
  absl::Time first_ = absl::InfinitePast();
  absl::Time last_ = absl::InfinitePast();
  // When this host learnt of an answer after an outage of its own.
  absl::Time returned_at_ = absl::InfinitePast();
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_TABLE_AVAILABILITY_H_
