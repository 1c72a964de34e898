// Tests, in virtual time, that the versions of streams are known after all
// hosts were killed or restarted.

#include "gateway/stream_records.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "gateway/fake_stream_table_test.h"
#include "gateway/stream_versions.h"

namespace gentianlb::gateway {
namespace {

const ServiceId service("llm");
constexpr absl::Duration kLife = absl::Seconds(60);
constexpr absl::Duration kStep = absl::Milliseconds(5);

// The share of taken up streams whose version must be found.
constexpr double kGoal = 0.9;

// Hosts, their peers and the table.
class Site {
 public:
  explicit Site(int hosts, std::uint64_t seed = 1) : random_(seed) {
    for (int i = 0; i < hosts; ++i) {
      HostEntry entry;
      entry.host = "h" + std::to_string(i);
      entry.zone = "z" + std::to_string(i % 3);
      entries_.push_back(entry);
    }
    hosts_.resize(entries_.size());
  }

  void SetVersions(const std::vector<std::string>& versions) {
    servers_.clear();
    for (const std::string& version : versions) {
      ServerEntry entry;
      entry.id = ServerId("s" + version);
      entry.service = service;
      entry.version = version;
      servers_.push_back(entry);
    }
    for (Host& host : hosts_) {
      if (host.versions) host.versions->SetServers(servers_);
    }
  }

  void Start(int host) {
    Host& state = hosts_.at(static_cast<std::size_t>(host));
    const HostEntry& entry = entries_.at(static_cast<std::size_t>(host));
    state.versions.reset();
    state.records = std::make_unique<StreamRecords>(
        EntryHostId(entry.host), absl::ToUnixMicros(now), &timers_,
        [this] { return now; },
        StreamRecordsHooks{
            .read = [this](const std::string& from,
                           TableDone done) { table.Read(from, done); },
            .transact =
                [this](const RowChanges& changes, TransactionDone done) {
                  table.Transact(changes, done);
                },
            .versions =
                [&state] { return state.versions->RegisteredVersions(); },
            .on_read = [&state] { state.versions->OnRecordsRead(); }});
    state.versions = std::make_unique<StreamVersions>(
        EntryHostId(entry.host), ZoneId(entry.zone), &timers_,
        [this] { return now; },
        StreamVersionsHooks{.send = [this](const EntryHostId& to,
                                           const StreamMessage& message) {
          queue_.emplace_back(to.str(), message);
        }});
    state.records->SetHosts(hosts());
    state.versions->SetRecords(state.records.get());
    state.versions->SetPeers(entries_);
    state.versions->SetServers(servers_);
    state.records->Start();
  }
  void StartAll() {
    for (int i = 0; i < hosts(); ++i) Start(i);
  }

  void Kill(int host) { hosts_.at(static_cast<std::size_t>(host)) = {}; }
  void KillAll() {
    for (int i = 0; i < hosts(); ++i) Kill(i);
  }
  void Drain(int host) {
    hosts_.at(static_cast<std::size_t>(host)).records->Drain();
  }

  // Begins a stream at a host that is up. Returns its number.
  int Begin(const std::string& version, int host = -1) {
    if (host < 0) host = Random(hosts());
    const int stream = static_cast<int>(versions_.size());
    versions_.push_back(version);
    hosts_.at(static_cast<std::size_t>(host))
        .versions->OnBegin(service, IdOf(stream), version, now + kLife);
    return stream;
  }
  // Begins streams of the versions in turn over a time.
  void BeginFor(absl::Duration time, int streams,
                const std::vector<std::string>& versions, int host = -1) {
    for (int i = 0; i < streams; ++i) {
      Begin(versions[static_cast<std::size_t>(i) % versions.size()], host);
      Pass(time / streams);
    }
  }

  struct Result {
    int found = 0;
    int wrong = 0;
    int unanswered = 0;
    absl::Duration longest;
  };
  // Takes all streams up at the same time over random hosts.
  Result TakeUp() {
    Result result;
    const absl::Time from = now;
    auto answers = std::make_shared<std::vector<std::string>>(versions_.size());
    for (std::size_t i = 0; i < versions_.size(); ++i) {
      hosts_.at(static_cast<std::size_t>(Random(hosts())))
          .versions->Find(
              service, IdOf(static_cast<int>(i)), kLife,
              [this, answers, i, from, &result](const StreamFinding& finding) {
                (*answers)[i] = finding.version.value_or("-");
                result.longest = std::max(result.longest, now - from);
              });
    }
    Pass(absl::Seconds(2));
    for (std::size_t i = 0; i < versions_.size(); ++i) {
      const std::string& answer = (*answers)[i];
      result.found += answer == versions_[i] ? 1 : 0;
      result.unanswered += answer.empty() ? 1 : 0;
      result.wrong +=
          !answer.empty() && answer != "-" && answer != versions_[i] ? 1 : 0;
    }
    return result;
  }

