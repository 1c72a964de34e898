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
    absl::Duration wait;
  };

  TablePort Port() {
    TablePort port;
    port.read = [this](const std::string&, const std::string& from,
                       TableDone done) {
      calls.push_back({from, 0, false, std::move(done)});
    };
    port.follow = [this](const std::string&, std::uint64_t since,
                         absl::Duration wait, TableDone done) {
      calls.push_back({"", since, true, std::move(done), wait});
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

TablePage Change(const std::string& key, std::uint64_t version) {
  TablePage page = Page({key}, version);
  page.rows[0].version = version;
  return page;
}

// A zone was cut off, so the host lost its call; the next one is taken in by a
// service that has meanwhile fallen silent, and never answered. Callers of this
// host would be served by an old configuration for half a minute. The call
// after a loss therefore waits for a second only.
BOOST_FIXTURE_TEST_CASE(AfterALossTheServiceIsAskedWithAShortWait, Fixture) {
  table.Next().done(Page({"a"}, 10));
  BOOST_TEST(table.Next().wait == absl::Seconds(29));
  // The first call is lost with its connection.
  Fixture again;
  again.table.Next().done(Page({"a"}, 10));
  again.table.Next().done(TableFailure::kUnavailable);
  again.Pass(absl::Seconds(1));
  FakeTable::Call doubtful = again.table.Next();
  BOOST_TEST(doubtful.wait == absl::Seconds(1));
  // The adapter gives it up, and so on until there is an answer.
  doubtful.done(TableFailure::kUnavailable);
  again.Pass(absl::Seconds(1));
  FakeTable::Call next = again.table.Next();
  BOOST_TEST(next.wait == absl::Seconds(1));
  next.done(Page({}, 12));
  again.Pass(absl::Milliseconds(300));
  BOOST_TEST(again.table.Next().wait == absl::Seconds(29));
}

// The service fell silent while a call waited there, and the connection stayed
// well: neither an error nor an answer comes. Another host has heard of a
// change. Without asking anew this one would serve by the old configuration
// until its call ends, and callers get answers that were withdrawn.
BOOST_FIXTURE_TEST_CASE(AChangeThatAnotherHostKnowsOfIsAskedForAnew, Fixture) {
  table.Next().done(Page({"a"}, 10));
  FakeTable::Call silent = table.Next();
  follower.HeardOf({15, 0, 15});
  Pass(absl::Milliseconds(100));
  BOOST_TEST(table.calls.empty());  // Its own answer may be on the way.
  Pass(absl::Milliseconds(100));
  FakeTable::Call anew = table.Next();
  BOOST_TEST(anew.since == 10u);
  BOOST_TEST(anew.wait == absl::Seconds(1));
  anew.done(Change("b", 15));
  BOOST_TEST((got == Strings{"whole a", "change b"}));
  BOOST_TEST(follower.newest_change() == 15u);
  // The forgotten call's answer changes nothing any more.
  silent.done(Change("c", 16));
  BOOST_TEST(got.size() == 2u);
  Pass(absl::Milliseconds(300));
  BOOST_TEST(table.Next().wait == absl::Seconds(29));
}

// What all others know too is no reason for a call: each of hundreds of hosts
// would make one for each change.
BOOST_FIXTURE_TEST_CASE(AChangeThatArrivesBySelfCostsNoFurtherCall, Fixture) {
  table.Next().done(Page({"a"}, 10));
  FakeTable::Call follow = table.Next();
  follower.HeardOf({15, 0, 15});
  Pass(absl::Milliseconds(50));
  follow.done(Change("b", 15));
  Pass(absl::Seconds(1));
  BOOST_TEST(table.calls.size() == 1u);  // The next that waits.
  follower.HeardOf({15, 0, 15});
  follower.HeardOf({9, 0, 9});
  Pass(absl::Seconds(1));
  BOOST_TEST(table.calls.size() == 1u);
}

// All hosts' calls were swallowed at once, so that none hears of a change from
// another. One of them watches with short waits; it notices, and the others
// hear it from that one.
BOOST_FIXTURE_TEST_CASE(TheHostThatWatchesAsksWithShortWaits, Fixture) {
  table.Next().done(Page({"a"}, 10));
  table.Next();  // Waits for 29 s.
  follower.SetWatching(true);
  FakeTable::Call watching = table.Next();
  BOOST_TEST(watching.wait == absl::Seconds(1));
  watching.done(TableFailure::kUnavailable);  // Swallowed; given up.
  Pass(absl::Milliseconds(100));
  table.Next().done(Change("b", 20));
  BOOST_TEST(follower.newest_change() == 20u);
  Pass(absl::Milliseconds(300));
  BOOST_TEST(table.Next().wait == absl::Seconds(1));
  // The call that another host takes over from is not made again.
  follower.SetWatching(false);
  BOOST_TEST(table.calls.empty());
}

TablePage Changed(std::string key, std::uint64_t version) {
  TablePage page;
  page.rows.push_back({std::move(key), "v", false, version});
  page.version = version;
  return page;
}

struct ToldFixture : Fixture {
  ToldFixture() {
    follower.SetFollowing(Following::kWhenTold, absl::Seconds(10));
    table.Next().done(Page({"a"}, 10));
    got.clear();
  }
};

// Hundreds of hosts learn of each change from the one of their zone that
// follows, at no call of their own.
BOOST_FIXTURE_TEST_CASE(WhatIsHandedOnNeedsNoCall, ToldFixture) {
  follower.HeardOf({12, 0, 12});
  follower.TakeHandedOn(10, Changed("b", 12));
  Pass(absl::Minutes(1));
  BOOST_TEST(table.calls.empty());
  BOOST_TEST((got == Strings{"change b"}));
  // Twice on the way, or from two that follow: nothing more comes of it.
  follower.TakeHandedOn(10, Changed("b", 12));
  BOOST_TEST((got == Strings{"change b"}));
}

// What was handed on is lost on the way, while the news of it arrives. The host
// asks for it; callers would be served by an old configuration otherwise.
BOOST_FIXTURE_TEST_CASE(WhatWasLostOnTheWayIsAskedFor, ToldFixture) {
  follower.HeardOf({12, 0, 12});
  BOOST_TEST(table.calls.empty());
  Pass(absl::Milliseconds(201));
  FakeTable::Call call = table.Next();
  BOOST_TEST(call.since == 10u);
  call.done(Changed("b", 12));
  BOOST_TEST((got == Strings{"change b"}));
  Pass(absl::Minutes(1));
  BOOST_TEST(table.calls.empty());
  // The one after it shows that one is missing, without any news.
  follower.TakeHandedOn(13, Changed("d", 14));
  Pass(absl::Seconds(1));
  BOOST_TEST(table.Next().since == 12u);
}

// A host asks for what it missed, and the answer comes later than the next
// change, which was handed on meanwhile. It must not go back.
BOOST_FIXTURE_TEST_CASE(AnOlderAnswerUndoesNothing, ToldFixture) {
  follower.HeardOf({12, 0, 12});
  Pass(absl::Milliseconds(201));
  FakeTable::Call call = table.Next();
  follower.TakeHandedOn(10, Changed("newer", 15));
  call.done(Changed("older", 12));
  BOOST_TEST((got == Strings{"change newer"}));
}

// Nothing changes for longer than the service keeps its history. A host that
// then asked from where it read last would have to read all again.
BOOST_FIXTURE_TEST_CASE(WhoIsToldKeepsItsPlaceInTheHistory, ToldFixture) {
  follower.HeardOf({10, 0, 900});
  follower.HeardOf({901, 0, 901});
  Pass(absl::Seconds(1));
  BOOST_TEST(table.Next().since == 900u);
}

// Guards against servers that left and stay in use: who read the table after
// they had gone knows of no change, and yet not that there was none.
BOOST_FIXTURE_TEST_CASE(WhoReadTheTableLaterCantVouchForRemovals, ToldFixture) {
  follower.HeardOf({/*newest_change=*/8, /*since=*/100, /*version=*/110});
  BOOST_TEST(follower.version() == 10u);
  // The next change shows that something is missing here.
  TablePage handed = Changed("b", 112);
  follower.TakeHandedOn(110, handed);
  Pass(absl::Seconds(1));
  BOOST_TEST(table.Next().since == 10u);
}

// No host that is heard reaches the service any more, but it may serve this
// one. It tries now and then, and follows for the others once it is answered.
BOOST_FIXTURE_TEST_CASE(WhereNobodyReachesTheServiceEachTriesRarely,
                        ToldFixture) {
  follower.SetFollowing(Following::kProbing, absl::Seconds(10));
  int tries = 0;
  for (int i = 0; i < 60; ++i) {
    Pass(absl::Seconds(1));
    if (table.calls.empty()) continue;
    ++tries;
    table.Next().done(TableFailure::kUnavailable);
  }
  BOOST_TEST(tries >= 3);
  BOOST_TEST(tries <= 12);
  Pass(absl::Seconds(15));
  table.Next().done(Changed("b", 12));
  BOOST_TEST(follower.follows());
  Pass(absl::Seconds(1));
  BOOST_TEST(table.Next().since == 12u);
}

// The host that followed for this one falls silent: it follows by itself.
BOOST_FIXTURE_TEST_CASE(AHostThatIsLeftAloneFollows, ToldFixture) {
  follower.SetFollowing(Following::kAlways, absl::Seconds(10));
  Pass(absl::Seconds(1));
  BOOST_TEST(table.Next().since == 10u);
}

// Guards against servers that come back though they left: a read may be of
// before what this host knows.
BOOST_FIXTURE_TEST_CASE(AReadOfBeforeWhatIsKnownIsMadeAgain, Fixture) {
  table.Next().done(Page({"a"}, 10));
  table.Next().done(Changed("b", 14));
  Pass(absl::Milliseconds(300));
  table.Next().done(TableFailure::kHistoryGone);
  Pass(absl::Seconds(1));
  got.clear();
  table.Next().done(Page({"a", "left"}, 12));
  BOOST_TEST(got.empty());
  BOOST_TEST(follower.version() == 14u);
  Pass(absl::Seconds(1));
  table.Next().done(Page({"a", "b"}, 14));
  BOOST_TEST((got == Strings{"whole a b"}));
}

// Guards against configurations that come in quick succession and are together
// too long to be handed on.
BOOST_FIXTURE_TEST_CASE(ARowThatChangedTwiceIsHandedOnOnce, Fixture) {
  TablePage whole = Changed("a", 8);
  whole.version = 10;
  table.Next().done(whole);
  TablePage handed;
  std::uint64_t handed_since = 0;
  follower.HandOnTo([&](std::uint64_t since, const TablePage& page) {
    handed_since = since;
    handed = page;
  });
  TablePage twice = Changed("b", 12);
  twice.rows.push_back({"b", "w", false, 14});
  twice.version = 15;
  table.Next().done(twice);
  BOOST_TEST(handed_since == 10u);
  BOOST_REQUIRE(handed.rows.size() == 1u);
  BOOST_TEST(handed.rows[0].value == "w");
  BOOST_TEST(handed.version == 15u);
}

}  // namespace
}  // namespace gentianlb::gateway
