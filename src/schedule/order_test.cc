#include "schedule/order.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::schedule {
namespace {

class Queue {
 public:
  WaitIndex Add(int tier, WorkspaceIndex workspace, double work, int start,
                bool is_long = false) {
    WaitingRequest waiting;
    waiting.request.tier = Tier{tier};
    waiting.workspace = workspace;
    waiting.work = work;
    waiting.is_long = is_long;
    waiting.latest_start = absl::FromUnixSeconds(start);
    waiting.order_time = waiting.latest_start;
    waiting.sequence = sequence_++;
    return queue.Add(std::move(waiting));
  }

  // Grants the first request of the lane and returns its workspace.
  WorkspaceIndex Next(int tier) {
    std::vector<WaitIndex> heads;
    queue.Heads({Tier{tier}, 0}, 1, &heads);
    const WaitingRequest waiting = queue.Remove(heads.at(0));
    queue.Charge(waiting);
    return waiting.workspace;
  }

  WaitingQueue queue;

 private:
  std::uint64_t sequence_ = 0;
};

BOOST_AUTO_TEST_CASE(WorkspacesShareByWorkAndWeight) {
  Queue q;
  for (int i = 0; i < 30; ++i) {
    q.Add(0, 1, 100, 10);
    q.Add(0, 2, 10, 10);
  }
  // One request of 100 tokens counts as much as ten of 10 tokens.
  int small = 0;
  for (int i = 0; i < 11; ++i) small += q.Next(0) == 2 ? 1 : 0;
  BOOST_TEST(small == 10);
}

// If only estimates were charged, a workspace whose outputs are ten times as
// long as estimated would keep its advantage.
BOOST_AUTO_TEST_CASE(CorrectionsAreCharged) {
  Queue q;
  for (int i = 0; i < 30; ++i) {
    q.Add(0, 1, 10, 10);
    q.Add(0, 2, 10, 10);
  }
  q.queue.CorrectCharge({Tier{0}, 0}, 1, 1, 100);
  for (int i = 0; i < 10; ++i) BOOST_TEST(q.Next(0) == 2u);
}

BOOST_AUTO_TEST_CASE(LeastSlackFirstAndLongAmongHeads) {
  Queue q;
  const WaitIndex late = q.Add(0, 1, 10, 30);
  const WaitIndex big = q.Add(0, 1, 1000, 20, /*is_long=*/true);
  const WaitIndex soon = q.Add(0, 1, 10, 10);
  std::vector<WaitIndex> heads;
  q.queue.Heads({Tier{0}, 0}, kMaxHeads, &heads);
  BOOST_TEST(heads == (std::vector<WaitIndex>{soon, big, late}),
             boost::test_tools::per_element());
  q.queue.Remove(soon);
  heads.clear();
  q.queue.Heads({Tier{0}, 0}, kMaxHeads, &heads);
  BOOST_TEST(heads == (std::vector<WaitIndex>{big, late}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(ShedsFromTheLargestBacklogOfTheLowestTier) {
  Queue q;
  q.Add(0, 1, 1000, 10);
  q.Add(2, 1, 10, 10);
  q.Add(2, 2, 10, 10);
  const WaitIndex last = q.Add(2, 2, 10, 20);
  BOOST_TEST(q.queue.LowestTier().rank == 2);
  BOOST_TEST(q.queue.ShedCandidate(Tier{2}) == last);
}

BOOST_AUTO_TEST_CASE(WorkAheadIsHigherTiersAndTheOwnShare) {
  Queue q;
  q.Add(0, 1, 50, 10);
  for (int i = 0; i < 10; ++i) q.Add(1, 2, 100, 10);
  q.Add(2, 3, 5000, 10);
  const LaneKey lane{Tier{1}, 0};
  BOOST_TEST(q.queue.WorkInHigherTiers(Tier{1}, 0) == 50);
  const absl::Time start = absl::FromUnixSeconds(20);
  // A workspace without waiting requests is served next.
  BOOST_TEST(q.queue.WorkAhead(lane, 3, 1, start) == 0);
  BOOST_TEST(q.queue.WorkAhead(lane, 2, 1, start) == 1000);
}

// A late request must not take the stream of one of its tier in time, whatever
// their deadlines, and is shed before it.
BOOST_AUTO_TEST_CASE(ReturningRequestsFollowThoseInTime) {
  Queue q;
  WaitingRequest late;
  late.workspace = 7;
  late.work = 5;
  late.returning = true;
  late.latest_start = absl::FromUnixSeconds(1);
  const WaitIndex returning = q.queue.Add(std::move(late));
  BOOST_TEST(!q.queue.LaneEmpty({}));
  q.Add(0, 1, 10, 100);
  BOOST_TEST(q.queue.LaneWork({}) == 15);
  BOOST_TEST(q.queue.ShedCandidate(Tier{0}) == returning);
  BOOST_TEST(q.Next(0) == 1u);
  BOOST_TEST(q.Next(0) == 7u);
  BOOST_TEST(q.queue.LaneEmpty({}));
  BOOST_TEST(q.queue.LaneWork({}) == 0);
}

}  // namespace
}  // namespace gentianlb::schedule
