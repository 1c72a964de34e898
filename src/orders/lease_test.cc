// Explores every interleaving of two hosts' lease calls with lost answers and
// passing time.

#include "orders/lease.h"

#include <array>
#include <boost/test/unit_test.hpp>

namespace gentianlb::orders {
namespace {

constexpr LeaseOptions kOptions{absl::Seconds(4), absl::Seconds(1),
                                absl::Seconds(1), absl::Seconds(0),
                                absl::Seconds(1)};
constexpr absl::Duration kTimeStep = absl::Seconds(3);
constexpr int kDepth = 10;

struct PendingCall {
  LeaseCall request;
  // Set once the table has run the call.
  std::optional<store::CommitResult> committed;
  std::optional<std::vector<store::Row>> read;
};

// Two hosts that compete for one lease row. Each branch of the search copies
// it.
struct Race {
  std::array<Lease, 2> hosts = {Lease(kOptions, EntryHostId("a"), 1),
                                Lease(kOptions, EntryHostId("b"), 1)};
  std::array<std::optional<PendingCall>, 2> pending;
  // A call that its sender has given up and that may still take effect.
  std::optional<PendingCall> delayed;
  std::vector<store::Row> table;
  absl::Time now = absl::UnixEpoch();

  void Call(int host) {
    std::optional<LeaseCall> call = hosts[host].NextCall(now);
    if (call) pending[host] = PendingCall{*call, {}, {}};
  }

  // Runs the call against the table.
  void Apply(PendingCall* call) {
    if (std::holds_alternative<ReadLease>(call->request)) {
      call->read = table;
      return;
    }
    const auto& commit = std::get<store::Transaction>(call->request);
    store::RowVersion version = table.empty() ? 0 : table[0].version;
    call->committed = store::CommitResult{};
    call->committed->state = store::CommitState::kConflict;
    if (commit.conditions[0].version != version) return;
    Fence old_fence = table.empty() ? 0 : DecodeLease(table[0].value)->fence;
    table = {{kLeaseKey, *commit.writes[0].value, version + 1}};
    BOOST_REQUIRE_GE(DecodeLease(table[0].value)->fence, old_fence);
    call->committed->state = store::CommitState::kCommitted;
    call->committed->versions = {{kLeaseKey, "", version + 1}};
  }

  void Answer(int host, bool lost) {
    PendingCall call = *pending[host];
    pending[host].reset();
    if (lost && !call.read && !call.committed) delayed = call;
    if (std::holds_alternative<ReadLease>(call.request)) {
      store::ReadResult no_answer = Error{Code::kPlatformUnavailable, ""};
      hosts[host].OnRead(lost ? no_answer : store::ReadResult(*call.read), now);
      return;
    }
    hosts[host].OnCommitted(lost ? store::CommitResult{} : *call.committed,
                            now);
  }

  bool Applied(int host) const {
    return pending[host]->read || pending[host]->committed;
  }

  void Finish(int host) {
    Call(host);
    Apply(&*pending[host]);
    Answer(host, false);
  }
};

struct Exploration {
  std::int64_t states = 0;
  std::int64_t takeovers = 0;
};

void Explore(const Race& race, int depth, Exploration* exploration) {
  ++exploration->states;
  bool held_by_first = race.hosts[0].IsHeld(race.now);
  bool held_by_second = race.hosts[1].IsHeld(race.now);
  BOOST_REQUIRE(!(held_by_first && held_by_second));
  if (held_by_second) ++exploration->takeovers;
  if (depth == 0) return;
  auto branch = [&](auto change) {
    Race next = race;
    change(&next);
    Explore(next, depth - 1, exploration);
  };
  branch([](Race* next) { next->now += kTimeStep; });
  if (race.delayed) {
    branch([](Race* next) {
      next->Apply(&*next->delayed);
      next->delayed.reset();
    });
  }
  for (int host : {0, 1}) {
    if (!race.pending[host]) {
      Race next = race;
      next.Call(host);
      if (next.pending[host]) Explore(next, depth - 1, exploration);
      continue;
    }
    if (!race.Applied(host)) {
      branch([&](Race* next) { next->Apply(&*next->pending[host]); });
    } else {
      branch([&](Race* next) { next->Answer(host, false); });
    }
    branch([&](Race* next) { next->Answer(host, true); });
  }
}

// Two hosts compete for the lease while answers are delayed or lost and either
// host may pause at any point. If both held it, both would send orders to the
// same engines, and models would be loaded and unloaded in turns.
BOOST_AUTO_TEST_CASE(NeverTwoHolders) {
  Race race;
  race.Finish(0);
  race.Finish(0);
  race.now += absl::Seconds(1);
  race.Finish(1);
  BOOST_REQUIRE(race.hosts[0].IsHeld(race.now));
  Exploration exploration;
  Explore(race, kDepth, &exploration);
  BOOST_TEST_MESSAGE("states " << exploration.states
                               << ", held by the second in "
                               << exploration.takeovers);
  BOOST_TEST(exploration.takeovers > 0);
  Exploration from_free_lease;
  Explore(Race(), kDepth, &from_free_lease);
  BOOST_TEST(from_free_lease.takeovers > 0);
}

// The answer to the write that acquires the lease is lost. A host that doesn't
// read the row back waits for its own lease to expire and sends no orders.
BOOST_AUTO_TEST_CASE(LostAnswerIsRecoveredByReading) {
  Race race;
  race.Finish(0);
  race.Call(0);
  race.Apply(&*race.pending[0]);
  race.Answer(0, true);
  BOOST_TEST(!race.hosts[0].IsHeld(race.now));
  race.Finish(0);
  BOOST_TEST(race.hosts[0].IsHeld(race.now));
  BOOST_TEST(race.hosts[0].fence() == 1);
}

}  // namespace
}  // namespace gentianlb::orders
