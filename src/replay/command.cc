#include "replay/command.h"

#include <fstream>
#include <iostream>
#include <memory>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "replay/bench.h"
#include "replay/bound.h"
#include "replay/policies.h"
#include "replay/report.h"
#include "replay/scenario.h"
#include "replay/trace.h"

namespace gentianlb::replay {
namespace {

constexpr int kExitDone = 0;
constexpr int kExitRefused = 1;
constexpr int kExitUsage = 2;

// The two sizes that the cost of a decision is compared at.
constexpr int kSmallServers = 10;
constexpr int kSmallWaiting = 100;
constexpr int kLargeServers = 1000;
constexpr int kLargeWaiting = 10'000;

int PrintError(const Error& error) {
  std::cerr << "error " << static_cast<int>(error.code) << " "
            << Describe(error.code).name << ": " << error.detail << "\n";
  bool usage = error.code == Code::kUsage || error.code == Code::kBadTrace ||
               error.code == Code::kFileUnreadable;
  return usage ? kExitUsage : kExitRefused;
}

// Runs `body`, which prints, and turns an error into an exit code.
template <typename Body>
int Run(Body&& body) {
  Outcome<int> outcome = Capture(std::forward<Body>(body));
  return outcome.ok() ? outcome.value() : PrintError(outcome.error());
}

Result<Deployment> Resolve(const std::string& name,
                           const DeploymentReader& reader) {
  for (const std::string& known : DeploymentNames()) {
    if (known == name) return FindDeployment(name);
  }
  if (reader != nullptr) return reader(name);
  return FindDeployment(name);  // Tells that there is none.
}

Result<Trace> Load(const ReplayArguments& arguments,
                   const Deployment& deployment) {
  if (!arguments.trace_file.empty()) {
    return ReadTraceFile(arguments.trace_file, deployment);
  }
  if (arguments.first_seconds > 0) {
    return MakeShortScenario(deployment, arguments.scenario, arguments.seed,
                             absl::Seconds(arguments.first_seconds));
  }
  return MakeScenario(deployment, arguments.scenario, arguments.seed);
}

Result<void> Save(const Trace& trace, const std::string& path) {
  std::ofstream file(path);
  WriteTrace(trace, file);
  file.close();
  if (!file) return Fail(Code::kFileUnreadable, path);
  return {};
}

Result<int> Replay(const ReplayArguments& arguments,
                   const DeploymentReader& reader) {
  if (arguments.trace_file.empty() == arguments.scenario.empty()) {
    return Fail(Code::kUsage, "give either --trace or --scenario");
  }
  BOOST_LEAF_AUTO(deployment, Resolve(arguments.deployment, reader));
  BOOST_LEAF_AUTO(trace, Load(arguments, deployment));
  if (!arguments.write_trace.empty()) {
    BOOST_LEAF_CHECK(Save(trace, arguments.write_trace));
    return kExitDone;
  }
  BOOST_LEAF_AUTO(figures, ReplayUnder(arguments.policy, deployment, trace,
                                       arguments.seed));
  for (std::size_t i = 0; i < deployment.services.size(); ++i) {
    figures.services[i].bound =
        Bound(deployment, deployment.services[i], trace);
  }
  bool json = arguments.format == "json";
  std::cout << (json ? Print(ToJson(figures)) : ToText(figures));
  return kExitDone;
}

Result<int> Sweep(const BenchArguments& arguments) {
  BenchFilter filter{arguments.deployment, arguments.scenario};
  BOOST_LEAF_AUTO(sweep, RunSweep(filter, arguments.seeds));
  std::cout << ToText(sweep);
  return sweep.violations.empty() ? kExitDone : kExitRefused;
}

Result<int> Bench(const BenchArguments& arguments) {
  if (arguments.scale) {
    std::vector<ScaleFigures> rows = {
        MeasureScale(kSmallServers, kSmallWaiting),
        MeasureScale(kLargeServers, kLargeWaiting)};
    std::cout << ToText(rows);
    return kExitDone;
  }
  if (arguments.seeds > 0) return Sweep(arguments);
  if (arguments.weights) {
    BOOST_LEAF_AUTO(rows,
                    RunWeights({arguments.deployment, arguments.scenario}));
    std::cout << ToText(rows);
    return kExitDone;
  }
  BOOST_LEAF_AUTO(figures,
                  RunBench({arguments.deployment, arguments.scenario}));
  bool json = arguments.format == "json";
  std::cout << (json ? ToJsonText(figures) : ToText(figures));
  return kExitDone;
}

CLI::Validator Formats() { return CLI::IsMember({"text", "json"}); }

}  // namespace

void AddReplayCommand(CLI::App* app, int* exit_code,
                      const DeploymentReader& reader) {
  auto arguments = std::make_shared<ReplayArguments>();
  CLI::App* command =
      app->add_subcommand("replay", "Replay a trace on a virtual clock.");
  command
      ->add_option("--deployment", arguments->deployment,
                   "association, almaty, or an intent file")
      ->required();
  command->add_option("--trace", arguments->trace_file, "File to replay");
  command->add_option("--scenario", arguments->scenario, "Scenario to replay")
      ->check(CLI::IsMember(ScenarioNames()));
  command->add_option("--seed", arguments->seed, "Seed of the scenario");
  command->add_option("--first", arguments->first_seconds,
                      "Only the scenario's first seconds");
  command->add_option("--policy", arguments->policy, "Who decides")
      ->check(CLI::IsMember(PolicyNames()));
  command->add_option("--format", arguments->format, "text or json")
      ->check(Formats());
  command->add_option("--write-trace", arguments->write_trace,
                      "Write the trace to this file and replay nothing");
  command->callback([arguments, exit_code, reader] {
    *exit_code = RunReplayCommand(*arguments, reader);
  });
}

void AddBenchCommand(CLI::App* app, int* exit_code) {
  auto arguments = std::make_shared<BenchArguments>();
  CLI::App* command = app->add_subcommand(
      "bench", "Replay the fixed set and print one signature.");
  command->add_option("--deployment", arguments->deployment, "Only this one")
      ->check(CLI::IsMember(DeploymentNames()));
  command->add_option("--scenario", arguments->scenario, "Only this one")
      ->check(CLI::IsMember(ScenarioNames()));
  command->add_option("--seeds", arguments->seeds,
                      "Look for broken promises over so many seeds instead");
  command->add_flag("--scale", arguments->scale,
                    "Measure the cost of a decision at two sizes instead");
  command->add_flag("--weights", arguments->weights,
                    "Compare the weights of both deployments instead");
  command->add_option("--format", arguments->format, "text or json")
      ->check(Formats());
  command->callback(
      [arguments, exit_code] { *exit_code = RunBenchCommand(*arguments); });
}

int RunReplayCommand(const ReplayArguments& arguments,
                     const DeploymentReader& reader) {
  return Run([&] { return Replay(arguments, reader); });
}

int RunBenchCommand(const BenchArguments& arguments) {
  return Run([&] { return Bench(arguments); });
}

}  // namespace gentianlb::replay
