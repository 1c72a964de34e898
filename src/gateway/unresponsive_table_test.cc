// Tests, in virtual time, several hosts that subscribe to a table service which
// accepts calls and for a while does not answer them.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "gateway/fake_table_test.h"
#include "gateway/monitor_election.h"
#include "gateway/table_subscriber.h"

namespace gentianlb::gateway {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(10);
constexpr absl::Duration kUpdatePeriod = absl::Milliseconds(100);
const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

class Hosts {
 public:
  explicit Hosts(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      const std::string name = "h" + std::to_string(i);
      elections_.push_back(std::make_unique<MonitorElection>(name, now));
      subscribers_.push_back(std::make_unique<TableSubscriber>(
          TableSubscriberOptions{.table = "t"}, table.PortFor(i), &timers,
          [this] { return now; }, i + 1,
          [](const std::vector<TableRow>&, bool, absl::Time) {},
          [](bool, absl::Time) {}));
      subscribers_.back()->Start();
    }
  }

  void Pass(absl::Duration span) {
    for (const absl::Time end = now + span; now < end;) {
      now += kStep;
      timers.Advance(now);
      table.Step();
      if ((now - start) % kUpdatePeriod == absl::ZeroDuration()) Publish();
    }
  }

  std::size_t CountLagging() const {
    std::size_t lagging = 0;
    for (const auto& subscriber : subscribers_) {
      lagging += subscriber->newest_change() < table.version() ? 1 : 0;
    }
    return lagging;
  }

  absl::Time now = start;
  TimerService timers;
  FakeTableService table{&now};

 private:
  void Publish() {
    for (std::size_t from = 0; from < subscribers_.size(); ++from) {
      FleetUpdate update;
      update.sender.host = "h" + std::to_string(from);
      update.period_ms = 250;
      update.tables = {{HashName("t"), subscribers_[from]->History(),
                        subscribers_[from]->up()}};
      for (std::size_t to = 0; to < subscribers_.size(); ++to) {
        if (to == from || to == table.cut || from == table.cut) continue;
        elections_[to]->RecordUpdate(update, now);
        subscribers_[to]->RecordPeerHistory(update.tables[0].history);
      }
    }
    for (std::size_t i = 0; i < subscribers_.size(); ++i) {
      subscribers_[i]->SetMonitoring(
          elections_[i]->IsMonitor(subscribers_[i]->up(), now));
    }
  }

  std::vector<std::unique_ptr<MonitorElection>> elections_;
  std::vector<std::unique_ptr<TableSubscriber>> subscribers_;
};

// Times at which a waiting call has just begun, is in the middle of its wait,
// or is near its end.
const std::vector<absl::Duration> moments = {
    absl::Seconds(3),  absl::Milliseconds(3350), absl::Milliseconds(3900),
    absl::Seconds(10), absl::Seconds(28),        absl::Milliseconds(29050),
    absl::Seconds(31), absl::Seconds(40)};

// The service becomes unresponsive for five seconds at any time of a call, and
// the operator changes the configuration just after. Every host must have the
// change three seconds after the outage, or callers are served by a withdrawn
// configuration.
BOOST_AUTO_TEST_CASE(AllHostsHaveAChangeSoonAfterAnUnresponsiveService) {
  for (const std::size_t count : {1u, 2u, 8u}) {
    for (const absl::Duration moment : moments) {
      Hosts hosts(count);
      hosts.Pass(moment);
      hosts.table.SetUnresponsive(true);
      hosts.Pass(absl::Seconds(5));
      hosts.table.SetUnresponsive(false);
      hosts.Pass(absl::Milliseconds(600));
      hosts.table.Change();
      hosts.Pass(absl::Milliseconds(2400));
      BOOST_TEST(hosts.CountLagging() == 0u, count << " hosts, at " << moment);
    }
  }
}

// One host is cut off, and the service becomes unresponsive before the cut
// ends, so that the host's next call is not answered either.
BOOST_AUTO_TEST_CASE(AHostThatWasCutOffHasTheChangeToo) {
  for (const absl::Duration moment : moments) {
    for (std::size_t cut = 0; cut < 3; ++cut) {
      Hosts hosts(3);
      hosts.Pass(moment);
      hosts.table.Cut(cut);
      hosts.Pass(absl::Seconds(1));
      hosts.table.SetUnresponsive(true);
      hosts.Pass(absl::Seconds(4));
      hosts.table.cut = static_cast<std::size_t>(-1);
      hosts.Pass(absl::Seconds(1));
      hosts.table.SetUnresponsive(false);
      hosts.Pass(absl::Milliseconds(600));
      hosts.table.Change();
      hosts.Pass(absl::Milliseconds(2400));
      BOOST_TEST(hosts.CountLagging() == 0u, "cut " << cut << " at " << moment);
    }
  }
}

// Without changes one host makes a call per second for all, whatever their
// number.
BOOST_AUTO_TEST_CASE(IdleCallsHardlyGrowWithTheHosts) {
  Hosts few(1);
  few.Pass(absl::Minutes(1));
  Hosts many(50);
  many.Pass(absl::Minutes(1));
  BOOST_TEST(few.table.call_count <= 62);
  BOOST_TEST(many.table.call_count <= 62 + 50 * 4);
}

}  // namespace
}  // namespace gentianlb::gateway
