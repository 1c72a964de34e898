// The settings of an entry host that runs as a gateway on a platform. They are
// immutable, and the whole INI file is read and checked before anything starts.
// See docs/GATEWAY_SETTINGS.md.

#ifndef GENTIANLB_SETTINGS_GATEWAY_SETTINGS_H_
#define GENTIANLB_SETTINGS_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "base/ids.h"
#include "settings/document.h"
#include "settings/units.h"

namespace gentianlb::settings {

struct GatewaySettings {
  EntryHostId id;
  ZoneId zone;
  Endpoint callers;        // Port 0: the kernel picks one.
  Endpoint ready;          // The address of the readiness check.
  std::string ready_path;  // The path of the readiness check.
  Endpoint metrics;
  Endpoint peers;        // For messages of peers.
  Endpoint table;        // The platform's table service.
  absl::Duration grace;  // From SIGTERM until the process is killed.
  // Of the process, in bytes; beyond, the platform kills it.
  std::int64_t memory = 128 << 20;
  double processor = 1;  // Number of processors that the host may use.
  double retries_per_request = 0.1;   // Over all hosts.
  double retry_burst = 10;            // Over all hosts.
  double limit_tolerance_tokens = 0;  // Above a workspace's limit.
  // Cost of sending a request to a server in another zone; zero: off.
  absl::Duration zone_crossing_cost;
  // For so long a server that leaves may get new requests; zero: none.
  absl::Duration drain_time;
  // Operators order new versions of a service. Otherwise servers of any version
  // serve from their registration on.
  bool has_rollouts = false;
  // Fraction of a service's requests that a bad version may receive from the
  // order of its roll-out to the deadline.
  double max_rollout_exposure = 0.1;
  bool operator==(const GatewaySettings&) const = default;
};

// Reads and checks a document. The result must not be used if a problem was
// added.
GatewaySettings ReadGatewaySettings(const Document& document,
                                    Problems* problems);

// Reads and checks the file at `path`. The error lists all problems, one per
// line.
Outcome<GatewaySettings> LoadGatewaySettings(const std::string& path);

}  // namespace gentianlb::settings

#endif  // GENTIANLB_SETTINGS_GATEWAY_SETTINGS_H_
