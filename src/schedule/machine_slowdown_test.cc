#include "schedule/machine_slowdown.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "schedule/timed_site_test.h"

namespace gentianlb::schedule {
namespace {

constexpr absl::Time kStart = absl::FromUnixSeconds(1000);
constexpr absl::Duration kSlowFor = absl::Milliseconds(600);

// A value that never faded would keep a server without work idle for good, and
// one that never counted would not be noticed at all.
BOOST_AUTO_TEST_CASE(StatedValueFadesWithItsAge) {
  MachineSlowdown slowdown;
  BOOST_TEST(slowdown.At(kStart) == 1);
  BOOST_TEST(slowdown.Seconds(0.3, kStart) == 0.3);
  slowdown.OnStated(2.5, kStart);
  BOOST_TEST(slowdown.At(kStart) == 2.5);
  BOOST_TEST(slowdown.At(kStart + slowdown.half_life()) == 1.75,
             boost::test_tools::tolerance(1e-6));
  BOOST_TEST(slowdown.At(kStart + absl::Seconds(3)) == 1);
  // Short work is slowed as a whole, long work only at its beginning.
  BOOST_TEST(slowdown.Seconds(0.001, kStart) > 0.00249);
  BOOST_TEST(slowdown.Seconds(10, kStart) < 11);
  slowdown.OnStated(1, kStart + absl::Seconds(1));
  BOOST_TEST(!slowdown.IsInEffect(kStart + absl::Seconds(1)));
}

// With a fixed rate, a server would be avoided for too long or not long enough
// on machines whose slowdowns last for another time.
BOOST_AUTO_TEST_CASE(RateOfChangeIsLearnt) {
  for (const double seconds : {0.2, 0.6, 3.0}) {
    MachineSlowdown slowdown;
    const absl::Duration period = absl::Seconds(seconds);
    for (int i = 0; i < 100; ++i) {
      const bool slow = i % 2 == 0;
      const absl::Time begin = kStart + i * period;
      for (absl::Time at = begin; at < begin + period;
           at += absl::Milliseconds(10)) {
        slowdown.OnStated(slow ? 2.5 : 1, at);
      }
    }
    BOOST_TEST(absl::ToDoubleSeconds(slowdown.half_life()) == 0.69 * seconds,
               boost::test_tools::tolerance(0.15));
  }
}

// A restarted server runs on a machine of which nothing is known. Values that
// no machine can have must not make a server unusable.
BOOST_AUTO_TEST_CASE(RestartClearsAndBadValuesAreLimited) {
  MachineSlowdown slowdown;
  slowdown.OnStated(2.5, kStart);
  slowdown.Clear();
  BOOST_TEST(slowdown.At(kStart) == 1);
  slowdown.OnStated(0, kStart);
  slowdown.OnStated(-1, kStart);
  BOOST_TEST(slowdown.At(kStart) == 1);
  slowdown.OnStated(1e9, kStart);
  BOOST_TEST(slowdown.At(kStart) <= 20);
}

// Local dispatchers learn from ResponseLoadReported alone. A restart must reach
// the value that the dispatcher keeps.
BOOST_AUTO_TEST_CASE(DispatcherForgetsSlowdownOfRestartedServer) {
  Dispatcher dispatcher(DispatcherOptions{});
  std::vector<Decision> decisions;
  ServerSpec spec;
  spec.id = ServerId("server-0");
  spec.max_streams = 6;
  const auto handle = [&](const Event& event) {
    dispatcher.Handle(event, kStart, &decisions);
    return dispatcher.CountServers().slowed;
  };
  BOOST_TEST(handle(ServersConfigured{{spec}}) == 0);
  BOOST_TEST(handle(ResponseLoadReported{spec.id, 0, 0, 2.5}) == 1);
  handle(ServerHealthChanged{spec.id, ServerHealth::kDead});
  BOOST_TEST(handle(ServerHealthChanged{spec.id, ServerHealth::kAlive}) == 0);
}

// Each server is slowed for 0.6 s in every 4 s, at different times.
double SlowedInTurn(const ServerId& server, absl::Time now) {
  const auto number = std::stoi(server.str().substr(7));
  const absl::Duration phase =
      (now - absl::UnixEpoch() + number * absl::Milliseconds(1300)) %
      absl::Seconds(4);
  return phase < kSlowFor ? 2.5 : 1;
}

// One of three servers is slowed at any time.
double OneSlowed(const ServerId& server, absl::Time now) {
  const auto number = std::stoi(server.str().substr(7));
  return (now - absl::UnixEpoch()) / kSlowFor % 3 == number ? 2.5 : 1;
}

// Returns the fraction of calls in time.
double PlayCalls(bool stated, double per_second,
                 double (*slowdown)(const ServerId&, absl::Time)) {
  TimedSite site(DispatcherOptions{.allow_preemption = false});
  for (const double factor : {1.9, 2.1, 2.3}) {
    site.AddServer("z", factor, /*plain=*/true, 6);
  }
  site.states_slowdown = stated;
  site.slowdown = slowdown;
  site.Configure();
  const Kind call{.per_second = per_second,
                  .objective = absl::Milliseconds(150),
                  .deadline = absl::Milliseconds(1500),
                  .call_seconds = 0.03};
  const auto zone = [](absl::Time) -> std::string { return "z"; };
  site.Run(absl::Seconds(5), {call}, zone);
  site.TakeServed();
  site.Run(absl::Seconds(60), {call}, zone);
  const Served served = site.TakeServed();
  BOOST_TEST_MESSAGE("calls/s " << per_second << " stated " << stated
                                << " in_time " << served.InTime() << " refused "
                                << served.refused << " mean "
                                << served.finish_seconds);
  return served.InTime();
}

// Averages over seconds don't show a slowdown of 0.6 s, so calls would go on to
// a slowed server while others have free streams.
BOOST_AUTO_TEST_CASE(PlainCallsAvoidSlowedServers) {
  for (const auto slowdown : {&SlowedInTurn, &OneSlowed}) {
    for (const double per_second : {60.0, 100.0}) {
      const double late_off = 1 - PlayCalls(false, per_second, slowdown);
      const double late_on = 1 - PlayCalls(true, per_second, slowdown);
      BOOST_TEST(late_on < late_off / 3);
    }
    // The other servers are often full.
    BOOST_TEST(PlayCalls(true, 170, slowdown) >
               PlayCalls(false, 170, slowdown) + 0.01);
  }
}

Served PlayStreams(bool stated, bool slowed, std::uint64_t* signature) {
  TimedSite site(DispatcherOptions{.allow_preemption = false});
  for (int i = 0; i < 12; ++i) {
    site.AddServer("z", 0.55 + 0.2 * i, /*plain=*/false, 7);
  }
  site.states_slowdown = stated;
  if (slowed) site.slowdown = &SlowedInTurn;
  site.Configure();
  const absl::Duration objective = absl::Milliseconds(500);
  const std::vector<Kind> kinds = {
      {6610, 380, 12, objective, absl::Seconds(10)},
      {628, 290, 10, objective, absl::Seconds(10)},
      {1800, 20, 25, objective, absl::Milliseconds(2500)}};
  const auto zone = [](absl::Time) -> std::string { return "z"; };
  site.Run(absl::Seconds(40), kinds, zone);
  *signature = site.dispatcher.signature();
  const Served served = site.TakeServed();
  BOOST_TEST_MESSAGE("streams, stated " << stated << " in_time "
                                        << served.InTime() << " first "
                                        << served.first_seconds << " finish "
                                        << served.finish_seconds);
  return served;
}

// Servers that state nothing, or only that all is as usual, must be chosen as
// before. A slowdown counted twice would make streams avoid a server for long.
BOOST_AUTO_TEST_CASE(StreamsAvoidSlowedServers) {
  std::uint64_t off = 0;
  std::uint64_t on = 0;
  PlayStreams(false, false, &off);
  PlayStreams(true, false, &on);
  BOOST_TEST(off == on);
  const Served without = PlayStreams(false, true, &off);
  const Served with = PlayStreams(true, true, &on);
  BOOST_TEST(with.first_seconds < without.first_seconds);
  BOOST_TEST(with.finish_seconds < without.finish_seconds);
  BOOST_TEST(with.InTime() >= without.InTime());
}

}  // namespace
}  // namespace gentianlb::schedule
