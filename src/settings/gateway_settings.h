// The settings of an entry host that runs as a gateway on a platform: an
// immutable value, read from INI and checked as a whole before anything starts.
// docs/GATEWAY_SETTINGS.md lists them.

#ifndef GENTIANLB_SETTINGS_GATEWAY_SETTINGS_H_
#define GENTIANLB_SETTINGS_GATEWAY_SETTINGS_H_

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
  Endpoint ready;          // Where the platform asks whether to send callers.
  std::string ready_path;  // Of that question.
  Endpoint metrics;
  Endpoint peers;        // Where messages of other entry hosts come in.
  Endpoint table;        // The platform's table service.
  absl::Duration grace;  // From SIGTERM until the process is killed.
  double processor = 1;  // Part of one that the host may use.
  double retries_per_request = 0.1;   // Of all hosts together.
  double retry_burst = 10;            // Of all hosts together.
  double limit_tolerance_tokens = 0;  // Above a workspace's limit.
  bool operator==(const GatewaySettings&) const = default;
};

// With any problem noted, the value must not be used.
GatewaySettings ReadGatewaySettings(const Document& document,
                                    Problems* problems);

// Reads and checks the file; the error lists all problems, one a line.
Outcome<GatewaySettings> LoadGatewaySettings(const std::string& path);

}  // namespace gentianlb::settings

#endif  // GENTIANLB_SETTINGS_GATEWAY_SETTINGS_H_
