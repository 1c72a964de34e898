// The operators' command line.

#include <CLI/CLI.hpp>

#include "replay/command.h"

int main(int argc, char** argv) {
  CLI::App app("gentianctl");
  int exit_code = 0;
  gentianlb::replay::AddReplayCommand(&app, &exit_code);
  gentianlb::replay::AddBenchCommand(&app, &exit_code);
  app.require_subcommand(1);
  constexpr int kExitUsage = 2;
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitUsage;
  }
  return exit_code;
}
