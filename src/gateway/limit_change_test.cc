// Limits that change while demand jumps.

#include <boost/test/unit_test.hpp>

#include "gateway/limit_site_test.h"

namespace gentianlb::gateway {
namespace {

constexpr int kLargeHosts = 62;
constexpr int kLargeZones = 3;
constexpr double kLimit = 920'000;  // Tokens per second.
// Demand of a workspace as a multiple of its usual one, without and with a
// burst of all workspaces.
constexpr double kHot = 3.4;
constexpr double kHotInBurst = 1.6 * kHot;
// Until all hosts know of a change.
constexpr absl::Duration kSpread = absl::Seconds(3);

// A workspace whose usual demand is its limit goes to 3.4 times that after one
// second, and a burst comes on top until the limit changes.
class ChangingSite : public Site {
 public:
  ChangingSite(std::uint64_t seed, double limit)
      : Site(seed, kLargeHosts, kLargeZones, limit), uneven_(seed % 2 == 0) {
    callers_retry = true;
    arrival_interval = absl::Milliseconds(500);
    Run(absl::Seconds(1), 1);
    Run(absl::Milliseconds(740), kHot);
    Run(absl::Milliseconds(3790), kHotInBurst);
  }

  void Run(absl::Duration span, double load) { Site::Run(span, load, uneven_); }

 private:
  const bool uneven_;
};

struct Change {
  double before;
  double after;
  bool back;  // Whether it is changed back before all hosts know of it.
};

// Guards against tokens that come from the change itself: the level that each
// host scales up, or use that peers charge under another limit.
BOOST_AUTO_TEST_CASE(TheLimitHoldsThoughItChangesDuringABurst) {
  for (const Change change :
       {Change{kLimit, kLimit / 2, false}, Change{kLimit / 2, kLimit, false},
        Change{kLimit / 2, kLimit, true}, Change{kLimit, kLimit / 2, true}}) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      ChangingSite site(seed, change.before);
      site.ChangeLimit(change.after, kSpread);
      site.Run(absl::Milliseconds(1170), kHotInBurst);
      if (change.back) site.ChangeLimit(change.before, kSpread);
      site.Run(kWindow, kHot);
      const double max = site.tally().max_in_window();
      BOOST_TEST_MESSAGE(change.before << " to " << change.after << " seed "
                                       << seed << " max " << max);
      BOOST_TEST(max < AllowedOf(kLimit), "seed " << seed << ": " << max);
    }
  }
}

// Guards against hosts that admit by the old limit after all know the lower
// one.
BOOST_AUTO_TEST_CASE(ALoweredLimitHoldsOnceAllHostsKnowIt) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    ChangingSite site(seed, kLimit);
    site.ChangeLimit(kLimit / 2, kSpread);
    site.Run(kSpread, kHotInBurst);
    site.RestartTally();
    site.Run(absl::Seconds(12), kHot);
    const double max = site.tally().max_in_window();
    BOOST_TEST_MESSAGE("seed " << seed << " max " << max);
    BOOST_TEST(max < AllowedOf(kLimit / 2), "seed " << seed << ": " << max);
  }
}

// Guards against a debt from before the change that refuses callers within the
// raised limit.
BOOST_AUTO_TEST_CASE(CallersWithinARaisedLimitAreServed) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    ChangingSite site(seed, kLimit);
    site.ChangeLimit(2 * kLimit, kSpread);
    site.Run(kSpread, 1);
    const double before = site.refused();
    site.Run(absl::Seconds(8), 1.6);
    BOOST_TEST(site.refused() == before, "seed " << seed);
  }
}

}  // namespace
}  // namespace gentianlb::gateway
