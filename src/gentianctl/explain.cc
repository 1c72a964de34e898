#include "gentianctl/explain.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "explain/losses.h"
#include "explain/sends.h"

namespace gentianlb::ctl {
namespace {

struct ExplainOptions {
  std::vector<std::string> logs;
  std::string request;
  std::string rollout;  // Of this service.
  bool seconds = false;
  bool sends = false;
};

// Calls `take` with each line of all logs and its text. False when one can't be
// read.
template <typename Take>
bool ReadLogs(const std::vector<std::string>& logs, Take take) {
  for (const std::string& name : logs) {
    std::ifstream file(name);
    if (!file) {
      PrintError("text", {Code::kFileUnreadable, name});
      return false;
    }
    std::string text;
    while (std::getline(file, text)) {
      if (auto line = explain::ParseLogLine(text)) take(*line, text);
    }
  }
  return true;
}

// Prints the lines that `matches`, in order of time. `subject` names them if
// there are none.
template <typename Matches>
Exit PrintLines(const std::vector<std::string>& logs, Matches matches,
                const std::string& subject) {
  std::vector<std::pair<absl::Time, std::string>> lines;
  const bool read = ReadLogs(
      logs, [&](const explain::LogLine& line, const std::string& text) {
        if (matches(line)) lines.emplace_back(line.time, text);
      });
  if (!read) return Exit::kInvalid;
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [time, text] : lines) std::cout << text << "\n";
  if (!lines.empty()) return Exit::kDone;
  PrintError("text", {Code::kUsage, "no line about " + subject});
  return Exit::kRefused;
}

Exit ExplainRequest(const ExplainOptions& options) {
  return PrintLines(
      options.logs,
      [&](const explain::LogLine& line) {
        return line.Text("request") == options.request;
      },
      "request " + options.request);
}

Exit ExplainRollout(const ExplainOptions& options) {
  return PrintLines(
      options.logs,
      [&](const explain::LogLine& line) {
        return absl::StartsWith(line.event, "rollout-") &&
               line.Text("service") == options.rollout;
      },
      "a roll-out of " + options.rollout);
}

Exit CheckSends(const ExplainOptions& options) {
  explain::Sends sends;
  const bool read =
      ReadLogs(options.logs, [&](const explain::LogLine& line,
                                 const std::string&) { sends.Add(line); });
  if (!read) return Exit::kInvalid;
  sends.Finish();
  sends.Print(std::cout);
  return sends.problems().empty() ? Exit::kDone : Exit::kRefused;
}

Exit Explain(const ExplainOptions& options) {
  if (options.sends) return CheckSends(options);
  if (!options.request.empty()) return ExplainRequest(options);
  if (!options.rollout.empty()) return ExplainRollout(options);
  explain::Losses losses;
  const bool read =
      ReadLogs(options.logs, [&](const explain::LogLine& line,
                                 const std::string&) { losses.Add(line); });
  if (!read) return Exit::kInvalid;
  losses.Finish();
  losses.PrintTable(std::cout);
  if (options.seconds) losses.PrintSeconds(std::cout);
  return Exit::kDone;
}

}  // namespace

void AddExplain(CLI::App* app, Action* action) {
  auto options = std::make_shared<ExplainOptions>();
  CLI::App* command = app->add_subcommand(
      "explain", "What became of requests, and why, from entry hosts' logs");
  command->add_option("LOG", options->logs, "Logs of entry hosts")->required();
  command->add_option("--request", options->request,
                      "Only the lines of this request, in order of time");
  command->add_option("--rollout", options->rollout,
                      "Only the lines of this service's roll-outs");
  command->add_flag("--seconds", options->seconds, "Also by second");
  command->add_flag("--sends", options->sends,
                    "Check that no request was sent, or refused as not run, "
                    "while an earlier send of it was open or may have run it");
  command->callback([=] { *action = [=] { return Explain(*options); }; });
}

}  // namespace gentianlb::ctl
