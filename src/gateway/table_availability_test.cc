#include "gateway/table_availability.h"

#include <boost/test/unit_test.hpp>

#include "gateway/directory.h"

namespace gentianlb::gateway {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

absl::Time At(int milliseconds) {
  return start + absl::Milliseconds(milliseconds);
}

// Guards against a delay that hosts renew for each other by their reports:
// requests would be sent to servers that left long before.
BOOST_AUTO_TEST_CASE(HostsDontRenewTheDelayForever) {
  TableAvailability first;
  TableAvailability second;
  absl::Time now = start;
  first.OnAnswer(OwnCalls::kAnswered, now);
  second.OnAnswer(OwnCalls::kAnswered, now);
  for (int i = 0; i < 100; ++i) {
    const AnswerAges of_first = first.OwnAges(now);
    const AnswerAges of_second = second.OwnAges(now);
    now += absl::Milliseconds(100);
    first.OnPeerReport(of_second, OwnCalls::kAnswered, now);
    second.OnPeerReport(of_first, OwnCalls::kAnswered, now);
  }
  BOOST_TEST((first.recovered_at() <= At(200)));
  Directory directory;
  ServerEntry server;
  server.id = ServerId("s");
  directory.Update("s", server, now);
  directory.SetTableRecovered(first.recovered_at());
  directory.Update("s", std::nullopt, now);
  BOOST_TEST(directory.size() == 0u);
}

// Guards against hosts that keep each other's last answer young by their
// reports, and never notice an outage.
BOOST_AUTO_TEST_CASE(HostsDontRenewTheLastAnswer) {
  TableAvailability first;
  TableAvailability second;
  absl::Time now = start;
  first.OnAnswer(OwnCalls::kAnswered, now);
  second.OnAnswer(OwnCalls::kAnswered, now);
  while (now < At(5000)) {
    const AnswerAges of_first = first.OwnAges(now);
    const AnswerAges of_second = second.OwnAges(now);
    now += absl::Milliseconds(50);
    first.OnPeerReport(of_second, OwnCalls::kAnswered, now);
    second.OnPeerReport(of_first, OwnCalls::kAnswered, now);
  }
  first.OnAnswer(OwnCalls::kAnswered, now);
  BOOST_TEST((first.recovered_at() == now));
}

// A host that receives changes from its peers learns of the recovery from them.
// It too must give servers with expired registrations time to register again.
BOOST_AUTO_TEST_CASE(ARecoveryFromAPeerDelaysRemovals) {
  TableAvailability observer;
  TableAvailability receiver;
  receiver.OnAnswer(OwnCalls::kAnswered, At(-10000));
  observer.OnAnswer(OwnCalls::kAnswered, start);
  receiver.OnPeerReport(observer.OwnAges(At(300)), OwnCalls::kAnswered,
                        At(400));
  Directory directory;
  ServerEntry server;
  server.id = ServerId("s");
  directory.Update("s", server, start);
  directory.SetTableRecovered(receiver.recovered_at());
  directory.Update("s", std::nullopt, At(400));
  BOOST_TEST(directory.size() == 1u);
}

BOOST_AUTO_TEST_CASE(AShortSilenceIsNoOutage) {
  TableAvailability availability;
  availability.OnAnswer(OwnCalls::kAnswered, start);
  availability.OnAnswer(OwnCalls::kAnswered,
                        start + kMinOutage - absl::Milliseconds(1));
  BOOST_TEST((availability.recovered_at() == start));
  const absl::Time back = start + 2 * kMinOutage;
  availability.OnAnswer(OwnCalls::kAnswered, back);
  BOOST_TEST((availability.recovered_at() == back));
}

// Guards against a host that was cut off alone and takes that for an outage,
// though peers got answers all the while.
BOOST_AUTO_TEST_CASE(AnswersToAPeerShowThatThereWasNoOutage) {
  TableAvailability peer;
  TableAvailability cut_off;
  for (int ms = 0; ms <= 8000; ms += 1000) {
    peer.OnAnswer(OwnCalls::kAnswered, At(ms));
  }
  cut_off.OnAnswer(OwnCalls::kAnswered, start);
  cut_off.OnAnswer(OwnCalls::kAnswered, At(8100));
  BOOST_TEST((cut_off.recovered_at() == At(8100)));
  cut_off.OnPeerReport(peer.OwnAges(At(8100)), OwnCalls::kAnswered, At(8110));
  BOOST_TEST((cut_off.recovered_at() <= At(10)));
  // Nor does the peer assume one by the report of a host that was cut off.
  TableAvailability other;
  other.OnAnswer(OwnCalls::kAnswered, At(0));
  other.OnAnswer(OwnCalls::kAnswered, At(8100));
  peer.OnPeerReport(other.OwnAges(At(8100)), OwnCalls::kAnswered, At(8110));
  BOOST_TEST((peer.recovered_at() == start));
}

// Guards against a host without the servers beside it, whose registrations
// lapsed while they were cut off together.
BOOST_AUTO_TEST_CASE(AHostThatWasCutOffDelaysRemovalsItself) {
  TableAvailability peer;
  TableAvailability cut_off;
  for (int ms = 0; ms <= 8000; ms += 1000) {
    peer.OnAnswer(OwnCalls::kAnswered, At(ms));
  }
  cut_off.OnAnswer(OwnCalls::kAnswered, start);
  cut_off.OnPeerReport(peer.OwnAges(At(8100)), OwnCalls::kFailed, At(8110));
  BOOST_TEST((cut_off.recovered_at() == At(8110)));
  cut_off.OnAnswer(OwnCalls::kFailed, At(8400));
  BOOST_TEST((cut_off.recovered_at() == At(8110)));
  // Its report delays none at others.
  peer.OnPeerReport(cut_off.OwnAges(At(8400)), OwnCalls::kAnswered, At(8410));
  BOOST_TEST((peer.recovered_at() == start));
}

// A host whose own calls fail, but whose peers get answers, was not cut off.
BOOST_AUTO_TEST_CASE(AHostThatTheServiceRefusesDelaysNothing) {
  TableAvailability peer;
  TableAvailability refused;
  refused.OnAnswer(OwnCalls::kAnswered, start);
  for (int ms = 0; ms <= 8000; ms += 1000) {
    peer.OnAnswer(OwnCalls::kAnswered, At(ms));
    refused.OnPeerReport(peer.OwnAges(At(ms)), OwnCalls::kFailed, At(ms + 50));
  }
  refused.OnAnswer(OwnCalls::kFailed, At(8100));
  BOOST_TEST((refused.recovered_at() <= At(50)));
}

// A host that got no answer since the outage has nothing to publish.
BOOST_AUTO_TEST_CASE(AnswersBeforeTheOutageAreNotPublished) {
  TableAvailability availability;
  BOOST_TEST(!availability.OwnAges(start).known());
  availability.OnAnswer(OwnCalls::kAnswered, start);
  availability.OnPeerReport({.first_ms = 100, .last_ms = 0},
                            OwnCalls::kAnswered, At(9000));
  BOOST_TEST(!availability.OwnAges(At(9000)).known());
  BOOST_TEST((availability.KnownAges(At(9050)) == AnswerAges{150, 50}));
}

BOOST_AUTO_TEST_CASE(JoinsSpansUnlessAnOutageLiesBetween) {
  const AnswerAges recent{.first_ms = 1000, .last_ms = 10};
  BOOST_TEST((Join(recent, {9000, 3000}) == AnswerAges{9000, 10}));
  BOOST_TEST((Join({9000, 3000}, recent) == AnswerAges{9000, 10}));
  BOOST_TEST((Join(recent, {9000, 3400}) == recent));
  BOOST_TEST((Join({9000, 3400}, recent) == recent));
  BOOST_TEST((Join({}, recent) == recent));
  BOOST_TEST((Aged(recent, absl::Seconds(1)) == AnswerAges{2000, 1010}));
  BOOST_TEST((Aged({}, absl::Seconds(1)) == AnswerAges{}));
}

}  // namespace
}  // namespace gentianlb::gateway
