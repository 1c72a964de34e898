#include "gateway/service_return.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::gateway {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

// Two hosts notice that the service is back, and tell each other of it for as
// long as it matters; each message is on its way for a tenth of a second. Then
// a server leaves. Its removal must not wait any more: callers would be sent to
// it when it has ended.
BOOST_AUTO_TEST_CASE(HostsDontRefreshEachOtherForEver) {
  ServiceReturn one;
  ServiceReturn other;
  absl::Time now = start;
  one.Noticed(now);
  other.Noticed(now);
  for (int i = 0; i < 100; ++i) {
    const std::int32_t by_one = one.ToTell(now);
    const std::int32_t by_other = other.ToTell(now);
    now += absl::Milliseconds(100);
    one.Heard(by_other, now);
    other.Heard(by_one, now);
  }
  BOOST_TEST((one.latest() <= start + absl::Milliseconds(200)));
  Directory directory;
  ServerEntry server;
  server.id = ServerId("s");
  directory.Change("s", server, now);
  directory.ServiceReturned(one.latest());
  directory.Change("s", std::nullopt, now);
  BOOST_TEST(directory.size() == 0u);
}

// A host that is handed changes hears that the service is back. What lapsed
// meanwhile keeps its time to register again there too.
BOOST_AUTO_TEST_CASE(WhoIsToldOfTheReturnLetsRemovalsWait) {
  ServiceReturn follower;
  ServiceReturn told;
  follower.Noticed(start);
  told.Heard(follower.ToTell(start + absl::Milliseconds(300)),
             start + absl::Milliseconds(400));
  Directory directory;
  ServerEntry server;
  server.id = ServerId("s");
  directory.Change("s", server, start);
  directory.ServiceReturned(told.latest());
  directory.Change("s", std::nullopt, start + absl::Milliseconds(400));
  BOOST_TEST(directory.size() == 1u);
}

}  // namespace
}  // namespace gentianlb::gateway
