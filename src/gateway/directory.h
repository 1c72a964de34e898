// The backend servers that may be sent to, as their registrations tell.
//
// A registration lapses when its server has not renewed it, and that also
// happens to servers that are well while the table service is away: they can't
// renew. Taken at its word, the list would be empty in the very moment the
// service is back, and every caller refused. One would notice a burst of
// refusals just after an outage. So a removal that comes shortly after an
// outage waits until the server has had time to register again.

#ifndef GENTIANLB_GATEWAY_DIRECTORY_H_
#define GENTIANLB_GATEWAY_DIRECTORY_H_

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gateway/messages.h"

namespace gentianlb::gateway {

// Servers that live and reach the table service are registered again within
// about two seconds of its return, by the platform's promise.
inline constexpr absl::Duration kReregistrationTime = absl::Seconds(2);

class Directory {
 public:
  // A registration under `key`; none when it was removed or names no server.
  // True when the servers that may be used have changed.
  bool Update(const std::string& key, const std::optional<ServerEntry>& entry,
              absl::Time now);

  // The whole list: what it leaves out was removed.
  bool Replace(const std::vector<std::pair<std::string, ServerEntry>>& entries,
               absl::Time now);

  // The table service answers again after an outage.
  void OnTableRecovered(absl::Time at) {
    recovered_at_ = std::max(recovered_at_, at);
  }

  // Removes what has waited long enough; true when anything was.
  bool Expire(absl::Time now);
  // When Expire() has something to do; InfiniteFuture() if never.
  absl::Time NextExpiry() const;

  std::vector<ServerEntry> ServersOf(const ServiceId& service) const;
  std::vector<ServiceId> Services() const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct Registration {
    ServerEntry entry;
    absl::Time removed_at = absl::InfiniteFuture();
  };

  bool Remove(const std::string& key, absl::Time now);

  absl::flat_hash_map<std::string, Registration> entries_;
  absl::Time recovered_at_ = absl::InfinitePast();
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_DIRECTORY_H_
