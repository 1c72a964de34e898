// What the subcommands of gentianctl share: exit codes and output forms.

#ifndef GENTIANLB_GENTIANCTL_COMMAND_H_
#define GENTIANLB_GENTIANCTL_COMMAND_H_

#include <json/json.h>

#include <CLI/CLI.hpp>
#include <functional>
#include <string>

#include "base/result.h"

namespace gentianlb::ctl {

// docs/RESULT_CODES.md lists them.
enum class Exit : int {
  kDone = 0,
  kRefused = 1,
  kInvalid = 2,
  kUnreachable = 3,
};

// Every subcommand sets this to what main() has to run.
using Action = std::function<Exit()>;

// Adds `--format text|json` to `command`.
void AddFormat(CLI::App* command, std::string* format);

// Prints in the JSON form, indented.
void PrintJson(const Json::Value& value);

// Prints an error to the standard error output in the form that `format` names.
void PrintError(const std::string& format, const Error& error);

}  // namespace gentianlb::ctl

#endif  // GENTIANLB_GENTIANCTL_COMMAND_H_
