#include "base/overlaps.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb {
namespace {

Span At(int begin_ms, int end_ms) {
  return {absl::FromUnixMillis(begin_ms), absl::FromUnixMillis(end_ms)};
}

constexpr absl::Duration kMax = absl::Milliseconds(400);

BOOST_AUTO_TEST_CASE(SpansThatOverlapBrieflyAreLeftOut) {
  BOOST_TEST(FindOverlaps({}, kMax).empty());
  BOOST_TEST(FindOverlaps({At(0, 1000), At(600, 2000)}, kMax).empty());
  const auto found = FindOverlaps({At(599, 2000), At(0, 1000)}, kMax);
  BOOST_REQUIRE(found.size() == 1u);
  BOOST_TEST((found[0] == Overlap{1, 0, absl::Milliseconds(401)}));
}

// Guards against a long span that goes unnoticed behind a short one.
BOOST_AUTO_TEST_CASE(SpansWithAnotherBetweenThemAreCompared) {
  const auto found =
      FindOverlaps({At(0, 9000), At(1000, 1100), At(2000, 5000)}, kMax);
  BOOST_REQUIRE(found.size() == 1u);
  BOOST_TEST((found[0] == Overlap{0, 2, absl::Seconds(3)}));
}

}  // namespace
}  // namespace gentianlb
