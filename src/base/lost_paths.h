// The hosts that can't reach a server which other hosts reach.
//
// A partition may separate a host from some servers only. If the servers were
// closed for all hosts, callers of the others would be refused; if the host
// tried them all the same, each request would wait until its connection fails.
// So single pairs of host and server are excluded for a while. Pairs without a
// failure take no space.

#ifndef GENTIANLB_BASE_LOST_PATHS_H_
#define GENTIANLB_BASE_LOST_PATHS_H_

#include <algorithm>
#include <cstddef>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/ids.h"

namespace gentianlb {

// `Server`: the type that identifies a server.
template <typename Server>
class LostPaths {
 public:
  // Records that `host` could not connect to `server`. The pair is excluded,
  // longer after each failure in a row.
  void OnUnreachable(const EntryHostId& host, const Server& server,
                     absl::Time now) {
    if (!hosts_.contains(host)) ForgetOldLosses(now);
    const auto [found, is_new] =
        hosts_[host].try_emplace(server, Loss{now, kInitialBackoff});
    Loss& loss = found->second;
    if (now < loss.until) return;  // Started before the last failure.
    if (!is_new) loss.backoff = std::min(loss.backoff * 2, kMaxBackoff);
    loss.until = now + loss.backoff;
  }

  // Records that `host` received a response of `server`.
  void OnReached(const EntryHostId& host, const Server& server) {
    const auto found = hosts_.find(host);
    if (found == hosts_.end()) return;
    found->second.erase(server);
    if (found->second.empty()) hosts_.erase(found);
  }

  // Returns whether `host` should not try `server`.
  bool IsLost(const EntryHostId& host, const Server& server,
              absl::Time now) const {
    const auto found = hosts_.find(host);
    if (found == hosts_.end()) return false;
    const auto loss = found->second.find(server);
    return loss != found->second.end() && now < loss->second.until;
  }

  // Returns how many paths `host` has lost lately.
  std::size_t CountOf(const EntryHostId& host) const {
    const auto found = hosts_.find(host);
    return found == hosts_.end() ? 0 : found->second.size();
  }

 private:
  // Each try costs the duration of a connection timeout.
  static constexpr absl::Duration kInitialBackoff = absl::Milliseconds(500);
  static constexpr absl::Duration kMaxBackoff = absl::Seconds(2);

  // A pair that failed longer ago than this is as good as new: its host has not
  // tried it since.
  static constexpr absl::Duration kForgetAfter = absl::Seconds(10);

  struct Loss {
    absl::Time until;
    absl::Duration backoff;
  };
  using Servers = absl::flat_hash_map<Server, Loss>;

  // Drops pairs that their hosts no longer try, such as those of hosts that are
  // gone.
  void ForgetOldLosses(absl::Time now) {
    for (auto& [host, servers] : hosts_) {
      absl::erase_if(servers, [now](const auto& item) {
        return now - item.second.until > kForgetAfter;
      });
    }
    absl::erase_if(hosts_,
                   [](const auto& item) { return item.second.empty(); });
  }

  absl::flat_hash_map<EntryHostId, Servers> hosts_;  // None is empty.
};

}  // namespace gentianlb

#endif  // GENTIANLB_BASE_LOST_PATHS_H_
