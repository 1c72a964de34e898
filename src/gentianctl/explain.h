// gentianctl explain: from hosts' logs to what became of requests, and why.

#ifndef GENTIANLB_GENTIANCTL_EXPLAIN_H_
#define GENTIANLB_GENTIANCTL_EXPLAIN_H_

#include "gentianctl/command.h"

namespace gentianlb::ctl {

void AddExplain(CLI::App* app, Action* action);

}  // namespace gentianlb::ctl

#endif  // GENTIANLB_GENTIANCTL_EXPLAIN_H_