  void Pass(absl::Duration span) {
    for (const absl::Time end = now + span; now < end;) {
      now += std::min(kStep, end - now);
      timers_.Advance(now);
      table.Step();
      for (const auto& [to, message] : std::exchange(queue_, {})) {
        Host& host = hosts_.at(std::stoul(to.substr(1)));
        const auto decoded = DecodeStreamMessage(Encode(message));
        if (host.versions) host.versions->HandleMessage(*decoded);
      }
    }
  }

  int hosts() const { return static_cast<int>(hosts_.size()); }
  int streams() const { return static_cast<int>(versions_.size()); }
  int Random(int below) {
    return static_cast<int>(random_() % static_cast<unsigned>(below));
  }

  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  FakeStreamTable table{&now};

 private:
  struct Host {
    std::unique_ptr<StreamRecords> records;
    std::unique_ptr<StreamVersions> versions;
  };

  static StreamId IdOf(int stream) {
    return StreamIdOf(RequestId(std::to_string(stream)));
  }

  std::mt19937_64 random_;
  TimerService timers_;
  std::vector<HostEntry> entries_;
  std::vector<ServerEntry> servers_;
  std::vector<std::pair<std::string, StreamMessage>> queue_;
  std::vector<std::string> versions_;  // That began each stream.
  std::vector<Host> hosts_;
};

const std::vector<std::string> both = {"v1", "v2"};
const std::vector<int> sizes = {2, 7, 60};

// Guards against streams that don't go on, as all hosts that knew them are
// killed at once.
BOOST_AUTO_TEST_CASE(VersionsAreKnownAfterAllHostsAreKilled) {
  for (const int hosts : sizes) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      Site site(hosts, seed);
      site.SetVersions(both);
      site.StartAll();
      site.Pass(absl::Seconds(3));
      site.BeginFor(absl::Seconds(20), 400, both);
      site.KillAll();
      site.Pass(absl::Milliseconds(500));
      site.StartAll();
      site.Pass(absl::Milliseconds(300));
      const Site::Result result = site.TakeUp();
      BOOST_TEST(result.wrong == 0);
      BOOST_TEST(result.unanswered == 0);
      BOOST_TEST(result.longest <= absl::Seconds(1));
      BOOST_TEST(result.found >= kGoal * site.streams(),
                 hosts << " hosts, seed " << seed << ": " << result.found);
    }
  }
}

// Guards against a guess by the version that is left.
BOOST_AUTO_TEST_CASE(VersionsAreKnownAfterTheOldOneHasLeft) {
  for (const int hosts : sizes) {
    Site site(hosts);
    site.SetVersions({"v1"});
    site.StartAll();
    site.Pass(2 * kLife);
    site.BeginFor(absl::Seconds(10), 200, {"v1"});
    site.SetVersions(both);
    site.Pass(absl::Milliseconds(500));
    site.SetVersions({"v2"});
    site.Pass(absl::Seconds(1));
    site.KillAll();
    site.StartAll();
    const Site::Result result = site.TakeUp();
    BOOST_TEST(result.wrong == 0);
    BOOST_TEST(result.found >= kGoal * site.streams(),
               hosts << " hosts: " << result.found);
  }
}

// Guards against a guess where the version was replaced while no host ran.
BOOST_AUTO_TEST_CASE(AVersionThatIsReplacedWhileNoHostRunsIsNotGuessed) {
  Site site(7);
  site.SetVersions({"v1"});
  site.StartAll();
  site.Pass(2 * kLife);
  site.BeginFor(absl::Seconds(10), 200, {"v1"});
  site.KillAll();
  site.SetVersions({"v2"});
  site.StartAll();
  BOOST_TEST(site.TakeUp().wrong == 0);
  // Nor when all are killed once more.
  site.Pass(absl::Seconds(10));
  site.KillAll();
  site.StartAll();
  BOOST_TEST(site.TakeUp().wrong == 0);
}

