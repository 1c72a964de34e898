// An upper bound of what any policy could finish in time, one that knows the
// future, places every prefix rightly and splits work at will. docs/TRACES.md
// proves it and tells how loose it is.

#ifndef GENTIANLB_REPLAY_BOUND_H_
#define GENTIANLB_REPLAY_BOUND_H_

#include "replay/deployment.h"
#include "replay/figures.h"
#include "replay/trace.h"

namespace gentianlb::replay {

BoundFigures Bound(const Deployment& deployment, const ServiceLoad& service,
                   const Trace& trace);

}  // namespace gentianlb::replay

#endif  // GENTIANLB_REPLAY_BOUND_H_
