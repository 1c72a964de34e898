// gentianctl plan, confirm, abandon, history, show: changes of the
// configuration.

#ifndef GENTIANLB_GENTIANCTL_CHANGE_H_
#define GENTIANLB_GENTIANCTL_CHANGE_H_

#include "gentianctl/command.h"

namespace gentianlb::ctl {

void AddPlan(CLI::App* app, Action* action);
void AddConfirm(CLI::App* app, Action* action);
void AddAbandon(CLI::App* app, Action* action);
void AddHistory(CLI::App* app, Action* action);
void AddShow(CLI::App* app, Action* action);

}  // namespace gentianlb::ctl

#endif  // GENTIANLB_GENTIANCTL_CHANGE_H_
