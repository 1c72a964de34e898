#include "gateway/table_subscriber.h"

#include <boost/test/unit_test.hpp>
#include <deque>

namespace gentianlb::gateway {
namespace {

// Holds the calls of the subscriber until the test answers them.
struct FakeTable {
  struct Call {
    std::string from;
    std::uint64_t since = 0;
    bool polls = false;
    TableDone done;
    absl::Duration wait;
  };

  TablePort Port() {
    TablePort port;
    port.read = [this](const std::string&, const std::string& from,
                       TableDone done) {
      calls.push_back({from, 0, false, std::move(done)});
    };
    port.poll_changes = [this](const std::string&, std::uint64_t since,
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
      : subscriber(
            {.table = "t"}, table.Port(), &timers, [this] { return now; }, 1,
            [this](const std::vector<TableRow>& rows, bool whole, absl::Time) {
              events.push_back(whole ? "whole" : "change");
              for (const TableRow& row : rows) events.back() += " " + row.key;
            },
            [this](bool up, absl::Time) {
              events.push_back(up ? "up" : "down");
            }) {
    subscriber.Start();
  }

  void Pass(absl::Duration span) {
    now += span;
    timers.Advance(now);
  }

  FakeTable table;
  TimerService timers;
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  std::vector<std::string> events;
  TableSubscriber subscriber;
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

BOOST_FIXTURE_TEST_CASE(ReadsAllPagesAndThenPollsForChanges, Fixture) {
  table.Next().done(Page({"a", "b"}, 10, true));
  FakeTable::Call second = table.Next();
  BOOST_TEST(second.from == std::string("b\0", 2));
  BOOST_TEST(!subscriber.complete());
  second.done(Page({"c"}, 14));
  BOOST_TEST((events == Strings{"whole a b c"}));
  // Changes between the pages are read again.
  FakeTable::Call poll = table.Next();
  BOOST_TEST(poll.since == 10u);
  poll.done(Page({"a"}, 15));
  BOOST_TEST((events == Strings{"whole a b c", "change a"}));
  // The next call waits, as further changes are likely to follow soon.
  BOOST_TEST(table.calls.empty());
  Pass(absl::Milliseconds(300));
  BOOST_TEST(table.Next().since == 15u);
}

// The service becomes unavailable while a call waits, for longer than one call
// lasts. The copy must stay in use, retries must be delayed, and the recovery
// must be reported once.
BOOST_FIXTURE_TEST_CASE(SurvivesAnOutage, Fixture) {
  table.Next().done(Page({"a"}, 10));
  for (int i = 0; i < 6; ++i) {
    table.Next().done(TableFailure::kUnavailable);
    BOOST_TEST(table.calls.empty());  // The retry is delayed.
    Pass(absl::Seconds(1));
  }
  BOOST_TEST((events == Strings{"whole a", "down"}));
  FakeTable::Call back = table.Next();
  BOOST_TEST(back.since == 10u);
  back.done(Page({"b"}, 20));
  BOOST_TEST((events == Strings{"whole a", "down", "up", "change b"}));
}

// The service has dropped the history since the host's version. Changes may be
// lost, so the host must read the table again; otherwise it keeps a removed
// server or an old configuration for ever.
BOOST_FIXTURE_TEST_CASE(ReadsTheTableAgainWhenTheHistoryIsGone, Fixture) {
  table.Next().done(Page({"a"}, 10));
  table.Next().done(TableFailure::kHistoryGone);
  Pass(absl::Seconds(1));
  FakeTable::Call second = table.Next();
  BOOST_TEST(!second.polls);
  second.done(Page({"b"}, 30));
  BOOST_TEST((events == Strings{"whole a", "whole b"}));
  BOOST_TEST(table.Next().since == 30u);
}

BOOST_FIXTURE_TEST_CASE(PollsAgainAfterAnAnswerWithoutChanges, Fixture) {
  table.Next().done(Page({}, 10));
  table.Next().done(Page({}, 12));
  BOOST_TEST((events == Strings{"whole"}));
  Pass(absl::Milliseconds(300));
  BOOST_TEST(table.Next().since == 12u);
}

TablePage Change(const std::string& key, std::uint64_t version) {
  TablePage page = Page({key}, version);
  page.rows[0].version = version;
  return page;
}

// A host loses its call in a network partition, and the service, unresponsive
// by then, accepts the next call and never answers it. With a long wait, the
// host would serve callers by an old configuration for half a minute. So the
// calls after a loss don't wait, and an answer shows at once that the service
// is back.
BOOST_FIXTURE_TEST_CASE(PollsWithoutAWaitAfterALoss, Fixture) {
  table.Next().done(Page({"a"}, 10));
  BOOST_TEST(table.Next().wait == absl::Seconds(29));
  // The first call is lost with its connection.
  Fixture second;
  second.table.Next().done(Page({"a"}, 10));
  second.table.Next().done(TableFailure::kUnavailable);
  second.Pass(absl::Seconds(1));
  FakeTable::Call short_poll = second.table.Next();
  BOOST_TEST(short_poll.wait == absl::ZeroDuration());
  // The adapter reports a timeout; no call waits until an answer comes.
  short_poll.done(TableFailure::kUnavailable);
  second.Pass(absl::Seconds(1));
  FakeTable::Call next = second.table.Next();
  BOOST_TEST(next.wait == absl::ZeroDuration());
  next.done(Page({}, 12));
  second.Pass(absl::Milliseconds(300));
  BOOST_TEST(second.table.Next().wait == absl::Seconds(29));
}

// The service becomes unresponsive while a call waits and the connection stays
// open, so the call gets neither an error nor an answer. A peer has a change.
// Without a new call this host would serve callers by a withdrawn configuration
// until its call ends.
BOOST_FIXTURE_TEST_CASE(CallsAgainForAChangeThatAPeerHas, Fixture) {
  table.Next().done(Page({"a"}, 10));
  FakeTable::Call unanswered = table.Next();
  subscriber.RecordPeerHistory({15, 0, 15});
  Pass(absl::Milliseconds(100));
  BOOST_TEST(table.calls.empty());  // The waiting call may yet be answered.
  Pass(absl::Milliseconds(100));
  FakeTable::Call repeated = table.Next();
  BOOST_TEST(repeated.since == 10u);
  BOOST_TEST(repeated.wait == absl::Seconds(1));
  repeated.done(Change("b", 15));
  BOOST_TEST((events == Strings{"whole a", "change b"}));
  BOOST_TEST(subscriber.newest_change() == 15u);
  // The answer of the abandoned call is ignored.
  unanswered.done(Change("c", 16));
  BOOST_TEST(events.size() == 2u);
  Pass(absl::Milliseconds(300));
  BOOST_TEST(table.Next().wait == absl::Seconds(29));
}

// Guards against a call for a change that arrives by itself: each of hundreds
// of hosts would make one for each change.
BOOST_FIXTURE_TEST_CASE(AChangeThatArrivesInTimeCostsNoCall, Fixture) {
  table.Next().done(Page({"a"}, 10));
  FakeTable::Call poll = table.Next();
  subscriber.RecordPeerHistory({15, 0, 15});
  Pass(absl::Milliseconds(50));
  poll.done(Change("b", 15));
  Pass(absl::Seconds(1));
  BOOST_TEST(table.calls.size() == 1u);  // The next call for changes.
  subscriber.RecordPeerHistory({15, 0, 15});
  subscriber.RecordPeerHistory({9, 0, 9});
  Pass(absl::Seconds(1));
  BOOST_TEST(table.calls.size() == 1u);
}

// The calls of all hosts stay unanswered at once, so none learns of a change
// from a peer. The monitor detects it by short waits, and its peers receive the
// change from its updates.
BOOST_FIXTURE_TEST_CASE(TheMonitorPollsWithShortWaits, Fixture) {
  table.Next().done(Page({"a"}, 10));
  table.Next();  // Waits for 29 s.
  subscriber.SetMonitoring(true);
  FakeTable::Call monitoring = table.Next();
  BOOST_TEST(monitoring.wait == absl::ZeroDuration());
  monitoring.done(TableFailure::kUnavailable);  // Not answered in time.
  Pass(absl::Milliseconds(100));
  table.Next().done(Change("b", 20));
  BOOST_TEST(subscriber.newest_change() == 20u);
  Pass(absl::Milliseconds(300));
  BOOST_TEST(table.Next().wait == absl::Seconds(1));
  // When another host becomes the monitor, the waiting call is kept.
  subscriber.SetMonitoring(false);
  BOOST_TEST(table.calls.empty());
}

TablePage Changed(std::string key, std::uint64_t version) {
  TablePage page;
  page.rows.push_back({std::move(key), "v", false, version});
  page.version = version;
  return page;
}

struct PassiveFixture : Fixture {
  PassiveFixture() {
    subscriber.SetMode(SubscriptionMode::kPassive, absl::Seconds(10));
    table.Next().done(Page({"a"}, 10));
    events.clear();
  }
};

// Hundreds of hosts receive each change from their zone's aggregator, without a
// call of their own.
BOOST_FIXTURE_TEST_CASE(APropagatedChangeNeedsNoCall, PassiveFixture) {
  subscriber.RecordPeerHistory({12, 0, 12});
  subscriber.ApplyPropagated(10, Changed("b", 12));
  Pass(absl::Minutes(1));
  BOOST_TEST(table.calls.empty());
  BOOST_TEST((events == Strings{"change b"}));
  // A duplicate, or the same change of a second sender, is ignored.
  subscriber.ApplyPropagated(10, Changed("b", 12));
  BOOST_TEST((events == Strings{"change b"}));
}

// The message with a change is lost, while an update that names the change
// arrives. The host must request it from the service, or it serves callers by
// an old configuration.
BOOST_FIXTURE_TEST_CASE(ALostChangeIsRequested, PassiveFixture) {
  subscriber.RecordPeerHistory({12, 0, 12});
  BOOST_TEST(table.calls.empty());
  Pass(absl::Milliseconds(201));
  FakeTable::Call call = table.Next();
  BOOST_TEST(call.since == 10u);
  call.done(Changed("b", 12));
  BOOST_TEST((events == Strings{"change b"}));
  Pass(absl::Minutes(1));
  BOOST_TEST(table.calls.empty());
  // A later change shows that one is missing, without any update.
  subscriber.ApplyPropagated(13, Changed("d", 14));
  Pass(absl::Seconds(1));
  BOOST_TEST(table.Next().since == 12u);
}

// A host requests a change that it missed, and the answer arrives after a newer
// change that was propagated meanwhile. The host must not return to the older.
BOOST_FIXTURE_TEST_CASE(AnOlderAnswerIsIgnored, PassiveFixture) {
  subscriber.RecordPeerHistory({12, 0, 12});
  Pass(absl::Milliseconds(201));
  FakeTable::Call call = table.Next();
  subscriber.ApplyPropagated(10, Changed("newer", 15));
  call.done(Changed("older", 12));
  BOOST_TEST((events == Strings{"change newer"}));
}

// Nothing changes for longer than the service keeps its history. A host whose
// version did not advance would then have to read the whole table again.
BOOST_FIXTURE_TEST_CASE(UpdatesOfPeersAdvanceTheVersion, PassiveFixture) {
  subscriber.RecordPeerHistory({10, 0, 900});
  subscriber.RecordPeerHistory({901, 0, 901});
  Pass(absl::Seconds(1));
  BOOST_TEST(table.Next().since == 900u);
}

// Guards against removed servers that stay in use. A peer that read the table
// after the removal has seen no change, but can't vouch that there was none.
BOOST_FIXTURE_TEST_CASE(APeerThatReadLaterCantVouchForRemovals,
                        PassiveFixture) {
  subscriber.RecordPeerHistory(
      {/*newest_change=*/8, /*since=*/100, /*version=*/110});
  BOOST_TEST(subscriber.version() == 10u);
  // The next change shows that something is missing here.
  TablePage propagated = Changed("b", 112);
  subscriber.ApplyPropagated(110, propagated);
  Pass(absl::Seconds(1));
  BOOST_TEST(table.Next().since == 10u);
}

// No live peer reaches the service, which may still answer this host. The host
// must probe it at long intervals, and poll for its peers once it is answered.
BOOST_FIXTURE_TEST_CASE(ProbesRarelyWhenNoPeerReachesTheService,
                        PassiveFixture) {
  subscriber.SetMode(SubscriptionMode::kProbing, absl::Seconds(10));
  int probes = 0;
  for (int i = 0; i < 60; ++i) {
    Pass(absl::Seconds(1));
    if (table.calls.empty()) continue;
    ++probes;
    table.Next().done(TableFailure::kUnavailable);
  }
  BOOST_TEST(probes >= 3);
  BOOST_TEST(probes <= 12);
  Pass(absl::Seconds(15));
  table.Next().done(Changed("b", 12));
  BOOST_TEST(subscriber.subscribed());
  Pass(absl::Seconds(1));
  BOOST_TEST(table.Next().since == 12u);
}

// The host that propagated changes becomes unresponsive, so this one polls.
BOOST_FIXTURE_TEST_CASE(AnIsolatedHostPolls, PassiveFixture) {
  subscriber.SetMode(SubscriptionMode::kAlways, absl::Seconds(10));
  Pass(absl::Seconds(1));
  BOOST_TEST(table.Next().since == 10u);
}

// Guards against removed servers that reappear because a read returns a version
// older than the copy.
BOOST_FIXTURE_TEST_CASE(AReadOlderThanTheCopyIsRepeated, Fixture) {
  table.Next().done(Page({"a"}, 10));
  table.Next().done(Changed("b", 14));
  Pass(absl::Milliseconds(300));
  table.Next().done(TableFailure::kHistoryGone);
  Pass(absl::Seconds(1));
  events.clear();
  table.Next().done(Page({"a", "left"}, 12));
  BOOST_TEST(events.empty());
  BOOST_TEST(subscriber.version() == 14u);
  Pass(absl::Seconds(1));
  table.Next().done(Page({"a", "b"}, 14));
  BOOST_TEST((events == Strings{"whole a b"}));
}

// Guards against configurations in quick succession that are together too long
// for a message.
BOOST_FIXTURE_TEST_CASE(ARowThatChangedTwiceIsPropagatedOnce, Fixture) {
  TablePage whole = Changed("a", 8);
  whole.version = 10;
  table.Next().done(whole);
  TablePage propagated;
  std::uint64_t propagated_since = 0;
  subscriber.SetOnChanges([&](std::uint64_t since, const TablePage& page) {
    propagated_since = since;
    propagated = page;
  });
  TablePage twice = Changed("b", 12);
  twice.rows.push_back({"b", "w", false, 14});
  twice.version = 15;
  table.Next().done(twice);
  BOOST_TEST(propagated_since == 10u);
  BOOST_REQUIRE(propagated.rows.size() == 1u);
  BOOST_TEST(propagated.rows[0].value == "w");
  BOOST_TEST(propagated.version == 15u);
}

}  // namespace
}  // namespace gentianlb::gateway
