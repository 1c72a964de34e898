// Determines which steps the configuration in force requires, and which of them
// may start. The functions keep no state; the rows of the steps are in the
// table.
//
// Without rules, a model that moves between servers could be unloaded before it
// is loaded, or by two servers at once, and callers would be refused although
// the configuration offers the model in their zone. Loads go first. An unload
// or role change starts only when enough other servers of the zone had the
// model a moment ago, and only one runs at a time, so that no two rely on each
// other.

#ifndef GENTIANLB_ORDERS_SEQUENCE_H_
#define GENTIANLB_ORDERS_SEQUENCE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "config/configuration.h"
#include "orders/messages.h"
#include "orders/rows.h"

namespace gentianlb::orders {

struct SequenceOptions {
  // All loads share the rate of the weight store, so more at once don't finish
  // sooner. A second load uses the pauses of the first.
  int max_loads = 2;
  // A server whose state was read longer ago is not relied on.
  absl::Duration max_age = absl::Seconds(10);
  // After this many failed calls in a row, the open step of a server no longer
  // counts against the limits. With fewer, lost answers alone would make the
  // steps exceed them.
  int max_failures = 3;
  bool operator==(const SequenceOptions&) const = default;
};

// The last known state of one backend server.
struct ServerView {
  std::optional<EngineState> state;  // Nothing if it doesn't answer.
  absl::Time read_at = absl::InfinitePast();
  std::optional<StepRow> step;   // The last one.
  int consecutive_failures = 0;  // Calls in a row without answer.
  absl::Time not_before = absl::InfinitePast();  // Earliest next step.
  bool operator==(const ServerView&) const = default;
};

using Views = std::map<ServerId, ServerView>;

// A step and the server that it changes.
struct Step {
  ServerId server;
  StepRow row;
  bool operator==(const Step&) const = default;
};

// Returns whether the server runs a model engine; a plain service accepts
// no orders.
bool AcceptsOrders(const config::Configuration& configuration,
                   const config::ServerConfig& server);

// Returns the steps from `state` to the wanted configuration: loads first, then
// the role change, then unloads.
std::vector<StepRow> RequiredSteps(const config::ServerConfig& wanted,
                                   const EngineState& state);

// Returns whether the engine's state shows that the step took effect.
bool TookEffect(const StepRow& step, const EngineState& state);

// Returns whether the order of this step may be sent now: the zone must keep
// enough other servers for each model that the configuration offers there.
bool IsSafe(const Step& step, const config::Configuration& configuration,
            const Views& views, const SequenceOptions& options, absl::Time now);

// The steps that may start now.
struct StartableSteps {
  std::vector<Step> steps;
  int held_back = 0;  // Steps required but not yet allowed.
  bool operator==(const StartableSteps&) const = default;
};

// Returns the steps that may start beside the open ones, at most one for each
// server.
StartableSteps NextSteps(const config::Configuration& configuration,
                         const Views& views, const SequenceOptions& options,
                         absl::Time now);

}  // namespace gentianlb::orders

#endif  // GENTIANLB_ORDERS_SEQUENCE_H_
