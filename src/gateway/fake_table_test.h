// Simulates, in virtual time, a table service that fails for all or some hosts.

#ifndef GENTIANLB_GATEWAY_FAKE_TABLE_TEST_H_
#define GENTIANLB_GATEWAY_FAKE_TABLE_TEST_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway/table_subscriber.h"

namespace gentianlb::gateway {

// Serves one table, at first with one row. While it is unresponsive, waiting
// and new calls are never answered, and their connections stay open. It may be
// unresponsive to some hosts only, or refuse their calls.
class FakeTableService {
 public:
  // Timeouts of the platform's adapter: for the answer after a call's wait, and
  // for a connection.
  static constexpr absl::Duration kAnswerMargin = absl::Seconds(1);
  static constexpr absl::Duration kConnectTimeout = absl::Milliseconds(500);

  explicit FakeTableService(const absl::Time* now) : now_(*now) {}

  TablePort PortFor(std::size_t host) {
    TablePort port;
    port.read = [this, host](const std::string&, const std::string&,
                             TableDone done) {
      if (refused.contains(host)) return done(TableFailure::kUnavailable);
      done(PageOf(/*since=*/0));
    };
    port.poll_changes = [this, host](const std::string&, std::uint64_t since,
                                     absl::Duration wait, TableDone done) {
      ++call_count;
      calls_.push_back({host, since, now_ + wait, now_ + wait + kAnswerMargin,
                        unresponsive, std::move(done)});
      if (cut == host) calls_.back().fails_at = now_ + kConnectTimeout;
      if (cut == host) calls_.back().unanswered = true;
      if (unresponsive_to_.contains(host)) calls_.back().unanswered = true;
    };
    return port;
  }

  // Changes the first row.
  void Change() { Put(kFirstRow); }
  void Put(const std::string& key) { rows_[key] = {++version_, false}; }
  void Remove(const std::string& key) { rows_[key] = {++version_, true}; }

  void SetUnresponsive(bool on) {
    unresponsive = on;
    for (Call& call : calls_) call.unanswered |= on;
  }

  // Cuts a host off from the service and its peers. Its open call fails after
  // kConnectTimeout.
  void Cut(std::size_t host) {
    cut = host;
    for (Call& call : calls_) {
      if (call.host != host) continue;
      call.unanswered = true;
      call.fails_at = now_ + kConnectTimeout;
    }
  }

  // Accepts the calls of these hosts and never answers them, nor those that
  // already wait.
  void SetUnresponsiveTo(std::set<std::size_t> hosts) {
    unresponsive_to_ = std::move(hosts);
    for (Call& call : calls_) {
      call.unanswered |= unresponsive_to_.contains(call.host);
    }
  }

  void Step() {
    std::vector<Call> pending = std::move(calls_);
    calls_.clear();
    for (Call& call : pending) {
      const bool is_refused = refused.contains(call.host);
      const bool has_changes = version_ > call.since || now_ >= call.wait_ends;
      if (!is_refused && !call.unanswered && has_changes) {
        call.done(PageOf(call.since));
      } else if (is_refused || now_ >= call.fails_at) {
        call.done(TableFailure::kUnavailable);
      } else {
        calls_.push_back(std::move(call));
      }
    }
  }

  std::uint64_t version() const { return version_; }

  bool unresponsive = false;
  std::size_t cut = static_cast<std::size_t>(-1);  // Host that is cut off.
  std::set<std::size_t> refused;  // Hosts whose calls fail at once.
  int call_count = 0;

 private:
  static constexpr char kFirstRow[] = "row";

  struct Row {
    std::uint64_t version = 0;
    bool removed = false;
  };
  struct Call {
    std::size_t host;
    std::uint64_t since;
    absl::Time wait_ends;
    absl::Time fails_at;
    bool unanswered;
    TableDone done;
  };

  TablePage PageOf(std::uint64_t since) const {
    TablePage page;
    page.version = version_;
    for (const auto& [key, row] : rows_) {
      if (row.version <= since || (since == 0 && row.removed)) continue;
      page.rows.push_back({key, "v", row.removed, row.version});
    }
    return page;
  }

  const absl::Time& now_;
  std::uint64_t version_ = 10;
  std::map<std::string, Row> rows_{{kFirstRow, {version_, false}}};
  std::vector<Call> calls_;
  std::set<std::size_t> unresponsive_to_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_FAKE_TABLE_TEST_H_
