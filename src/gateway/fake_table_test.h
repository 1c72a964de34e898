// A table service in virtual time that fails as a whole, or for some hosts.

#ifndef GENTIANLB_GATEWAY_FAKE_TABLE_TEST_H_
#define GENTIANLB_GATEWAY_FAKE_TABLE_TEST_H_

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway/table_follower.h"

namespace gentianlb::gateway {

// One table with one row. While it is silent, calls that wait or arrive are
// swallowed: their connections stay well, and no answer ever comes. It may be
// silent to some hosts alone, or refuse them.
class FakeTableService {
 public:
  // As the adapter gives up a call about changes, or one that can't be
  // connected.
  static constexpr absl::Duration kMargin = absl::Seconds(1);
  static constexpr absl::Duration kConnect = absl::Milliseconds(500);

  explicit FakeTableService(const absl::Time* now) : now_(*now) {}

  TablePort PortFor(std::size_t host) {
    TablePort port;
    port.read = [this, host](const std::string&, const std::string&,
                             TableDone done) {
      if (refused.contains(host)) return done(TableFailure::kUnavailable);
      done(PageOf(/*since=*/0));
    };
    port.follow = [this, host](const std::string&, std::uint64_t since,
                               absl::Duration wait, TableDone done) {
      ++calls;
      calls_.push_back({host, since, now_ + wait, now_ + wait + kMargin, silent,
                        std::move(done)});
      if (cut == host) calls_.back().given_up = now_ + kConnect;
      if (cut == host) calls_.back().swallowed = true;
      if (silent_to_.contains(host)) calls_.back().swallowed = true;
    };
    return port;
  }

  void Change() { ++version_; }

  void SetSilent(bool on) {
    silent = on;
    for (Call& call : calls_) call.swallowed |= on;
  }

  // The host's connections are cut; an open call ends with an error soon.
  void Cut(std::size_t host) {
    cut = host;
    for (Call& call : calls_) {
      if (call.host != host) continue;
      call.swallowed = true;
      call.given_up = now_ + kConnect;
    }
  }

  // Takes in the calls of these hosts, those that wait too, and says nothing.
  void BeSilentTo(std::set<std::size_t> hosts) {
    silent_to_ = std::move(hosts);
    for (Call& call : calls_) {
      call.swallowed |= silent_to_.contains(call.host);
    }
  }

  void Step() {
    std::vector<Call> open = std::move(calls_);
    calls_.clear();
    for (Call& call : open) {
      const bool turned_away = refused.contains(call.host);
      const bool news = version_ > call.since || now_ >= call.wait_ends;
      if (!turned_away && !call.swallowed && news) {
        call.done(PageOf(call.since));
      } else if (turned_away || now_ >= call.given_up) {
        call.done(TableFailure::kUnavailable);
      } else {
        calls_.push_back(std::move(call));
      }
    }
  }

  std::uint64_t version() const { return version_; }

  bool silent = false;
  std::size_t cut = static_cast<std::size_t>(-1);
  std::set<std::size_t> refused;  // Hosts whose calls end at once.
  int calls = 0;

 private:
  struct Call {
    std::size_t host;
    std::uint64_t since;
    absl::Time wait_ends;
    absl::Time given_up;
    bool swallowed;
    TableDone done;
  };

  TablePage PageOf(std::uint64_t since) const {
    TablePage page;
    page.version = version_;
    if (version_ > since) page.rows = {{"row", "v", false, version_}};
    return page;
  }

  const absl::Time& now_;
  std::uint64_t version_ = 10;
  std::vector<Call> calls_;
  std::set<std::size_t> silent_to_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_FAKE_TABLE_TEST_H_
