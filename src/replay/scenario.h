// Seeded generators of traces, one for each load pattern that the product is
// judged by. The same name, deployment and seed give the same trace.

#ifndef GENTIANLB_REPLAY_SCENARIO_H_
#define GENTIANLB_REPLAY_SCENARIO_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "replay/deployment.h"
#include "replay/trace.h"

namespace gentianlb::replay {

// All scenarios, in the order of the bench.
std::vector<std::string> ScenarioNames();

// kUsage when there is no such scenario.
Result<Trace> MakeScenario(const Deployment& deployment, std::string_view name,
                           std::uint64_t seed);

// As above, cut to what begins within `length`.
Result<Trace> MakeShortScenario(const Deployment& deployment,
                                std::string_view name, std::uint64_t seed,
                                absl::Duration length);

}  // namespace gentianlb::replay

#endif  // GENTIANLB_REPLAY_SCENARIO_H_
