#include "gateway/table_recovery.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::gateway {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

// Two hosts observe that the service has recovered and publish it to each other
// while it matters; each message takes a tenth of a second. Then a server
// leaves. Its removal must not be delayed any more: requests would be sent to a
// stopped server.
BOOST_AUTO_TEST_CASE(HostsDontRenewTheDelayForever) {
  TableRecovery first;
  TableRecovery second;
  absl::Time now = start;
  first.OnRecovered(now);
  second.OnRecovered(now);
  for (int i = 0; i < 100; ++i) {
    const std::int32_t age_at_first = first.AgeToPublish(now);
    const std::int32_t age_at_second = second.AgeToPublish(now);
    now += absl::Milliseconds(100);
    first.OnPeerReport(age_at_second, now);
    second.OnPeerReport(age_at_first, now);
  }
  BOOST_TEST((first.latest() <= start + absl::Milliseconds(200)));
  Directory directory;
  ServerEntry server;
  server.id = ServerId("s");
  directory.Update("s", server, now);
  directory.OnTableRecovered(first.latest());
  directory.Update("s", std::nullopt, now);
  BOOST_TEST(directory.size() == 0u);
}

// A host that receives changes from its peers learns of the recovery from them.
// It too must give servers with expired registrations time to register again.
BOOST_AUTO_TEST_CASE(ARecoveryFromAPeerDelaysRemovals) {
  TableRecovery observer;
  TableRecovery receiver;
  observer.OnRecovered(start);
  receiver.OnPeerReport(observer.AgeToPublish(start + absl::Milliseconds(300)),
                        start + absl::Milliseconds(400));
  Directory directory;
  ServerEntry server;
  server.id = ServerId("s");
  directory.Update("s", server, start);
  directory.OnTableRecovered(receiver.latest());
  directory.Update("s", std::nullopt, start + absl::Milliseconds(400));
  BOOST_TEST(directory.size() == 1u);
}

}  // namespace
}  // namespace gentianlb::gateway
