#include "gentianctl/check.h"

#include <iostream>
#include <map>
#include <memory>
#include <vector>

#include "config/check_file.h"

namespace gentianlb::ctl {
namespace {

using config::FileKind;
using config::FileReport;

struct CheckOptions {
  std::vector<std::string> files;
  std::string kind = "detect";
  std::string format = "text";
};

Json::Value ToJson(const FileReport& report) {
  Json::Value value;
  value["file"] = report.file;
  value["kind"] = std::string(KindName(report.kind));
  value["problems"] = Json::Value(Json::arrayValue);
  for (const settings::Problem& problem : report.problems) {
    Json::Value line;
    line["line"] = problem.line;
    line["code"] = static_cast<int>(problem.code);
    line["name"] = std::string(Describe(problem.code).name);
    line["text"] = problem.text;
    value["problems"].append(std::move(line));
  }
  return value;
}

void PrintText(const std::vector<FileReport>& reports) {
  for (const FileReport& report : reports) {
    std::cout << settings::Format(report.problems);
    if (!report.problems.empty()) continue;
    std::cout << report.file << ": " << KindName(report.kind) << " is good\n";
  }
}

Exit Check(const CheckOptions& options) {
  static const std::map<std::string, FileKind> kinds = {
      {"detect", FileKind::kDetect},
      {"settings", FileKind::kSettings},
      {"intent", FileKind::kIntent}};
  std::vector<FileReport> reports;
  bool good = true;
  for (const std::string& file : options.files) {
    reports.push_back(config::CheckFile(file, kinds.at(options.kind)));
    good = good && reports.back().problems.empty();
  }
  if (options.format == "json") {
    Json::Value all(Json::arrayValue);
    for (const FileReport& report : reports) all.append(ToJson(report));
    PrintJson(all);
  } else {
    PrintText(reports);
  }
  return good ? Exit::kDone : Exit::kInvalid;
}

}  // namespace

void AddCheck(CLI::App* app, Action* action) {
  auto options = std::make_shared<CheckOptions>();
  CLI::App* command =
      app->add_subcommand("check", "Check settings and intents as a whole");
  command->add_option("FILE", options->files, "Files to check")->required();
  command->add_option("--kind", options->kind, "What the files hold")
      ->check(CLI::IsMember({"detect", "settings", "intent"}))
      ->capture_default_str();
  AddFormat(command, &options->format);
  command->callback([=] { *action = [=] { return Check(*options); }; });
}

}  // namespace gentianlb::ctl
