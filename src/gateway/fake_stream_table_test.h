// Simulates, in virtual time, the table in which hosts record the versions of
// streams: its answers take time, and may be refused or lost.

#ifndef GENTIANLB_GATEWAY_FAKE_STREAM_TABLE_TEST_H_
#define GENTIANLB_GATEWAY_FAKE_STREAM_TABLE_TEST_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "gateway/table_subscriber.h"

namespace gentianlb::gateway {

class FakeStreamTable {
 public:
  static constexpr int kPageRows = 500;
  static constexpr std::size_t kMaxEntries = 100;
  // Of the platform's adapter.
  static constexpr absl::Duration kTimeout = absl::Seconds(2);

  explicit FakeStreamTable(const absl::Time* now) : now_(*now) {}

  void Read(const std::string& from, TableDone done) {
    ++reads;
    if (down) return Later(answer_time, [done] { Fail(done); });
    const bool is_lost = Lost();
    Later(is_lost ? kTimeout : answer_time, [this, from, is_lost, done] {
      if (is_lost) return Fail(done);
      TablePage page;
      page.version = version_;
      page.now_ms = NowMs();
      for (auto row = rows_.lower_bound(from); row != rows_.end(); ++row) {
        page.more = page.rows.size() == kPageRows;
        if (page.more) break;
        page.rows.push_back(row->second);
        read_bytes += row->second.value.size();
      }
      done(page);
    });
  }

  void Transact(const RowChanges& changes, TransactionDone done) {
    ++writes;
    if (down) return Later(answer_time, [done] { done({}); });
    largest_call =
        std::max(largest_call, changes.writes.size() + changes.drops.size());
    for (const auto& [key, value] : changes.writes) {
      written_bytes += value.size();
      largest_row = std::max(largest_row, value.size());
    }
    if (!Lost()) {
      return Later(answer_time, [this, changes, done] {
        Apply(changes);
        done({true, NowMs()});
      });
    }
    // Performed at once, or after the caller has given up, or never.
    const unsigned kind = random_() % 3;
    if (kind == 0) Later(answer_time, [this, changes] { Apply(changes); });
    if (kind == 1) Later(2 * kTimeout, [this, changes] { Apply(changes); });
    Later(kTimeout, [done] { done({}); });
  }

  void Step() {
    for (Call& call : std::exchange(calls_, {})) {
      if (call.due > now_) {
        calls_.push_back(std::move(call));
      } else {
        call.run();
      }
    }
  }

  const std::map<std::string, TableRow>& rows() const { return rows_; }

  absl::Duration answer_time = absl::Milliseconds(5);
  bool down = false;
  unsigned lost_percent = 0;
  int reads = 0;
  int writes = 0;
  std::size_t read_bytes = 0;
  std::size_t written_bytes = 0;
  std::size_t largest_call = 0;
  std::size_t largest_row = 0;

 private:
  struct Call {
    absl::Time due;
    std::function<void()> run;
  };

  static void Fail(const TableDone& done) { done(TableFailure::kUnavailable); }
  std::int64_t NowMs() const { return absl::ToUnixMillis(now_) - 777'000; }
  bool Lost() { return random_() % 100 < lost_percent; }
  void Later(absl::Duration delay, std::function<void()> run) {
    calls_.push_back({now_ + delay, std::move(run)});
  }
  void Apply(const RowChanges& changes) {
    ++version_;
    for (const auto& [key, value] : changes.writes) {
      rows_[key] = {key, value, false, version_};
    }
    for (const std::string& key : changes.drops) rows_.erase(key);
  }

  const absl::Time& now_;
  std::mt19937_64 random_{1};
  std::uint64_t version_ = 1;
  std::map<std::string, TableRow> rows_;
  std::vector<Call> calls_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_FAKE_STREAM_TABLE_TEST_H_
