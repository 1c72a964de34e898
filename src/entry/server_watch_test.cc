#include "entry/server_watch.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::entry {
namespace {

using schedule::ServerHealth;

absl::Time At(double seconds) {
  return absl::UnixEpoch() + absl::Seconds(seconds);
}

// A server's process is killed. Its port refuses connections, and callers
// should not wait for the full silence limit to learn that.
BOOST_AUTO_TEST_CASE(TwoRefusalsMeanDead) {
  ServerWatch watch;
  BOOST_TEST(
      (watch.OnPoll(PollEnd::kRefused, At(0)) == ServerHealth::kSuspect));
  BOOST_TEST((watch.OnPoll(PollEnd::kRefused, At(0.5)) == ServerHealth::kDead));
  BOOST_TEST((watch.OnPoll(PollEnd::kAnswered, At(1)) == ServerHealth::kAlive));
}

// A server is frozen for a moment, or busy. It gets nothing new, but what runs
// on it is not thrown away before it has been silent for long.
BOOST_AUTO_TEST_CASE(ShortSilenceIsOnlySuspicion) {
  ServerWatch watch;
  BOOST_TEST((watch.OnPoll(PollEnd::kSilent, At(0)) == ServerHealth::kSuspect));
  BOOST_TEST(!watch.OnPoll(PollEnd::kSilent, At(3)).has_value());
  BOOST_TEST((watch.OnPoll(PollEnd::kSilent, At(4)) == ServerHealth::kDead));
}

// The platform's list lags and still calls a server live that has said itself
// that it leaves. It gets no new work on either sign.
BOOST_AUTO_TEST_CASE(EitherSignOfLeavingCounts) {
  ServerWatch watch;
  BOOST_TEST((watch.OnPoll(PollEnd::kAnsweredLeaving, At(0)) ==
              ServerHealth::kLeaving));
  BOOST_TEST(!watch.OnListed(false).has_value());
  BOOST_TEST((watch.OnPoll(PollEnd::kAnswered, At(1)) == ServerHealth::kAlive));
  BOOST_TEST((watch.OnListed(true) == ServerHealth::kLeaving));
}

}  // namespace
}  // namespace gentianlb::entry