// Guards against a guess where the hosts that were killed could write nothing.
BOOST_AUTO_TEST_CASE(AnEmptyTableIsNoReasonToGuess) {
  Site site(7);
  site.table.down = true;
  site.SetVersions({"v1"});
  site.StartAll();
  site.BeginFor(absl::Seconds(10), 200, {"v1"});
  site.KillAll();
  site.table.down = false;
  site.SetVersions({"v2"});
  site.StartAll();
  site.Pass(absl::Seconds(2));
  BOOST_TEST(site.TakeUp().wrong == 0);
}

// Guards against streams that are refused although one version alone serves.
BOOST_AUTO_TEST_CASE(ASingleVersionIsKnownAfterAllHostsAreKilled) {
  Site site(7);
  site.SetVersions({"v1"});
  site.StartAll();
  site.Pass(2 * kLife);
  site.BeginFor(absl::Seconds(10), 200, {"v1"});
  site.KillAll();
  site.StartAll();
  BOOST_TEST(site.TakeUp().found == site.streams());
}

// The same soon after the first start of the site.
BOOST_AUTO_TEST_CASE(ASingleVersionIsKnownSoonAfterTheFirstStart) {
  Site site(7);
  site.SetVersions({"v1"});
  site.StartAll();
  site.BeginFor(absl::Seconds(10), 200, {"v1"});
  site.KillAll();
  site.StartAll();
  BOOST_TEST(site.TakeUp().found == site.streams());
}

// Guards against a rolling restart that empties one memory after the other.
BOOST_AUTO_TEST_CASE(VersionsAreKnownAfterARollingRestart) {
  for (const int hosts : {3, 7}) {
    Site site(hosts);
    site.SetVersions(both);
    site.StartAll();
    site.Pass(absl::Seconds(3));
    site.BeginFor(absl::Seconds(1), 100, both, /*host=*/0);
    for (int i = 0; i < hosts; ++i) {
      site.Drain(i);
      site.Pass(absl::Seconds(3));
      site.Kill(i);
      site.Pass(absl::Milliseconds(200));
      site.Start(i);
    }
    site.Pass(absl::Milliseconds(500));
    const Site::Result result = site.TakeUp();
    BOOST_TEST(result.wrong == 0);
    BOOST_TEST(result.found >= kGoal * site.streams(), result.found);
  }
}

// Guards against a version that is forgotten, or guessed, as calls fail.
BOOST_AUTO_TEST_CASE(AFailingTableMakesNoWrongVersion) {
  for (const bool is_read_down : {false, true}) {
    for (const unsigned lost : {0U, 30U, 100U}) {
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Site site(7, seed);
        site.SetVersions({"v1"});
        site.StartAll();
        site.Pass(absl::Seconds(3));
        site.table.lost_percent = lost;
        site.table.down = !is_read_down && lost == 0;
        site.BeginFor(absl::Seconds(5), 100, {"v1"});
        site.SetVersions(both);
        site.BeginFor(absl::Seconds(5), 100, both);
        site.SetVersions({"v2"});
        site.Pass(absl::Seconds(5));
        site.KillAll();
        site.table.down = is_read_down;
        site.StartAll();
        const Site::Result result = site.TakeUp();
        BOOST_TEST(result.wrong == 0, "lost " << lost << ", seed " << seed);
        BOOST_TEST(result.unanswered == 0);
        BOOST_TEST(result.longest <= absl::Seconds(1));
      }
    }
  }
}

// Guards against records that end with a call that gets no answer.
BOOST_AUTO_TEST_CASE(ATableThatLosesSomeAnswersHoldsTheVersions) {
  Site site(7);
  site.SetVersions(both);
  site.StartAll();
  site.Pass(absl::Seconds(3));
  site.table.lost_percent = 10;
  site.BeginFor(absl::Seconds(20), 400, both);
  site.Pass(absl::Seconds(5));
  site.KillAll();
  site.table.lost_percent = 0;
  site.StartAll();
  const Site::Result result = site.TakeUp();
  BOOST_TEST(result.wrong == 0);
  BOOST_TEST(result.found >= kGoal * site.streams(), result.found);
}

