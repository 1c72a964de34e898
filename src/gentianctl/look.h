// gentianctl status and timeline: what the system does.

#ifndef GENTIANLB_GENTIANCTL_LOOK_H_
#define GENTIANLB_GENTIANCTL_LOOK_H_

#include "gentianctl/command.h"

namespace gentianlb::ctl {

void AddStatus(CLI::App* app, Action* action);
void AddTimeline(CLI::App* app, Action* action);

}  // namespace gentianlb::ctl

#endif  // GENTIANLB_GENTIANCTL_LOOK_H_
