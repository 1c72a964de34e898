#include "gentianctl/explain.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>
#include <utility>
#include <vector>

#include "explain/losses.h"

namespace gentianlb::ctl {
namespace {

struct ExplainOptions {
  std::vector<std::string> logs;
  std::string request;
  bool seconds = false;
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

Exit ExplainRequest(const ExplainOptions& options) {
  std::vector<std::pair<absl::Time, std::string>> story;
  const bool read = ReadLogs(
      options.logs, [&](const explain::LogLine& line, const std::string& text) {
        if (line.Text("request") == options.request) {
          story.emplace_back(line.time, text);
        }
      });
  if (!read) return Exit::kInvalid;
  std::stable_sort(
      story.begin(), story.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [time, text] : story) std::cout << text << "\n";
  if (!story.empty()) return Exit::kDone;
  PrintError("text",
             {Code::kUsage, "no line about request " + options.request});
  return Exit::kRefused;
}

Exit Explain(const ExplainOptions& options) {
  if (!options.request.empty()) return ExplainRequest(options);
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
  command->add_flag("--seconds", options->seconds, "Also by second");
  command->callback([=] { *action = [=] { return Explain(*options); }; });
}

}  // namespace gentianlb::ctl
