#include "gateway/startup_queue.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::gateway {
namespace {

struct Fixture {
  Fixture()
      : queue(
            &timers, [this] { return now; },
            [this](CallerRequest request, StartupQueue::Responder) {
              accepted += request.id.str();
            }) {}

  void Hold(const char* id) {
    CallerRequest request;
    request.id = RequestId(id);
    queue.Hold(std::move(request), nullptr);
  }
  void AdvanceTime(absl::Duration span) {
    now += span;
    timers.Advance(now);
  }

  TimerService timers;
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  std::string accepted;
  StartupQueue queue;
};

// All hosts restart, and requests arrive before the configuration does. They
// must be served in order as soon as it has arrived.
BOOST_FIXTURE_TEST_CASE(RequestsAreHeldUntilRelease, Fixture) {
  Hold("a");
  Hold("b");
  AdvanceTime(absl::Milliseconds(20));
  BOOST_TEST(accepted == "");
  queue.Release();
  BOOST_TEST(accepted == "ab");
  AdvanceTime(absl::Seconds(1));
  BOOST_TEST(accepted == "ab");
}

// The table service is unavailable. No request may be held beyond the timeout.
BOOST_FIXTURE_TEST_CASE(HeldRequestsTimeOut, Fixture) {
  Hold("a");
  AdvanceTime(absl::Milliseconds(200));
  BOOST_TEST(accepted == "a");
  Hold("b");
  BOOST_TEST(accepted == "ab");
}

}  // namespace
}  // namespace gentianlb::gateway
