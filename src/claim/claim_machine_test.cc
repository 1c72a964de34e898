#include "claim/claim_machine.h"

#include <boost/test/unit_test.hpp>

#include "claim/claim_table.h"

namespace gentianlb::claim {
namespace {

absl::Time At(int seconds) {
  return absl::FromUnixSeconds(1'000'000 + seconds);
}

// Drives one machine; the tests supply the table's answers.
class Driver {
 public:
  Driver() : machine_({.self = EntryHostId("b"), .incarnation = 1}, At(0)) {}

  // Returns the last event's actions of type T.
  template <typename T>
  std::vector<T> ActionsOf() const {
    std::vector<T> found;
    for (const Action& action : actions_) {
      if (const T* match = std::get_if<T>(&action)) found.push_back(*match);
    }
    return found;
  }

  void Handle(const Event& event, absl::Time now) {
    actions_.clear();
    machine_.Handle(event, now, &actions_);
  }
  PeerAnswer Query(const std::string& requester, Incarnation incarnation,
                   absl::Time now) {
    return machine_.HandleQuery(
        {ClaimKey("key"), EntryHostId(requester), incarnation, "", false}, now,
        &actions_);
  }
  void Scan(const std::vector<LeaseRow>& leases, absl::Time now) {
    std::vector<store::Row> rows;
    rows.reserve(leases.size());
    for (const LeaseRow& lease : leases) {
      rows.push_back({LeaseKey(lease.host), Encode(lease), 1});
    }
    Handle(ReadAnswered{ActionsOf<ScanCall>().at(0).call, rows}, now);
  }
  void CommitLast(absl::Time now) {
    CommitCall call = ActionsOf<CommitCall>().at(0);
    std::string key = call.transaction.writes[0].key;
    Handle(CommitAnswered{call.call,
                          {store::CommitState::kCommitted, {}, {{key, "", 1}}}},
           now);
  }
  void Open(int attempt, absl::Time now) {
    Handle(ClaimOpened{1, {.key = ClaimKey("key"), .attempt = attempt}}, now);
  }

 private:
  ClaimMachine machine_;
  std::vector<Action> actions_;
};

LeaseRow Lease(const std::string& host, absl::Time since, absl::Time until) {
  LeaseRow lease;
  lease.host = EntryHostId(host);
  lease.incarnation = 1;
  lease.since = since;
  lease.until = until;
  return lease;
}

// Guards against a key that runs twice. Host a ran the key while it had lost
// the table, and writes its row just after host b wrote a row for a re-send.
// When b scans the leases, a's lease is current again. It began after b's row,
// so b must still query a.
BOOST_AUTO_TEST_CASE(LeaseStartedAfterRowDoesNotCoverIt) {
  for (bool earlier : {false, true}) {
    Driver host;
    host.Handle(TimePassed{}, At(0));
    host.Scan({Lease("a", At(-60), At(10))}, At(0));
    host.CommitLast(At(0));
    host.Open(2, At(20));
    host.CommitLast(At(20));
    absl::Time since = earlier ? At(-60) : At(25);
    host.Scan({Lease("a", since, At(40)), Lease("b", At(0), At(15))}, At(28));
    BOOST_TEST(host.ActionsOf<QueryCall>().size() == (earlier ? 0u : 1u));
    BOOST_TEST(host.ActionsOf<VerdictGiven>().size() == (earlier ? 1u : 0u));
  }
}

// Two hosts without the table query this one about the same key, and one of
// them runs it. A re-send that arrives here must query both.
BOOST_AUTO_TEST_CASE(EveryRequesterIsRemembered) {
  Driver host;
  host.Handle(TimePassed{}, At(0));
  host.Scan({}, At(0));
  host.CommitLast(At(0));
  BOOST_TEST((host.Query("a", 1, At(1)).state == PeerState::kNotHeld));
  BOOST_TEST((host.Query("c", 1, At(1)).state == PeerState::kNotHeld));
  host.Open(0, At(2));
  host.CommitLast(At(2));
  BOOST_TEST(host.ActionsOf<QueryCall>().size() == 2u);
  BOOST_TEST(host.ActionsOf<VerdictGiven>().empty());
}

// The table refuses the claim of a non-idempotent request. The caller must get
// at once a refusal that says not run, with a retry-after time.
BOOST_AUTO_TEST_CASE(ANonIdempotentCallWithoutTheTableIsRefusedAtOnce) {
  Driver host;
  host.Handle(ClaimOpened{1, {.key = ClaimKey("key"), .idempotent = false}},
              At(0));
  CallId call = host.ActionsOf<CommitCall>().at(0).call;
  host.Handle(CommitAnswered{call, {store::CommitState::kNotApplied, {}, {}}},
              At(0));
  auto verdicts = host.ActionsOf<VerdictGiven>();
  BOOST_REQUIRE(verdicts.size() == 1u);
  const auto& refusal = std::get<Refuse>(verdicts[0].verdict);
  BOOST_TEST((refusal.error.code == Code::kClaimStoreDown));
  BOOST_TEST((refusal.retry_after > absl::ZeroDuration()));
}

BOOST_AUTO_TEST_CASE(DigestsOfDifferentKeysAndBodiesDiffer) {
  ClaimKey key = DigestKey(WorkspaceId("w"), IdempotencyKey("k"));
  BOOST_TEST(key.str().size() == 32u);
  BOOST_TEST(key != DigestKey(WorkspaceId("wk"), IdempotencyKey("")));
  BOOST_TEST(DigestBody("POST /a", "b") != DigestBody("POST /ab", ""));
  auto time = TimeOfKey(IdempotencyKey("017F22E2-79B0-7CC3-98C4-DC0C0C07398F"));
  BOOST_REQUIRE(time.has_value());
  BOOST_TEST(absl::ToUnixMillis(*time) == 1645557742000);
  BOOST_TEST(!TimeOfKey(IdempotencyKey("order-7")).has_value());
}

BOOST_AUTO_TEST_CASE(RowsRoundTripThroughText) {
  ClaimRow row{EntryHostId("a"),
               7,
               RowState::kDispatched,
               "body",
               "a/7/1",
               ServerId("s"),
               true,
               At(0)};
  BOOST_TEST((DecodeClaim(Encode(row)) == row));
  LeaseRow lease{EntryHostId("a"), 7, At(1), At(2), At(3), At(4), At(5)};
  BOOST_TEST((DecodeLease(Encode(lease)) == lease));
  BOOST_TEST(!DecodeClaim(Encode(lease)).has_value());
  BOOST_TEST(!DecodeLease("{").has_value());
}

}  // namespace
}  // namespace gentianlb::claim
