// What a request costs a service's servers at the least, and what they supply,
// in one number that adds engine time and energy. For any multiplier of energy
// the sum of the costs can't exceed the supply, which makes it the ground of
// the bound (docs/TRACES.md) and of the scenarios' load.

#ifndef GENTIANLB_REPLAY_WORK_MODEL_H_
#define GENTIANLB_REPLAY_WORK_MODEL_H_

#include <vector>

#include "replay/deployment.h"
#include "schedule/messages.h"

namespace gentianlb::replay {

class WorkModel {
 public:
  // `multiplier` prices one joule in engine work; 0 leaves power out.
  WorkModel(const std::vector<schedule::ServerSpec>& servers,
            double multiplier);

  // The least cost over all servers and batch sizes.
  double Cost(double prompt_tokens, double output_tokens) const;

  // A second's supply of servers that run at `speeds` (one for each, 0 when
  // dead) under a cap.
  double Supply(const std::vector<double>& speeds, double cap_watts) const;

 private:
  struct Price {
    double per_prompt_token = 0;
    double per_output_token = 0;
  };

  const double multiplier_;
  double idle_watts_ = 0;
  std::vector<double> full_rate_;  // Output tokens a second, of each server.
  std::vector<Price> prices_;      // Of each server.
};

// Multipliers that are worth trying for these servers and this cap: the least
// of the bounds over them is taken.
std::vector<double> Multipliers(
    const std::vector<schedule::ServerSpec>& servers, double cap_watts);

// Requests of `service` a second that its servers could at most finish in the
// long run, with the deployment's mix of kinds.
double RequestsPerSecond(const Deployment& deployment,
                         const ServiceLoad& service);

}  // namespace gentianlb::replay

#endif  // GENTIANLB_REPLAY_WORK_MODEL_H_
