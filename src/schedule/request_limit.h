// The limit that a backend server names in its responses: the requests a second
// that it takes from all entry hosts together.
//
// Load pattern: a server in need, which names a limit far below what its
// streams would allow. Streams become free within milliseconds, so a window of
// streams alone would send many times the limit. The dispatcher of the server's
// group grants the requests of all hosts, so a token bucket there holds the
// whole. Dispatchers that grant beside it, while it is unresponsive, have small
// shares.

#ifndef GENTIANLB_SCHEDULE_REQUEST_LIMIT_H_
#define GENTIANLB_SCHEDULE_REQUEST_LIMIT_H_

#include <limits>
#include <optional>

#include "absl/time/time.h"

namespace gentianlb::schedule {

// Requests a second of a server that names no limit.
inline constexpr double kNoRequestLimit =
    std::numeric_limits<double>::infinity();

// Holds one dispatcher's share of one server's limit.
class RequestLimit {
 public:
  // Sets the part of the limit that this dispatcher may use, in (0, 1].
  void SetShare(double share) { share_ = share; }

  // Records the limit that a response named, in requests a second, or
  // kNoRequestLimit. The request was granted at `granted_at`. A response
  // without a limit ends the limit only if its request was granted after the
  // last response with one: responses may overtake each other.
  void OnResponse(double per_second, absl::Time granted_at, absl::Time now);

  // Records a limit that peers have seen. Own responses of the last seconds
  // count more.
  void OnPeerReport(double per_second, absl::Time now);

  // Forgets the limit: the server was started again.
  void OnRestart() { per_second_ = kNoRequestLimit; }

  // Returns whether a request may be granted.
  bool Allows(absl::Time now) const { return Available(now) >= 1; }
  // Takes a grant from the limit.
  void Take(absl::Time now);
  // Returns a grant that was not sent.
  void Refund();

  bool limited() const { return per_second_ != kNoRequestLimit; }
  double per_second() const { return per_second_; }
  // Returns this dispatcher's share in requests a second; kNoRequestLimit if
  // there is no limit.
  double rate() const;
  // Returns the number of requests that may be granted now.
  double Available(absl::Time now) const;
  // Returns when the next request may be granted; InfiniteFuture() if never,
  // because the share is too small.
  absl::Time NextGrant(absl::Time now) const;

  // Returns the limit that own responses have named lately, to be published to
  // peers; nullopt if none did.
  std::optional<double> Observed(absl::Time now) const;

 private:
  // Returns the most grants that are saved up.
  double Burst() const;
  void Set(double per_second, absl::Time now);

  double per_second_ = kNoRequestLimit;  // Of the server, for all hosts.
  double share_ = 1;
  double tokens_ = 0;  // At `updated_`.
  absl::Time updated_ = absl::InfinitePast();
  absl::Time named_ = absl::InfinitePast();          // By an own response.
  absl::Time last_response_ = absl::InfinitePast();  // With or without a limit.
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_REQUEST_LIMIT_H_
