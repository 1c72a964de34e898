#include <string>

#include "absl/strings/str_cat.h"
#include "config/codec.h"
#include "costs.h"
#include "meter.h"
#include "timeline/json.h"
#include "timeline/recorder.h"

namespace gentianlb::bench {
namespace {

std::vector<double> Measure(int capacity) {
  constexpr int kRounds = 5;
  std::int64_t before = HeapBytes();
  timeline::Recorder recorder(EntryHostId("entry-1000"), 1'790'000'000'000'000,
                              capacity);
  Stopwatch watch;
  watch.Start();
  for (int i = 0; i < kRounds * capacity; ++i) {
    recorder.Record(timeline::EventKind::kRequestGranted,
                    absl::StrCat("entry-1000-1790000000000000-", i),
                    "server=server-0123 tier=1");
  }
  watch.Stop();
  double heap = static_cast<double>(HeapBytes() - before) / capacity;
  timeline::Event event = recorder.Events().back();
  std::string text = config::WriteJson(timeline::ToJson(event));
  return {static_cast<double>(capacity),
          watch.seconds() * 1e9 / kRounds / capacity, heap,
          static_cast<double>(text.size())};
}

}  // namespace

Table MeasureTimeline(bool quick) {
  Table table{"timeline",
              {"events kept", "ns/event", "heap bytes/event", "JSON bytes"},
              {}};
  table.rows.push_back(Measure(1'000));
  table.rows.push_back(Measure(10'000));
  if (!quick) table.rows.push_back(Measure(100'000));
  return table;
}

}  // namespace gentianlb::bench
