// Prints what grouping of claims costs and saves: commits a second and the wait
// that a claim adds, for several places that could do the grouping. Runs the
// platform client's own grouping and rate share on a virtual clock.

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "store/rate_share.h"
#include "store/transaction_group.h"

namespace gentianlb::store {
namespace {

constexpr double kServiceWrites = 300;  // A second, for all together.
constexpr double kSeconds = 60;
constexpr absl::Duration kStep = absl::Microseconds(500);

struct Setting {
  const char* name;
  double requests_per_second;  // Keyed, of all together.
  int groupers;
};

struct Measured {
  double commits_per_second = 0;
  double rows_per_commit = 0;
  double median_ms = 0;
  double p95_ms = 0;
};

// One of `groupers` alike; what it commits counts that many times.
Measured Run(const Setting& setting) {
  std::mt19937_64 random(7);
  double rate = setting.requests_per_second / setting.groupers;
  std::exponential_distribution<double> gap(rate);
  TransactionGroup group(GroupOptions{});
  RateShare share(kServiceWrites, absl::Seconds(1));
  share.SetHosts(setting.groupers);
  std::vector<double> waits;
  double commits = 0;
  double next = gap(random);
  MemberId id = 0;
  absl::Time start = absl::UnixEpoch();
  absl::Time end = start + absl::Seconds(kSeconds);
  for (absl::Time now = start; now < end; now += kStep) {
    while (start + absl::Seconds(next) <= now) {
      std::string key = std::to_string(++id);
      group.Add(id, {"", {{key, 0}}, {{key, ""}}}, start + absl::Seconds(next));
      next += gap(random);
    }
    if (group.NextDue() > now || !share.TryTake(now)) continue;
    ++commits;
    Batch batch = *group.TakeBatch(now);
    for (const GroupMember& member : batch.members) {
      waits.push_back(absl::ToDoubleMilliseconds(now - member.added));
    }
  }
  std::sort(waits.begin(), waits.end());
  if (waits.empty()) return {};
  Measured measured;
  measured.commits_per_second = commits / kSeconds * setting.groupers;
  measured.rows_per_commit = static_cast<double>(waits.size()) / commits;
  measured.median_ms = waits[waits.size() / 2];
  measured.p95_ms = waits[waits.size() * 95 / 100];
  return measured;
}

void Print(const Setting& setting) {
  Measured m = Run(setting);
  std::printf("| %s | %.0f | %d | %.0f | %.1f | %.1f | %.1f |\n", setting.name,
              setting.requests_per_second, setting.groupers,
              m.commits_per_second, m.rows_per_commit, m.median_ms, m.p95_ms);
}

}  // namespace
}  // namespace gentianlb::store

int main() {
  std::puts(
      "| grouped by | keyed requests/s | groupers | commits/s | rows/commit | "
      "median wait ms | 95 % wait ms |");
  std::puts("| --- | --- | --- | --- | --- | --- | --- |");
  using gentianlb::store::Print;
  Print({"entry host (today)", 20, 8});
  Print({"entry host (today, burst)", 400, 8});
  Print({"entry host", 10000, 350});
  Print({"dispatcher of service and zone", 10000, 72});
  Print({"one host of each zone", 10000, 18});
  return 0;
}
