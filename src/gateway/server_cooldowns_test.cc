#include "gateway/server_cooldowns.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::gateway {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

ServerEntry MakeServer(const char* id, std::int64_t started = 1) {
  ServerEntry server;
  server.id = ServerId(id);
  server.started = started;
  return server;
}

BOOST_AUTO_TEST_CASE(ACooldownEndsWhenItsTimeHasPassed) {
  ServerCooldowns cooldowns;
  BOOST_TEST(cooldowns.OnAsked(MakeServer("a"), absl::Seconds(3), start));
  const absl::Time later = start + absl::Seconds(1);
  BOOST_TEST((cooldowns.Left(ServerId("a"), later) == absl::Seconds(2)));
  BOOST_TEST(cooldowns.Active(later).size() == 1u);
  const absl::Time end = start + absl::Seconds(3);
  BOOST_TEST((cooldowns.Left(ServerId("a"), end) == absl::ZeroDuration()));
  BOOST_TEST(cooldowns.Active(end).empty());
  BOOST_TEST((cooldowns.Left(ServerId("b"), later) == absl::ZeroDuration()));
}

// Guards against a short cooldown that ends a longer one.
BOOST_AUTO_TEST_CASE(OfOverlappingCooldownsTheLaterEndCounts) {
  ServerCooldowns cooldowns;
  cooldowns.OnAsked(MakeServer("a"), absl::Seconds(3), start);
  const absl::Time later = start + absl::Seconds(1);
  BOOST_TEST(!cooldowns.OnAsked(MakeServer("a"), absl::Seconds(1), later));
  BOOST_TEST((cooldowns.Left(ServerId("a"), later) == absl::Seconds(2)));
  BOOST_TEST(cooldowns.OnAsked(MakeServer("a"), absl::Seconds(4), later));
  BOOST_TEST((cooldowns.Left(ServerId("a"), later) == absl::Seconds(4)));
}

// Guards against a restarted server that stays idle for its predecessor.
BOOST_AUTO_TEST_CASE(ARestartEndsACooldown) {
  ServerCooldowns cooldowns;
  cooldowns.OnAsked(MakeServer("a", 1), absl::Seconds(3), start);
  Directory directory;
  directory.Update("a", MakeServer("a", 1), start);
  cooldowns.ForgetRestarted(directory);
  BOOST_TEST((cooldowns.Left(ServerId("a"), start) == absl::Seconds(3)));
  directory.Update("a", MakeServer("a", 2), start);
  cooldowns.ForgetRestarted(directory);
  BOOST_TEST((cooldowns.Left(ServerId("a"), start) == absl::ZeroDuration()));
}

// Guards against a registration that lapses and lets requests through early.
BOOST_AUTO_TEST_CASE(ALapsedRegistrationEndsNoCooldown) {
  ServerCooldowns cooldowns;
  cooldowns.OnAsked(MakeServer("a"), absl::Seconds(3), start);
  Directory directory;
  cooldowns.ForgetRestarted(directory);
  directory.Update("a", MakeServer("a"), start);
  cooldowns.ForgetRestarted(directory);
  BOOST_TEST((cooldowns.Left(ServerId("a"), start) == absl::Seconds(3)));
}

}  // namespace
}  // namespace gentianlb::gateway
