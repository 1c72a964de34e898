// Which steps the configuration in force asks for, and which of them may start.
// Pure: nothing is kept here; the rows of the steps are in the table.
//
// What goes wrong without these rules: a model moves from one server to
// another, the unload comes first or two servers unload at once, and callers
// are refused for want of a server that their zone was promised. Rules: loads
// go first; an unload or role change starts only when enough other servers of
// the zone were seen with the model just now; and one at a time, so that no two
// count on each other.

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
  // The weight store's rate is shared by all loads, so more at once finish no
  // sooner in sum; a second one fills the pauses of the first.
  int max_loads = 2;
  // An older view of another server isn't counted on.
  absl::Duration fresh = absl::Seconds(10);
  // Calls in a row that a server must fail before its open step takes no room
  // from others: fewer, and lost answers alone would overrun the bounds.
  int silent_after = 3;
  bool operator==(const SequenceOptions&) const = default;
};

// What is known of one backend server.
struct ServerView {
  std::optional<EngineState> state;  // Nothing: it doesn't answer.
  absl::Time seen = absl::InfinitePast();
  std::optional<StepRow> step;  // The last one.
  int failures = 0;             // Calls in a row without an answer.
  absl::Time not_before = absl::InfinitePast();  // For the next step.
  bool operator==(const ServerView&) const = default;
};

using Views = std::map<ServerId, ServerView>;

struct Step {
  ServerId server;
  StepRow row;
  bool operator==(const Step&) const = default;
};

// Whether the server runs a model engine; a plain service takes no orders.
bool TakesOrders(const config::Configuration& configuration,
                 const config::ServerConfig& server);

// Loads first, then the role, unloads last.
std::vector<StepRow> Differences(const config::ServerConfig& wanted,
                                 const EngineState& state);

// Whether the engine's state shows that the step took effect.
bool TookEffect(const StepRow& step, const EngineState& state);

// Whether the order of this step may be sent now without taking from a zone
// the last servers that it was promised.
bool Safe(const Step& step, const config::Configuration& configuration,
          const Views& views, const SequenceOptions& options, absl::Time now);

struct Startable {
  std::vector<Step> steps;
  int held_back = 0;  // Wanted, and not allowed for now.
  bool operator==(const Startable&) const = default;
};

// What may start now beside what is open; at most one step for each server.
Startable NextSteps(const config::Configuration& configuration,
                    const Views& views, const SequenceOptions& options,
                    absl::Time now);

}  // namespace gentianlb::orders

#endif  // GENTIANLB_ORDERS_SEQUENCE_H_
