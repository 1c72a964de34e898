#include "gentianctl/change.h"

#include <memory>

#include "gentianctl/remote.h"
#include "settings/document.h"

namespace gentianlb::ctl {
namespace {

// What any of the commands here takes.
struct ChangeOptions {
  Remote remote;
  std::string file;
  std::string plan;
  std::string who;
  std::string token;
  std::int64_t version = 0;
  unsigned limit = 20;
};

using Options = std::shared_ptr<ChangeOptions>;

void AddWho(CLI::App* command, ChangeOptions* options) {
  command->add_option("--who", options->who, "Your name, kept in the history")
      ->envname("USER");
}

Exit Ask(const ChangeOptions& options, const std::string& method,
         const Json::Value& params) {
  return Show(options.remote.format, Call(options.remote, method, params));
}

Exit Plan(const ChangeOptions& options) {
  auto text = settings::ReadFile(options.file);
  if (!text.ok()) {
    PrintError(options.remote.format, text.error());
    return ExitFor(text.error());
  }
  Json::Value params;
  params["intent"] = text.value();
  params["file"] = options.file;
  params["who"] = options.who;
  return Ask(options, "config.plan", params);
}

Exit Confirm(const ChangeOptions& options) {
  Json::Value params;
  params["plan"] = options.plan;
  params["who"] = options.who;
  params["token"] = options.token;
  return Ask(options, "config.confirm", params);
}

Exit Abandon(const ChangeOptions& options) {
  Json::Value params;
  params["plan"] = options.plan;
  return Ask(options, "config.abandon", params);
}

Exit History(const ChangeOptions& options) {
  Json::Value params;
  params["limit"] = options.limit;
  return Ask(options, "config.history", params);
}

Exit ShowVersion(const ChangeOptions& options) {
  Json::Value params;
  params["version"] = static_cast<Json::Int64>(options.version);
  return Ask(options, "config.show", params);
}

// A subcommand that reaches an entry host and then runs `run`.
CLI::App* AddCommand(CLI::App* app, const char* name, const char* help,
                     const Options& options, Action* action,
                     Exit (*run)(const ChangeOptions&)) {
  CLI::App* command = app->add_subcommand(name, help);
  AddRemote(command, &options->remote);
  command->callback([=] { *action = [=] { return run(*options); }; });
  return command;
}

}  // namespace

void AddPlan(CLI::App* app, Action* action) {
  auto options = std::make_shared<ChangeOptions>();
  CLI::App* command = AddCommand(
      app, "plan", "Say what an intent would change, and at what cost", options,
      action, Plan);
  command->add_option("FILE", options->file, "The intent")->required();
  AddWho(command, options.get());
}

void AddConfirm(CLI::App* app, Action* action) {
  auto options = std::make_shared<ChangeOptions>();
  CLI::App* command =
      AddCommand(app, "confirm",
                 "Put a plan into force; safe to repeat after a lost answer",
                 options, action, Confirm);
  command->add_option("PLAN", options->plan, "Id of the plan")->required();
  command->add_option("--token", options->token,
                      "Names this confirm; by default plan and name together");
  AddWho(command, options.get());
}

void AddAbandon(CLI::App* app, Action* action) {
  auto options = std::make_shared<ChangeOptions>();
  CLI::App* command =
      AddCommand(app, "abandon", "Forget a plan", options, action, Abandon);
  command->add_option("PLAN", options->plan, "Id of the plan")->required();
}

void AddHistory(CLI::App* app, Action* action) {
  auto options = std::make_shared<ChangeOptions>();
  CLI::App* command =
      AddCommand(app, "history", "Who confirmed what, when; newest first",
                 options, action, History);
  command->add_option("--limit", options->limit, "Entries at most")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
}

void AddShow(CLI::App* app, Action* action) {
  auto options = std::make_shared<ChangeOptions>();
  CLI::App* command = AddCommand(app, "show", "Print a version, without tokens",
                                 options, action, ShowVersion);
  command
      ->add_option("VERSION", options->version,
                   "The version; without it, the one in force")
      ->check(CLI::NonNegativeNumber);
}

}  // namespace gentianlb::ctl
