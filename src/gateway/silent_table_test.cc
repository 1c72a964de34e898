// Several hosts follow a table service that takes calls in and says nothing for
// a while, in virtual time.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "gateway/fake_table_test.h"
#include "gateway/table_follower.h"
#include "gateway/table_watch.h"

namespace gentianlb::gateway {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(10);
constexpr absl::Duration kNewsPeriod = absl::Milliseconds(100);
const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

class Hosts {
 public:
  explicit Hosts(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      const std::string name = "h" + std::to_string(i);
      watches_.push_back(std::make_unique<TableWatch>(name, now));
      followers_.push_back(std::make_unique<TableFollower>(
          TableFollowerOptions{.table = "t"}, table.PortFor(i), &timers,
          [this] { return now; }, i + 1,
          [](const std::vector<TableRow>&, bool, absl::Time) {},
          [](bool, absl::Time) {}));
      followers_.back()->Start();
    }
  }

  void Pass(absl::Duration span) {
    for (const absl::Time end = now + span; now < end;) {
      now += kStep;
      timers.Advance(now);
      table.Step();
      if ((now - start) % kNewsPeriod == absl::ZeroDuration()) Tell();
    }
  }

  std::size_t Behind() const {
    std::size_t behind = 0;
    for (const auto& follower : followers_) {
      behind += follower->newest_change() < table.version() ? 1 : 0;
    }
    return behind;
  }

  absl::Time now = start;
  TimerService timers;
  FakeTableService table{&now};

 private:
  void Tell() {
    for (std::size_t from = 0; from < followers_.size(); ++from) {
      FleetNews news;
      news.sender.host = "h" + std::to_string(from);
      news.period_ms = 250;
      news.tables = {
          {HashName("t"), followers_[from]->Known(), followers_[from]->up()}};
      for (std::size_t to = 0; to < followers_.size(); ++to) {
        if (to == from || to == table.cut || from == table.cut) continue;
        watches_[to]->Heard(news, now);
        followers_[to]->HeardOf(news.tables[0].known);
      }
    }
    for (std::size_t i = 0; i < followers_.size(); ++i) {
      followers_[i]->SetWatching(
          watches_[i]->IsWatcher(followers_[i]->up(), now));
    }
  }

  std::vector<std::unique_ptr<TableWatch>> watches_;
  std::vector<std::unique_ptr<TableFollower>> followers_;
};

// All that a call may be at: just made, in the middle of its wait, near its
// end.
const std::vector<absl::Duration> moments = {
    absl::Seconds(3),  absl::Milliseconds(3350), absl::Milliseconds(3900),
    absl::Seconds(10), absl::Seconds(28),        absl::Milliseconds(29050),
    absl::Seconds(31), absl::Seconds(40)};

// The service falls silent at any moment of a call's life, for five seconds,
// and the operator changes the configuration just after. Three seconds later
// every host must know of it; callers would otherwise be served by what was
// withdrawn.
BOOST_AUTO_TEST_CASE(AllHostsKnowAChangeSoonAfterASilence) {
  for (const std::size_t count : {1u, 2u, 8u}) {
    for (const absl::Duration moment : moments) {
      Hosts hosts(count);
      hosts.Pass(moment);
      hosts.table.SetSilent(true);
      hosts.Pass(absl::Seconds(5));
      hosts.table.SetSilent(false);
      hosts.Pass(absl::Milliseconds(600));
      hosts.table.Change();
      hosts.Pass(absl::Milliseconds(2400));
      BOOST_TEST(hosts.Behind() == 0u, count << " hosts, at " << moment);
    }
  }
}

// One host is cut off, and the service falls silent before the cut ends: the
// call that follows the cut is swallowed too.
BOOST_AUTO_TEST_CASE(AHostThatWasCutOffKnowsItToo) {
  for (const absl::Duration moment : moments) {
    for (std::size_t cut = 0; cut < 3; ++cut) {
      Hosts hosts(3);
      hosts.Pass(moment);
      hosts.table.Cut(cut);
      hosts.Pass(absl::Seconds(1));
      hosts.table.SetSilent(true);
      hosts.Pass(absl::Seconds(4));
      hosts.table.cut = static_cast<std::size_t>(-1);
      hosts.Pass(absl::Seconds(1));
      hosts.table.SetSilent(false);
      hosts.Pass(absl::Milliseconds(600));
      hosts.table.Change();
      hosts.Pass(absl::Milliseconds(2400));
      BOOST_TEST(hosts.Behind() == 0u, "cut " << cut << " at " << moment);
    }
  }
}

// On a calm day one host pays for all: a call a second, whatever the size.
BOOST_AUTO_TEST_CASE(CallsOfACalmMinuteHardlyGrowWithTheHosts) {
  Hosts few(1);
  few.Pass(absl::Minutes(1));
  Hosts many(50);
  many.Pass(absl::Minutes(1));
  BOOST_TEST(few.table.calls <= 62);
  BOOST_TEST(many.table.calls <= 62 + 50 * 4);
}

}  // namespace
}  // namespace gentianlb::gateway
