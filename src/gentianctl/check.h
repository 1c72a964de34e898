// gentianctl check: settings and intents, without starting anything.

#ifndef GENTIANLB_GENTIANCTL_CHECK_H_
#define GENTIANLB_GENTIANCTL_CHECK_H_

#include "gentianctl/command.h"

namespace gentianlb::ctl {

void AddCheck(CLI::App* app, Action* action);

}  // namespace gentianlb::ctl

#endif  // GENTIANLB_GENTIANCTL_CHECK_H_
