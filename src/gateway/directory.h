// The registered backend servers of all services.
//
// A server's registration expires unless the server renews it, and servers
// can't renew while the table service is unavailable. When the service
// recovers, it therefore reports healthy servers as removed. Removing them at
// once would leave the directory empty and every request refused until the
// servers have registered again. So a removal shortly after an outage is
// delayed until servers have had time to register again.

#ifndef GENTIANLB_GATEWAY_DIRECTORY_H_
#define GENTIANLB_GATEWAY_DIRECTORY_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gateway/messages.h"

namespace gentianlb::gateway {

// The platform guarantees that healthy servers register again within about two
// seconds of the table service's recovery.
inline constexpr absl::Duration kReregistrationTime = absl::Seconds(2);

class Directory {
 public:
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

  // Removes registrations whose delay has passed. Returns true if any was
  // removed.
  bool Expire(absl::Time now);
  // Returns the time of the next delayed removal; InfiniteFuture() if none.
  absl::Time NextExpiry() const;

  std::vector<ServerEntry> ServersOf(const ServiceId& service) const;
  std::vector<ServiceId> Services() const;
  std::vector<ServerEntry> AllServers() const;
  // Returns the server at `address`, or null. Draining servers are left out:
  // their address may belong to another one soon.
  const ServerEntry* FindByAddress(const settings::Endpoint& address) const;
  // Returns null if the server is not registered.
  const ServerEntry* Find(const ServerId& id) const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct Registration {
    ServerEntry entry;
    bool removed = false;  // The removal is delayed.
  };

  bool Remove(const std::string& key, absl::Time now);
  // Returns the time from which removals take effect.
  absl::Time RemovalsDue() const { return recovered_at_ + kReregistrationTime; }

  absl::flat_hash_map<std::string, Registration> entries_;
  absl::Time recovered_at_ = absl::InfinitePast();
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_DIRECTORY_H_
