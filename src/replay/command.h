// The subcommands `replay` and `bench` of gentianctl.

#ifndef GENTIANLB_REPLAY_COMMAND_H_
#define GENTIANLB_REPLAY_COMMAND_H_

#include <CLI/CLI.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "replay/deployment.h"

namespace gentianlb::replay {

// Reads a deployment from an operators' file; how is the caller's matter.
using DeploymentReader =
    std::function<Result<Deployment>(const std::string& path)>;

// What the command line of `replay` says.
struct ReplayArguments {
  std::string deployment;
  std::string trace_file;
  std::string scenario;
  std::uint64_t seed = 1;
  std::string policy = "gentian";
  std::string format = "text";
  std::string write_trace;
  double first_seconds = 0;  // 0: the whole scenario.
};

// What the command line of `bench` says.
struct BenchArguments {
  std::string deployment;
  std::string scenario;
  std::uint64_t seeds = 0;  // 0: no sweep.
  bool scale = false;
  bool weights = false;
  std::string format = "text";
};

// Adds the subcommands to `app`. When one was given, its exit code
// (docs/RESULT_CODES.md) is put into `*exit_code`. Both outlive the parsing.
// A deployment that is not built in is read with `reader`, when there is one.
void AddReplayCommand(CLI::App* app, int* exit_code,
                      const DeploymentReader& reader = nullptr);
void AddBenchCommand(CLI::App* app, int* exit_code);

// The commands themselves: print the figures, or the error to standard error.
int RunReplayCommand(const ReplayArguments& arguments,
                     const DeploymentReader& reader);
int RunBenchCommand(const BenchArguments& arguments);

}  // namespace gentianlb::replay

#endif  // GENTIANLB_REPLAY_COMMAND_H_
