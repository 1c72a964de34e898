#include <boost/test/unit_test.hpp>

#include "store/call_gate.h"
#include "store/fallback_table.h"
#include "store/transaction_group.h"

namespace gentianlb::store {
namespace {

absl::Time At(double seconds) {
  return absl::UnixEpoch() + absl::Seconds(seconds);
}

Transaction Insert(const std::string& key) {
  return {"", {{key, 0}}, {{key, "value"}}};
}

// The platform has an outage. Callers that wait for each timeout would fail
// seconds late. The open breaker must reject calls at once and admit one probe
// a second to detect the recovery.
BOOST_AUTO_TEST_CASE(BreakerRejectsDuringOutageAndDetectsRecovery) {
  CallGate gate(GateOptions{});
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST((gate.TryStart(CallKind::kRead, At(i)) == GateState::kOpen));
    gate.OnAnswer(AnswerKind::kLost, 0, At(i), 0.5);
  }
  BOOST_TEST(!gate.up());
  BOOST_TEST((gate.TryStart(CallKind::kRead, At(4.5)) == GateState::kDown));
  BOOST_TEST((gate.TryStart(CallKind::kRead, At(5)) == GateState::kOpen));
  BOOST_TEST((gate.TryStart(CallKind::kRead, At(5)) == GateState::kDown));
  gate.OnAnswer(AnswerKind::kAnswered, 0, At(5), 0.5);
  BOOST_TEST(gate.up());
  BOOST_TEST((gate.TryStart(CallKind::kRead, At(5)) == GateState::kOpen));
}

// All hosts restart together and read as fast as they can. Their total rate
// must stay near the service's limit, or all are refused and none becomes
// ready.
BOOST_AUTO_TEST_CASE(AllHostsTogetherStayUnderTheRate) {
  constexpr int kHosts = 8;
  int sent = 0;
  for (int host = 0; host < kHosts; ++host) {
    RateShare share(300, absl::Seconds(1));
    share.SetHosts(kHosts);
    for (int ms = 0; ms < 10000; ++ms) sent += share.TryTake(At(ms / 1000.0));
  }
  BOOST_TEST(sent <= 300 * 10 + kHosts);
  BOOST_TEST(sent >= 300 * 10 - kHosts);
}

// The service fails every call. Three retries per call would quadruple its load
// and keep it down. The retry budget must stop that after a few retries.
BOOST_AUTO_TEST_CASE(RetriesAddAtMostATenthToTheLoad) {
  RetryBudget budget(RetryOptions{});
  int retries = 0;
  for (int call = 0; call < 1000; ++call) {
    budget.OnCall();
    for (int i = 0; i < 3; ++i) retries += budget.Take();
  }
  BOOST_TEST(retries <= 110);
}

BOOST_AUTO_TEST_CASE(RetryDelaysGrowAndAreSpread) {
  RetryOptions options;
  BOOST_TEST((RetryDelay(options, 0, 0.5) == absl::Milliseconds(10)));
  BOOST_TEST((RetryDelay(options, 3, 0.5) == absl::Milliseconds(80)));
  BOOST_TEST((RetryDelay(options, 60, 0.5) == absl::Milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(ABurstBecomesOneTransaction) {
  TransactionGroup group(GroupOptions{});
  for (MemberId id = 1; id <= 50; ++id) {
    group.Add(id, Insert("row" + std::to_string(id)), At(0));
  }
  BOOST_TEST(!group.TakeBatch(At(0.002)).has_value());
  auto batch = group.TakeBatch(At(0.003));
  BOOST_REQUIRE(batch.has_value());
  BOOST_TEST(batch->members.size() == 50u);
  BOOST_TEST(batch->transaction.writes.size() == 50u);
  BOOST_TEST(group.waiting() == 0u);
}

// A caller sends one key twice, and the second claim conflicts with the first
// one's row. The other members of the second claim's batch must not fail with
// it.
BOOST_AUTO_TEST_CASE(OneConflictDoesNotFailOtherMembers) {
  TransactionGroup group(GroupOptions{});
  group.Add(1, Insert("a"), At(0));
  group.Add(2, Insert("b"), At(0));
  group.Add(3, Insert("c"), At(0));
  auto finished = group.OnResult(*group.TakeBatch(At(1)),
                                 {CommitState::kConflict, {"b"}, {}});
  BOOST_REQUIRE(finished.size() == 1u);
  BOOST_TEST(finished[0].id == 2u);
  auto again = group.TakeBatch(At(1));
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST(again->members.size() == 2u);
  auto rest = group.OnResult(
      *again, {CommitState::kCommitted, {}, {{"a", "", 1}, {"c", "", 7}}});
  BOOST_REQUIRE(rest.size() == 2u);
  BOOST_TEST(rest[1].result.versions[0].version == 7u);
}

// A delete and a new claim of one row are added together. In one transaction
// they would have no order, and the claim might be deleted.
BOOST_AUTO_TEST_CASE(WritesOfOneRowGoIntoSeparateBatches) {
  TransactionGroup group(GroupOptions{});
  group.Add(1, Insert("a"), At(0));
  group.Add(2, Insert("a"), At(0));
  BOOST_TEST(group.TakeBatch(At(1))->members.size() == 1u);
  BOOST_TEST(group.TakeBatch(At(1))->members.size() == 1u);
}

// Gives every call the same answer and counts the calls.
struct FixedTable {
  CommitState state = CommitState::kCommitted;
  int calls = 0;

  void Commit(const Transaction& /*transaction*/,
              const std::function<void(CommitResult)>& done) {
    ++calls;
    done({state, {}, {}});
  }
  void Read(const std::vector<std::string>& /*keys*/,
            const std::function<void(ReadResult)>& done) {
    ++calls;
    if (state == CommitState::kCommitted) return done(std::vector<Row>());
    done(Error{Code::kPlatformUnavailable, ""});
  }
  void Scan(const std::string& /*prefix*/,
            const std::function<void(ReadResult)>& done) {
    Read({}, done);
  }
};

// A zone has lost the platform, but its peers have not. Calls that certainly
// took no effect go through a peer. A call with a lost answer must not: the
// caller would take a conflict with its own row for another host's claim.
BOOST_AUTO_TEST_CASE(OnlyUnappliedCallsUseTheFallback) {
  for (CommitState state : {CommitState::kCommitted, CommitState::kConflict,
                            CommitState::kNotApplied, CommitState::kUnknown}) {
    FixedTable own{state};
    FixedTable peer;
    FallbackTable<FixedTable, FixedTable> table(&own, &peer);
    CommitState received = CommitState::kUnknown;
    table.Commit(Insert("a"), [&](auto result) { received = result.state; });
    bool relayed = state == CommitState::kNotApplied;
    BOOST_TEST(peer.calls == (relayed ? 1 : 0));
    BOOST_TEST((received == (relayed ? CommitState::kCommitted : state)));
  }
  FixedTable own{CommitState::kNotApplied};
  FixedTable peer;
  FallbackTable<FixedTable, FixedTable> table(&own, &peer);
  bool read = false;
  table.Scan("", [&](const ReadResult& rows) { read = rows.ok(); });
  BOOST_TEST(read);
}

}  // namespace
}  // namespace gentianlb::store
