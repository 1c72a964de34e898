// gentianctl, the operators' program. Each subcommand stands in a file of its
// own; here they are only listed.

#include <CLI/CLI.hpp>

#include "gentianctl/change.h"
#include "gentianctl/check.h"
#include "gentianctl/command.h"
#include "gentianctl/deployment_file.h"
#include "gentianctl/explain.h"
#include "gentianctl/look.h"
#include "replay/command.h"

namespace {

using gentianlb::ctl::Action;
using gentianlb::ctl::Exit;

void AddCommands(CLI::App* app, Action* action) {
  gentianlb::ctl::AddCheck(app, action);
  gentianlb::ctl::AddPlan(app, action);
  gentianlb::ctl::AddConfirm(app, action);
  gentianlb::ctl::AddAbandon(app, action);
  gentianlb::ctl::AddHistory(app, action);
  gentianlb::ctl::AddShow(app, action);
  gentianlb::ctl::AddStatus(app, action);
  gentianlb::ctl::AddTimeline(app, action);
  gentianlb::ctl::AddExplain(app, action);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "Operates gentianlb. Exit codes: 0 done, 1 refused, 2 invalid "
      "command line or file, 3 entry host unreachable.");
  Action action;
  app.require_subcommand(1);
  AddCommands(&app, &action);
  int replay_exit = 0;
  gentianlb::replay::AddReplayCommand(&app, &replay_exit,
                                      gentianlb::ctl::ReadDeployment);
  gentianlb::replay::AddBenchCommand(&app, &replay_exit);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    // Prints the help or the error; help alone is no failure.
    bool help = app.exit(error) == 0;
    return static_cast<int>(help ? Exit::kDone : Exit::kInvalid);
  }
  // Replay and bench ran while they were parsed.
  if (!action) return replay_exit;
  return static_cast<int>(action());
}
