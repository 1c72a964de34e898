// The cooldowns that servers have asked of single hosts, as far as this
// dispatcher knows.
//
// Load pattern: an overloaded server refuses a host's request and wants no
// other from this host for some seconds. Other hosts may be welcome there, so
// single pairs of host and server are excluded. All cooldowns that began
// together would end together, and all waiting requests would reach the server
// at once; so after its cooldown a pair gets one request as a probe.

#ifndef GENTIANLB_SCHEDULE_COOLDOWNS_H_
#define GENTIANLB_SCHEDULE_COOLDOWNS_H_

#include <cstddef>

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/ids.h"
#include "schedule/index.h"

namespace gentianlb::schedule {

class Cooldowns {
 public:
  // Records that `server` wants no request from `host` for `span`.
  void OnAsked(const EntryHostId& host, ServerIndex server, absl::Duration span,
               absl::Time now);
  // Records that `host` is granted `server`. After a cooldown this is a probe:
  // the pair is excluded until its response, or for a short time.
  void OnGrant(const EntryHostId& host, ServerIndex server, absl::Time now);
  // Records a response to a request that was granted at `granted_at`. If that
  // was after the cooldown, the pair is like any other.
  void OnReached(const EntryHostId& host, ServerIndex server,
                 absl::Time granted_at);
  // Forgets the cooldowns of a server that has restarted.
  void Forget(ServerIndex server);

  // Returns when the pair may be used again; InfinitePast() if at once.
  absl::Time ExcludedUntil(const EntryHostId& host, ServerIndex server,
                           absl::Time now) const;
  bool IsExcluded(const EntryHostId& host, ServerIndex server,
                  absl::Time now) const {
    return ExcludedUntil(host, server, now) > now;
  }

  // Returns how many servers the host may be excluded from.
  std::size_t CountOf(const EntryHostId& host) const;
  // Returns the number of pairs.
  std::size_t size() const;

  // Returns the next time at which a pair may be used again; InfiniteFuture()
  // if there is none.
  absl::Time NextEnd() const;
  // Returns whether that time has passed since the last call.
  bool TakeEnded(absl::Time now);

 private:
  struct Cooldown {
    absl::Time end;
    absl::Time probe_until = absl::InfinitePast();
  };
  using Servers = absl::flat_hash_map<ServerIndex, Cooldown>;

  void ForgetOld(absl::Time now);
  Cooldown* Find(const EntryHostId& host, ServerIndex server);

  absl::flat_hash_map<EntryHostId, Servers> hosts_;  // None is empty.
  absl::btree_set<absl::Time> ends_;                 // Of cooldowns and probes.
  absl::Time forgot_at_ = absl::InfinitePast();
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_COOLDOWNS_H_
