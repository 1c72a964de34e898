#include "base/decaying_sum.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb {
namespace {

BOOST_AUTO_TEST_CASE(AmountsDecayAndAddUp) {
  const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
  DecayingSum sum(absl::Seconds(2));
  BOOST_TEST(sum.At(start) == 0);
  sum.Add(10, start);
  BOOST_TEST(sum.At(start) == 10);
  const absl::Time later = start + absl::Seconds(2);
  BOOST_TEST(sum.At(later) > 3.67);
  BOOST_TEST(sum.At(later) < 3.69);
  sum.Add(1, later);
  BOOST_TEST(sum.At(later) > 4.67);
  BOOST_TEST(sum.At(later + absl::Minutes(1)) < 1e-9);
}

}  // namespace
}  // namespace gentianlb
