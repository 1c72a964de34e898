#include "gateway/table_follower.h"

#include <boost/test/unit_test.hpp>
#include <deque>

namespace gentianlb::gateway {
namespace {

// Keeps what was asked until the test answers.
struct FakeTable {
  struct Call {
    std::string from;
    std::uint64_t since = 0;
    bool follows = false;
    TableDone done;
  };

  TablePort Port() {
    TablePort port;
    port.read = [this](const std::string&, const std::string& from,
                       TableDone done) {
      calls.push_back({from, 0, false, std::move(done)});
    };
    port.follow = [this](const std::string&, std::uint64_t since,
                         absl::Duration, TableDone done) {
      calls.push_back({"", since, true, std::move(done)});
    };
    return port;
  }

  Call Next() {
    BOOST_REQUIRE(!calls.empty());
    Call call = std::move(calls.front());
    calls.pop_front();
    return call;
  }

  std::deque<Call> calls;
};

struct Fixture {
  Fixture()
      : follower(
            {.table = "t"}, table.Port(), &timers, [this] { return now; }, 1,
            [this](const std::vector<TableRow>& rows, bool whole, absl::Time) {
              got.push_back(whole ? "whole" : "change");
              for (const TableRow& row : rows) got.back() += " " + row.key;
            },
            [this](bool up, absl::Time) {
              got.push_back(up ? "up" : "down");
            }) {
    follower.Start();
  }

  void Pass(absl::Duration span) {
    now += span;
    timers.Advance(now);
  }

  FakeTable table;
  TimerService timers;
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  std::vector<std::string> got;
  TableFollower follower;
};

TablePage Page(std::vector<std::string> keys, std::uint64_t version,
               bool more = false) {
  TablePage page;
  for (std::string& key : keys) page.rows.push_back({std::move(key), "v"});
  page.version = version;
  page.more = more;
  return page;
}

using Strings = std::vector<std::string>;

BOOST_FIXTURE_TEST_CASE(ReadsAllPagesAndThenFollows, Fixture) {
  table.Next().done(Page({"a", "b"}, 10, true));
  FakeTable::Call second = table.Next();
  BOOST_TEST(second.from == std::string("b\0", 2));
  BOOST_TEST(!follower.complete());
  second.done(Page({"c"}, 14));
  BOOST_TEST((got == Strings{"whole a b c"}));
  // What changed between the pages comes again.
  FakeTable::Call follow = table.Next();
  BOOST_TEST(follow.since == 10u);
  follow.done(Page({"a"}, 15));
  BOOST_TEST((got == Strings{"whole a b c", "change a"}));
  // Not at once: what changes next is likely to come soon.
  BOOST_TEST(table.calls.empty());
  Pass(absl::Milliseconds(300));
  BOOST_TEST(table.Next().since == 15u);
}

// The service goes away while a change is awaited, for longer than one call
// lasts. What is known stays in use, the calls come apart, and the return is
// told once.
BOOST_FIXTURE_TEST_CASE(AnOutageIsRiddenOut, Fixture) {
  table.Next().done(Page({"a"}, 10));
  for (int i = 0; i < 6; ++i) {
    table.Next().done(TableFailure::kUnavailable);
    BOOST_TEST(table.calls.empty());  // Not at once.
    Pass(absl::Seconds(1));
  }
  BOOST_TEST((got == Strings{"whole a", "down"}));
  FakeTable::Call back = table.Next();
  BOOST_TEST(back.since == 10u);
  back.done(Page({"b"}, 20));
  BOOST_TEST((got == Strings{"whole a", "down", "up", "change b"}));
}

// The history since our version was dropped. Changes in it may be lost, so the
// table has to be read again; a host that went on would keep a server that has
// left, or an old configuration, for ever.
BOOST_FIXTURE_TEST_CASE(ALostHistoryMeansReadingAgain, Fixture) {
  table.Next().done(Page({"a"}, 10));
  table.Next().done(TableFailure::kHistoryGone);
  Pass(absl::Seconds(1));
  FakeTable::Call again = table.Next();
  BOOST_TEST(!again.follows);
  again.done(Page({"b"}, 30));
  BOOST_TEST((got == Strings{"whole a", "whole b"}));
  BOOST_TEST(table.Next().since == 30u);
}

BOOST_FIXTURE_TEST_CASE(AnAnswerWithoutChangesAsksOn, Fixture) {
  table.Next().done(Page({}, 10));
  table.Next().done(Page({}, 12));
  BOOST_TEST((got == Strings{"whole"}));
  Pass(absl::Milliseconds(300));
  BOOST_TEST(table.Next().since == 12u);
}

}  // namespace
}  // namespace gentianlb::gateway
