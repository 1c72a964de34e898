// The platform's list of hosts, as docs/PROTOCOLS.md has it: every entry host
// reads the whole of it every two seconds.

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "config/codec.h"
#include "costs.h"
#include "meter.h"
#include "store/wire.h"

namespace gentianlb::bench {
namespace {

constexpr int kRounds = 20;
constexpr double kPeriodSeconds = 2;

std::string ListOf(int entry_hosts, int servers) {
  Json::Value list;
  for (int i = 0; i < entry_hosts + servers; ++i) {
    bool entry = i < entry_hosts;
    Json::Value host;
    host["id"] = absl::StrFormat("%s-%04d", entry ? "entry" : "server", i);
    host["kind"] = entry ? "entry" : "server";
    host["zone"] = absl::StrCat("zone-", i % 18);
    host["address"] = absl::StrCat("10.30.", i / 250, ".", i % 250, ":8080");
    host["state"] = "live";
    list["hosts"].append(host);
  }
  return config::WriteJson(list);
}

std::vector<double> Measure(int entry_hosts, int servers) {
  std::string text = ListOf(entry_hosts, servers);
  Stopwatch watch;
  bool whole = true;
  watch.Start();
  for (int i = 0; i < kRounds; ++i) {
    auto hosts = Capture([&] { return store::DecodeHosts(text); });
    whole = whole && hosts.ok();
  }
  watch.Stop();
  double read = watch.seconds() / kRounds;
  return {static_cast<double>(entry_hosts),
          static_cast<double>(servers),
          static_cast<double>(text.size()),
          static_cast<double>(text.size()) / kPeriodSeconds,
          whole ? read * 1e3 : -1,
          100 * read / kPeriodSeconds};
}

}  // namespace

Table MeasureHostList(bool /*quick*/) {
  return {"host list",
          {"entry hosts", "servers", "bytes", "bytes/s", "ms decode", "% core"},
          {Measure(8, 50), Measure(50, 150), Measure(350, 1'000)}};
}

}  // namespace gentianlb::bench
