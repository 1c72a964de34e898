// When servers of which software versions were registered for a service.

#ifndef GENTIANLB_GATEWAY_VERSION_HISTORY_H_
#define GENTIANLB_GATEWAY_VERSION_HISTORY_H_

#include <map>
#include <set>
#include <string>

#include "absl/time/time.h"

namespace gentianlb::gateway {

class VersionHistory {
 public:
  // Sets the versions of the servers that are registered now.
  void Update(const std::set<std::string>& present, absl::Time now) {
    if (since_ == absl::InfiniteFuture() && !present.empty()) since_ = now;
    for (auto& [version, last_seen] : last_seen_) {
      if (last_seen == absl::InfiniteFuture()) last_seen = now;
    }
    for (const std::string& version : present) {
      last_seen_[version] = absl::InfiniteFuture();
    }
  }

  // Returns the versions that were registered at or after `from`.
  std::set<std::string> VersionsSince(absl::Time from) const {
    std::set<std::string> versions;
    for (const auto& [version, last_seen] : last_seen_) {
      if (last_seen >= from) versions.insert(version);
    }
    return versions;
  }

  // Returns whether all versions at or after `from` are known.
  bool Covers(absl::Time from) const { return since_ <= from; }

 private:
  absl::Time since_ = absl::InfiniteFuture();  // The first servers were known.
  // InfiniteFuture() while a server of the version is registered.
  std::map<std::string, absl::Time> last_seen_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_VERSION_HISTORY_H_
