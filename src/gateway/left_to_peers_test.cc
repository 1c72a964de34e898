#include "gateway/left_to_peers.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::gateway {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
constexpr double kRate = 1000;  // Tokens per second.
constexpr absl::Duration kShort = absl::Milliseconds(100);
constexpr absl::Duration kLong = absl::Seconds(8);

// Guards against the loss of the level when one datagram is lost: all that was
// left to the peers, and what was earned for them, is theirs to report.
BOOST_AUTO_TEST_CASE(AfterAShortGapEverythingIsReported) {
  LeftToPeers left;
  left.Reduce(1, 0.25, 750, start);
  const ReturnedTokens returned = left.Raise(1, kRate, start + kShort);
  BOOST_TEST((returned.reported == LeftTokens{750 + 0.75 * 100, 0.75}));
  BOOST_TEST((returned.presumed_used == LeftTokens{}));
}

// Guards against a charge for use that was left to the peers of a long cut.
BOOST_AUTO_TEST_CASE(AfterALongGapTheirTokensArePresumedUsed) {
  LeftToPeers left;
  left.Reduce(1, 0.25, 750, start);
  const ReturnedTokens returned = left.Raise(1, kRate, start + kLong);
  BOOST_TEST((returned.reported == LeftTokens{}));
  BOOST_TEST((returned.presumed_used == LeftTokens{750 + 0.75 * 8000, 0.75}));
}

// Guards against a lost datagram within a cut that ends the record of the cut.
BOOST_AUTO_TEST_CASE(AGapWithinACutReturnsOnlyItsOwn) {
  LeftToPeers left;
  left.Reduce(1, 0.5, 500, start);
  left.Reduce(0.5, 0.25, 250, start + kLong);
  const ReturnedTokens gap = left.Raise(0.5, kRate, start + kLong + kShort);
  BOOST_TEST((gap.reported == LeftTokens{250 + 0.25 * 100, 0.25}));
  BOOST_TEST((gap.presumed_used == LeftTokens{}));
  const ReturnedTokens cut = left.Raise(1, kRate, start + kLong + kLong);
  BOOST_TEST((cut.presumed_used == LeftTokens{500 + 0.5 * 16000, 0.5}));
}

// Guards against a return of all when some peers of a cut are reachable again.
BOOST_AUTO_TEST_CASE(PeersReturnInParts) {
  LeftToPeers left;
  left.Reduce(1, 0.5, 500, start);
  const ReturnedTokens first = left.Raise(0.75, kRate, start + kLong);
  BOOST_TEST((first.presumed_used == LeftTokens{250 + 0.25 * 8000, 0.25}));
  const ReturnedTokens second = left.Raise(1, kRate, start + kLong);
  BOOST_TEST((second.presumed_used == LeftTokens{250 + 0.25 * 8000, 0.25}));
  BOOST_TEST((left.Raise(1, kRate, start + kLong) == ReturnedTokens{}));
}

}  // namespace
}  // namespace gentianlb::gateway
