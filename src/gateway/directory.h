// The registered backend servers of all services.
//
// A server's registration expires unless the server renews it, and servers
// can't renew while the table service is unavailable. When the service
// recovers, it therefore reports healthy servers as removed. Removing them at
// once would leave the directory empty and every request refused until the
// servers have registered again. So a removal shortly after an outage is
// delayed until servers have had time to register again.
//
// A server may also say in its responses that it leaves, before its
// registration does, or though that never does. It counts as draining from then
// on, for this start of it. Where all servers of a service leave so, those that
// are registered as usable serve on until the drain time has passed; otherwise
// callers would be refused although servers can still serve them.

#ifndef GENTIANLB_GATEWAY_DIRECTORY_H_
#define GENTIANLB_GATEWAY_DIRECTORY_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "gateway/messages.h"

namespace gentianlb::gateway {

// The platform guarantees that healthy servers register again within about two
// seconds of the table service's recovery.
inline constexpr absl::Duration kReregistrationTime = absl::Seconds(2);

class Directory {
 public:
  // `drain_time`: for so long a server that leaves may get new requests.
  explicit Directory(absl::Duration drain_time = absl::ZeroDuration())
      : drain_time_(drain_time) {}

  // Sets or replaces the registration under `key`. An empty `entry` means that
  // the row was removed or is not a valid registration. Returns true if the
  // registrations have changed.
  bool Update(const std::string& key, const std::optional<ServerEntry>& entry,
              absl::Time now);

  // Replaces all registrations; those that `entries` lacks are removed. Returns
  // true if the registrations have changed.
  bool Replace(const std::vector<std::pair<std::string, ServerEntry>>& entries,
               absl::Time now);

  // Sets when the table service recovered from its last outage. It may turn out
  // that there was none, so `at` may be earlier than before.
  void SetTableRecovered(absl::Time at) { recovered_at_ = at; }
  absl::Time table_recovered_at() const { return recovered_at_; }

  // Records that a server has said that it leaves. Ignored if it has restarted
  // since. Returns true if the registrations have changed.
  bool MarkLeaving(const LeavingServer& server, absl::Time now);
  // Returns whether the server has said so, whatever its registration says.
  bool IsMarkedLeaving(const ServerId& server) const;
  // Returns whether it has, and gets no new requests any more.
  bool HasLeft(const ServerId& server) const;
  // Returns the registered servers that have said so.
  std::vector<LeavingServer> LeavingServers(absl::Time now) const;

  // Removes registrations whose delay has passed, and stops the use of leaving
  // servers whose drain time has. Returns true if the registrations have
  // changed.
  bool Expire(absl::Time now);
  // Returns when Expire() is due; InfiniteFuture() if never.
  absl::Time NextExpiry() const;

  std::vector<ServerEntry> ServersOf(const ServiceId& service) const;
  std::vector<ServiceId> Services() const;
  std::vector<ServerEntry> AllServers() const;
  // Returns the server at `address`, or null. Draining servers are left out:
  // their address may belong to another one soon.
  const ServerEntry* FindByAddress(const settings::Endpoint& address) const;
  // Returns null if the server is not registered.
  const ServerEntry* Find(const ServerId& id) const;
  // Returns whether a server that isn't registered isn't there either: a whole
  // list has arrived, and servers had time to register since the table service
  // recovered.
  bool IsSettled(absl::Time now) const {
    return has_list_ && now >= RemovalsDue();
  }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Registration {
    ServerEntry stated;    // By the row.
    ServerEntry entry;     // The same, draining if the server leaves.
    bool removed = false;  // The removal is delayed.
  };
  // What a server has said of its leaving.
  struct Leave {
    std::int64_t started = 0;  // As in ServerEntry.
    absl::Time since;
  };

  bool Remove(const std::string& key, absl::Time now);
  // Sets which entries count as draining. Returns true if any has changed.
  bool ApplyLeaves(absl::Time now);
  // Returns the services with a server that doesn't leave.
  absl::flat_hash_set<ServiceId> ServicesThatStay() const;
  void ForgetOldLeaves(absl::Time now);
  // Returns the time from which removals take effect.
  absl::Time RemovalsDue() const { return recovered_at_ + kReregistrationTime; }

  const absl::Duration drain_time_;
  absl::flat_hash_map<std::string, Registration> entries_;
  absl::flat_hash_map<ServerId, Leave> leaves_;
  absl::Time recovered_at_ = absl::InfinitePast();
  bool has_list_ = false;  // A whole list has arrived.
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_DIRECTORY_H_