BOOST_AUTO_TEST_CASE(ASlowTableHoldsTheVersions) {
  Site site(7);
  site.table.answer_time = absl::Milliseconds(250);
  site.SetVersions(both);
  site.StartAll();
  site.Pass(absl::Seconds(3));
  site.BeginFor(absl::Seconds(20), 400, both);
  site.KillAll();
  site.StartAll();
  const Site::Result result = site.TakeUp();
  BOOST_TEST(result.wrong == 0);
  BOOST_TEST(result.found >= kGoal * site.streams(), result.found);
}

// Bounds what records cost while one version serves.
BOOST_AUTO_TEST_CASE(ASingleVersionCostsOneWriteAStart) {
  Site site(7);
  site.SetVersions({"v1"});
  site.StartAll();
  for (int i = 0; i < 10; ++i) site.BeginFor(kLife, 60, {"v1"});
  BOOST_TEST(site.table.writes == site.hosts());
  BOOST_TEST(site.table.reads <= 2 * site.hosts());
  BOOST_TEST(site.table.rows().size() == 7u);
}

// Guards against rows that stay for ever.
BOOST_AUTO_TEST_CASE(RowsOfEndedStreamsAreDropped) {
  Site site(7);
  site.SetVersions(both);
  site.StartAll();
  site.Pass(absl::Seconds(3));
  site.table.lost_percent = 10;
  site.BeginFor(absl::Seconds(20), 400, both);
  site.KillAll();
  site.StartAll();
  site.BeginFor(absl::Seconds(20), 400, both);
  site.table.lost_percent = 0;
  site.SetVersions({"v2"});
  site.Pass(4 * kLife);
  BOOST_TEST(site.table.rows().size() == 7u);
}

// Guards against versions of hosts that never come back, which would make
// streams of a single version be refused.
BOOST_AUTO_TEST_CASE(RowsOfHostsThatDontComeBackAreDropped) {
  Site site(7);
  site.SetVersions({"v1"});
  site.StartAll();
  site.Pass(absl::Seconds(3));
  site.Kill(0);
  site.SetVersions({"v2"});
  site.Pass(absl::Minutes(11));
  BOOST_TEST(site.table.rows().size() == 7u);
  site.Kill(1);
  site.Start(1);
  site.Pass(4 * kLife);
  BOOST_TEST(site.table.rows().size() == 6u);
}

// Bounds what records cost while two versions serve: calls and bytes of all
// hosts in a second, and of one read.
BOOST_AUTO_TEST_CASE(CallsStayBelowTheRatesOfTheService) {
  struct Size {
    int hosts;
    int streams_per_second;
  };
  for (const auto& [hosts, streams] : {Size{7, 140}, {60, 1200}, {300, 1200}}) {
    Site site(hosts);
    site.SetVersions({"v1"});
    site.StartAll();
    site.Pass(absl::Seconds(20));
    BOOST_TEST(site.table.writes == hosts);
    site.SetVersions(both);
    constexpr int kSeconds = 90;
    const int writes_before = site.table.writes;
    const std::size_t bytes_before = site.table.written_bytes;
    int most = 0;
    for (int i = 0; i < kSeconds; ++i) {
      const int before = site.table.writes;
      site.BeginFor(absl::Seconds(1), streams, both);
      most = std::max(most, site.table.writes - before);
    }
    std::size_t table_bytes = 0;
    for (const auto& [key, row] : site.table.rows()) {
      table_bytes += row.value.size();
    }
    const int pages_before = site.table.reads;
    site.Kill(0);
    site.Start(0);
    site.Pass(absl::Seconds(2));
    BOOST_TEST_MESSAGE(
        hosts << " hosts: writes/s "
              << (site.table.writes - writes_before) / kSeconds << ", most "
              << most << ", bytes/s "
              << (site.table.written_bytes - bytes_before) / kSeconds
              << ", rows " << site.table.rows().size() << " of " << table_bytes
              << " bytes, pages of a read " << site.table.reads - pages_before
              << ", largest row " << site.table.largest_row
              << ", entries of a call " << site.table.largest_call);
    BOOST_TEST(most <= 250);
    BOOST_TEST((site.table.writes - writes_before) / kSeconds <= 60);
    BOOST_TEST(site.table.largest_row <= 65536u);
    BOOST_TEST(site.table.largest_call <= FakeStreamTable::kMaxEntries);
  }
}

}  // namespace
}  // namespace gentianlb::gateway
