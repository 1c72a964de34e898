// The settings of an entry host's process. They are immutable, and the whole
// INI file is read and checked before anything starts. See docs/SETTINGS.md.

#ifndef GENTIANLB_SETTINGS_HOST_SETTINGS_H_
#define GENTIANLB_SETTINGS_HOST_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "settings/document.h"
#include "settings/units.h"

namespace gentianlb::settings {

// PEM texts; TLS is enabled when both are set.
struct TlsSettings {
  std::string certificate_pem;
  std::string private_key_pem;
  bool enabled() const { return !certificate_pem.empty(); }
  bool operator==(const TlsSettings&) const = default;
};

// Limits of callers' connections.
struct LimitSettings {
  std::int64_t body_bytes = 8 << 20;
  std::int64_t header_bytes = 32 << 10;
  absl::Duration idle_timeout = absl::Seconds(30);
  int connections = 4096;
  int threads = 2;
  bool operator==(const LimitSettings&) const = default;
};

struct PeerSettings {
  EntryHostId id;
  Endpoint control;
  bool operator==(const PeerSettings&) const = default;
};

struct PlatformSettings {
  std::vector<Endpoint> addresses;  // Tried in order.
  absl::Duration timeout = absl::Seconds(2);
  // Limits of the delay before a retry.
  absl::Duration min_delay = absl::Milliseconds(100);
  absl::Duration max_delay = absl::Seconds(5);
  absl::Duration list_period = absl::Seconds(5);  // Of live and leaving hosts.
  bool operator==(const PlatformSettings&) const = default;
};

struct MembershipSettings {
  absl::Duration heartbeat = absl::Milliseconds(500);
  absl::Duration suspect_after = absl::Seconds(2);
  absl::Duration forget_after = absl::Minutes(5);
  absl::Duration lease = absl::Seconds(10);  // Of roles that require a lease.
  int fanout = 3;                            // Peers per heartbeat.
  bool operator==(const MembershipSettings&) const = default;
};

// How often the host polls the confirmed configuration.
struct FollowSettings {
  absl::Duration period = absl::Seconds(2);
  bool operator==(const FollowSettings&) const = default;
};

struct LogSettings {
  std::string folder;  // Empty: standard error.
  int level = 0;       // The glog level: 0 info, 1 warning, 2 error.
  bool operator==(const LogSettings&) const = default;
};

struct HostSettings {
  EntryHostId id;
  ZoneId zone;
  Endpoint callers;  // Port 0: the kernel picks one.
  TlsSettings callers_tls;
  Endpoint control;  // For peers and operators.
  TlsSettings control_tls;
  std::string peer_key;
  std::string operator_key;
  std::optional<Endpoint> metrics;  // Unset: on the callers' port.
  PlatformSettings platform;
  std::vector<PeerSettings> peers;
  LimitSettings limits;
  MembershipSettings membership;
  FollowSettings follow;
  LogSettings log;
  absl::Duration drain_limit = absl::Minutes(10);
  int timeline_events = 20000;
  bool operator==(const HostSettings&) const = default;
};

// Reads and checks a document. Relative file names are resolved in `folder`.
// The result must not be used if a problem was added.
HostSettings ReadHostSettings(const Document& document,
                              const std::string& folder, Problems* problems);

// Reads and checks the file at `path`. The error lists all problems, one per
// line.
Outcome<HostSettings> LoadHostSettings(const std::string& path);

// Returns the folder that contains `path`.
std::string FolderOf(std::string_view path);

}  // namespace gentianlb::settings

#endif  // GENTIANLB_SETTINGS_HOST_SETTINGS_H_
