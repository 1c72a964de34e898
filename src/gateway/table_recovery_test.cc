#include "gateway/table_recovery.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::gateway {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

// Two hosts notice that the service is back, and tell each other of it for as
// long as it matters; each message is on its way for a tenth of a second. Then
// a server leaves. Its removal must not wait any more: callers would be sent to
// it when it has ended.
BOOST_AUTO_TEST_CASE(HostsDontRefreshEachOtherForEver) {
  TableRecovery one;
  TableRecovery other;
  absl::Time now = start;
  one.OnRecovered(now);
  other.OnRecovered(now);
  for (int i = 0; i < 100; ++i) {
    const std::int32_t by_one = one.AgeToPublish(now);
    const std::int32_t by_other = other.AgeToPublish(now);
    now += absl::Milliseconds(100);
    one.OnPeerReport(by_other, now);
    other.OnPeerReport(by_one, now);
  }
  BOOST_TEST((one.latest() <= start + absl::Milliseconds(200)));
  Directory directory;
  ServerEntry server;
  server.id = ServerId("s");
  directory.Update("s", server, now);
  directory.OnTableRecovered(one.latest());
  directory.Update("s", std::nullopt, now);
  BOOST_TEST(directory.size() == 0u);
}

// A host that is handed changes hears that the service is back. What lapsed
// meanwhile keeps its time to register again there too.
BOOST_AUTO_TEST_CASE(WhoIsToldOfTheReturnLetsRemovalsWait) {
  TableRecovery follower;
  TableRecovery told;
  follower.OnRecovered(start);
  told.OnPeerReport(follower.AgeToPublish(start + absl::Milliseconds(300)),
             start + absl::Milliseconds(400));
  Directory directory;
  ServerEntry server;
  server.id = ServerId("s");
  directory.Update("s", server, start);
  directory.OnTableRecovered(told.latest());
  directory.Update("s", std::nullopt, start + absl::Milliseconds(400));
  BOOST_TEST(directory.size() == 1u);
}

}  // namespace
}  // namespace gentianlb::gateway
