#include "gentianctl/command.h"

#include <iostream>

namespace gentianlb::ctl {

void AddFormat(CLI::App* command, std::string* format) {
  command->add_option("--format", *format, "Form of the output")
      ->check(CLI::IsMember({"text", "json"}))
      ->capture_default_str();
}

void PrintJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "  ";
  std::cout << Json::writeString(builder, value) << "\n";
}

void PrintError(const std::string& format, const Error& error) {
  const CodeInfo& info = Describe(error.code);
  if (format != "json") {
    std::cerr << static_cast<int>(error.code) << " " << info.name << ": "
              << error.detail << "\n";
    return;
  }
  Json::Value value;
  value["code"] = static_cast<int>(error.code);
  value["title"] = std::string(info.name);
  value["detail"] = error.detail;
  PrintJson(value);
}

}  // namespace gentianlb::ctl
