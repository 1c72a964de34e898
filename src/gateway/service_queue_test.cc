#include "gateway/service_queue.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace gentianlb::gateway {
namespace {

constexpr std::int64_t kStarted = 1770000000123;

// A queue for one server that has named a request limit.
struct Fixture {
  Fixture() {
    service.id = ServiceId("plain");
    entry.id = ServerId("s");
    entry.service = service.id;
    entry.streams = 4;
    Register(kStarted);
    queue.Handle(schedule::PeerLimitReported{entry.id, 6}, now, &decisions);
    BOOST_TEST(Limited() == 1);
  }

  void Register(std::int64_t started) {
    entry.started = started;
    queue.SetServers(service, {entry}, {}, now, &decisions);
  }

  // Returns the number of servers that are known to have a limit.
  int Limited() const { return queue.dispatcher().CountServers().limited; }

  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  Service service;
  ServerEntry entry;
  ServiceQueue queue{ServiceQueueOptions()};
  std::vector<schedule::Decision> decisions;
};

// Guards against a restarted server that is held to the limit of its
// predecessor.
BOOST_FIXTURE_TEST_CASE(ARestartedServerHasNoLimitYet, Fixture) {
  Register(kStarted + 1);
  BOOST_TEST(Limited() == 0);
}

// Guards against a server whose limit is forgotten while it runs on, since
// another program wrote its registration without a usable start time.
BOOST_FIXTURE_TEST_CASE(AServerOfUnknownStartTimeHasNotRestarted, Fixture) {
  Register(0);
  BOOST_TEST(Limited() == 1);
  Register(kStarted);
  BOOST_TEST(Limited() == 1);
}

}  // namespace
}  // namespace gentianlb::gateway
