#include "entry/peer_link.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::entry {
namespace {

absl::Time At(int milliseconds) {
  return absl::UnixEpoch() + absl::Milliseconds(milliseconds);
}

PeerItem Item() { return HealthNews{ServerId("s"), {}}; }

// A message is lost, or its answer is. It goes again under the same number, and
// a peer that has it already does not act on it a second time.
BOOST_AUTO_TEST_CASE(ALostBatchGoesAgainUnderItsNumber) {
  PeerOutbox outbox;
  outbox.Push(Item());
  auto first = outbox.Next(At(0));
  BOOST_REQUIRE(first.has_value());
  outbox.Push(Item());
  BOOST_TEST(!outbox.Next(At(1)).has_value());
  outbox.Failed(At(2));
  BOOST_TEST(!outbox.Next(At(3)).has_value());
  auto again = outbox.Next(outbox.retry_at());
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST(again->number == first->number);
  BOOST_TEST(again->items.size() == 1U);
  outbox.Taken();
  auto next = outbox.Next(At(100));
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST(next->number == first->number + 1);

  PeerInbox inbox;
  EntryHostId sender("h1");
  BOOST_TEST((inbox.Judge(sender, 5, 1) == PeerInbox::Verdict::kTake));
  BOOST_TEST((inbox.Judge(sender, 5, 1) == PeerInbox::Verdict::kRepeated));
  BOOST_TEST((inbox.Judge(sender, 5, 2) == PeerInbox::Verdict::kTake));
}

// A host is restarted while a message of its former self is still on the way.
BOOST_AUTO_TEST_CASE(AMessageOfAnEarlierStartIsStale) {
  PeerInbox inbox;
  EntryHostId sender("h1");
  BOOST_TEST((inbox.Judge(sender, 5, 9) == PeerInbox::Verdict::kTake));
  BOOST_TEST((inbox.Judge(sender, 6, 1) == PeerInbox::Verdict::kTake));
  BOOST_TEST((inbox.Judge(sender, 5, 10) == PeerInbox::Verdict::kStale));
}

}  // namespace
}  // namespace gentianlb::entry
