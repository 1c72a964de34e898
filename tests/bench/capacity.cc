// Measures slopes for docs/CAPACITY.md: each part's cost at several sizes, on
// one machine. All but `http` run on one thread and without sockets.

#include <CLI/CLI.hpp>
#include <cstdio>
#include <iterator>
#include <string>
#include <vector>

#include "config/codec.h"
#include "costs.h"

namespace gentianlb::bench {
namespace {

struct Part {
  const char* name;
  Table (*measure)(bool quick);
};

constexpr Part kParts[] = {
    {"membership", MeasureMembership},
    {"dispatcher", MeasureDispatcher},
    {"link", MeasureLink},
    {"claims", MeasureClaims},
    {"grouping", MeasureGrouping},
    {"configuration", MeasureConfiguration},
    {"host-list", MeasureHostList},
    {"http", MeasureHttp},
    {"timeline", MeasureTimeline},
};

void Run(const std::string& only, bool quick, bool json) {
  Json::Value all(Json::arrayValue);
  for (const Part& part : kParts) {
    if (!only.empty() && only != part.name) continue;
    Table table = part.measure(quick);
    if (json) {
      all.append(ToJson(table));
      continue;
    }
    std::puts(ToText(table).c_str());
    std::fflush(stdout);
  }
  if (json) std::puts(config::WriteJson(all).c_str());
}

}  // namespace
}  // namespace gentianlb::bench

int main(int argc, char** argv) {
  CLI::App app("Measures what each part costs at several sizes");
  std::string only;
  std::string format = "text";
  bool quick = false;
  std::vector<std::string> names;
  names.reserve(std::size(gentianlb::bench::kParts));
  for (const auto& part : gentianlb::bench::kParts) names.push_back(part.name);
  app.add_option("--only", only, "Measure this part alone")
      ->check(CLI::IsMember(names));
  app.add_option("--format", format)->check(CLI::IsMember({"text", "json"}));
  app.add_flag("--quick", quick, "Leave the largest sizes out");
  CLI11_PARSE(app, argc, argv);
  gentianlb::bench::Run(only, quick, format == "json");
  return 0;
}
