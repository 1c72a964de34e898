// The pauses between the events of a stream, as the entry host measures them.

#include <boost/test/unit_test.hpp>
#include <string>

#include "gateway/fake_site_test.h"

namespace gentianlb::gateway {
namespace {

constexpr char kLate[] = "gentianlb_streams_late_by_pause_total{tier=\"0\"} 1";

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: a\n\n";
}

struct Fixture {
  explicit Fixture(absl::Duration max_pause = absl::Milliseconds(300)) {
    site.Configure();
    Configuration configuration = FakeSite::MakeConfiguration(2);
    configuration.routes[1].max_pause = max_pause;
    site.forwarder->SetConfiguration(configuration);
    site.SendRequest("/resume/1");
    site.last().SendHead(200);
    site.last().SendData(Event(1));
  }

  bool IsLateByPause() const {
    return site.metrics.Text().find(kLate) != std::string::npos;
  }
  bool IsInTime() const {
    return site.metrics.Text().find("in_time=\"yes\"") != std::string::npos;
  }

  FakeSite site;
};

// Guards against a pause that is judged by the attempt's events alone: the
// caller also waits while another server resumes its stream.
BOOST_AUTO_TEST_CASE(AResumedStreamIsLateByThePauseBetweenItsAttempts) {
  Fixture fixture;
  fixture.site.AdvanceTime(absl::Milliseconds(200));
  fixture.site.last().Finish(http::TransferEnd::kBroken);
  BOOST_REQUIRE(fixture.site.calls.size() == 2u);
  fixture.site.last().SendHead(200);
  fixture.site.AdvanceTime(absl::Milliseconds(101));
  fixture.site.last().SendData(Event(2));
  fixture.site.last().Finish();
  BOOST_TEST(fixture.IsLateByPause());
  BOOST_TEST(!fixture.IsInTime());
}

// Guards against a bound that counts the time to the end of the response, or
// that is exclusive.
BOOST_AUTO_TEST_CASE(AStreamWithPausesOfTheBoundIsInTime) {
  Fixture fixture;
  for (int id = 2; id < 6; ++id) {
    fixture.site.AdvanceTime(absl::Milliseconds(300));
    fixture.site.last().SendData(Event(id));
  }
  fixture.site.AdvanceTime(absl::Milliseconds(400));
  fixture.site.last().Finish();
  BOOST_TEST(!fixture.IsLateByPause());
  BOOST_TEST(fixture.IsInTime());
}

BOOST_AUTO_TEST_CASE(WithoutABoundAPauseMakesNoStreamLate) {
  Fixture fixture(absl::InfiniteDuration());
  fixture.site.AdvanceTime(absl::Seconds(3));
  fixture.site.last().SendData(Event(2));
  fixture.site.last().Finish();
  BOOST_TEST(!fixture.IsLateByPause());
  BOOST_TEST(fixture.IsInTime());
}

// Guards against a typical pause that the longest one, which a prompt caused,
// distorts, and against events that arrive together.
BOOST_AUTO_TEST_CASE(TheTypicalPauseLeavesOutTheLongest) {
  PauseMeter meter;
  absl::Time now = absl::FromUnixSeconds(1000);
  meter.OnEvents(1, now);
  BOOST_TEST((meter.pauses() == schedule::EventPauses{}));
  meter.OnEvents(1, now += absl::Milliseconds(500));
  BOOST_TEST(meter.longest() == absl::Milliseconds(500));
  BOOST_TEST(meter.pauses().typical == absl::ZeroDuration());
  meter.OnEvents(2, now += absl::Milliseconds(80));
  BOOST_TEST(meter.longest() == absl::Milliseconds(500));
  BOOST_TEST(meter.pauses().typical == absl::Milliseconds(40));
}

}  // namespace
}  // namespace gentianlb::gateway
