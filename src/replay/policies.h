// The policies by name.

#ifndef GENTIANLB_REPLAY_POLICIES_H_
#define GENTIANLB_REPLAY_POLICIES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "replay/deployment.h"
#include "replay/figures.h"
#include "replay/trace.h"

namespace gentianlb::replay {

// The product's own.
inline constexpr std::string_view kProductPolicy = "gentian";

// The clairvoyant bound, which decides nothing.
inline constexpr std::string_view kBoundPolicy = "bound";

// The product's, the baselines and the bound.
std::vector<std::string> PolicyNames();

// The baselines alone.
std::vector<std::string> BaselineNames();

// Replays `trace` under the policy `name`; kUsage when there is none.
Result<ReplayFigures> ReplayUnder(std::string_view name,
                                  const Deployment& deployment,
                                  const Trace& trace, std::uint64_t seed);

}  // namespace gentianlb::replay

#endif  // GENTIANLB_REPLAY_POLICIES_H_
