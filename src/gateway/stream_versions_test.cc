// Tests, in virtual time, how hosts find the software version that began a
// stream.

#include "gateway/stream_versions.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace gentianlb::gateway {
namespace {

const ServiceId service("llm");
constexpr absl::Duration kLife = absl::Seconds(60);
constexpr int kStreams = 240;

// The share of taken up streams whose version must be found.
constexpr double kGoal = 0.9;

class Site {
 public:
  Site(int hosts, int zones, std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < hosts; ++i) {
      HostEntry entry;
      entry.host = "h" + std::to_string(i);
      entry.zone = "z" + std::to_string(i % zones);
      entries_.push_back(entry);
    }
    for (int i = 0; i < hosts; ++i) Start(i);
  }

  // Starts or restarts a host without memory.
  void Start(int host) {
    const HostEntry& entry = entries_.at(static_cast<std::size_t>(host));
    Host& state = hosts_[entry.host];
    state.versions = std::make_unique<StreamVersions>(
        EntryHostId(entry.host), ZoneId(entry.zone), &timers_,
        [this] { return now; },
        StreamVersionsHooks{
            .send = [this, from = entry](const EntryHostId& to,
                                         const StreamMessage& message) {
              Send(from, to.str(), message);
            }});
    state.up = true;
    state.versions->SetPeers(entries_);
    state.versions->SetServers(servers_);
  }

  void Kill(int host) { hosts_.at(Name(host)).up = false; }
  void CutOff(const std::string& zone) { cut_zone = zone; }

  // Sets the versions of the registered servers, one of each.
  void SetVersions(const std::vector<std::string>& versions) {
    servers_.clear();
    for (const std::string& version : versions) {
      ServerEntry entry;
      entry.id = ServerId("s" + version);
      entry.service = service;
      entry.version = version;
      servers_.push_back(entry);
    }
    for (auto& [name, host] : hosts_) host.versions->SetServers(servers_);
  }

  void Begin(int host, int stream, const std::string& version) {
    hosts_.at(Name(host))
        .versions->OnBegin(service, IdOf(stream), version, now + kLife);
  }

  // Returns the version that a host finds; "-" if none is known, "" if there is
  // no answer at all.
  std::string Find(int host, int stream) {
    auto found = std::make_shared<std::string>();
    hosts_.at(Name(host))
        .versions->Find(service, IdOf(stream), kLife,
                        [found](const StreamFinding& finding) {
                          *found = finding.version.value_or("-");
                        });
    Pass(absl::Milliseconds(100));
    return *found;
  }

  void Pass(absl::Duration span) {
    for (const absl::Time end = now + span; now < end;) {
      now += absl::Milliseconds(1);
      timers_.Advance(now);
      Deliver();
    }
  }

  int Random(int below) {
    return static_cast<int>(random_() % static_cast<unsigned>(below));
  }

  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  unsigned lost_percent = 0;
  std::string cut_zone;
  int sent = 0;

 private:
  struct Host {
    std::unique_ptr<StreamVersions> versions;
    bool up = false;
  };
  struct Datagram {
    absl::Time due;
    std::string from_zone;
    std::string to;
    StreamMessage message;
  };

  static std::string Name(int host) { return "h" + std::to_string(host); }
  static StreamId IdOf(int stream) {
    return StreamIdOf(RequestId(std::to_string(stream)));
  }

  std::string ZoneOf(const std::string& host) const {
    for (const HostEntry& entry : entries_) {
      if (entry.host == host) return entry.zone;
    }
    return "";
  }

  void Send(const HostEntry& from, const std::string& to,
            const StreamMessage& message) {
    ++sent;
    if (random_() % 100 < lost_percent) return;
    const auto decoded = DecodeStreamMessage(Encode(message));
    BOOST_REQUIRE(decoded.has_value());
    queue_.push_back(
        {now + absl::Milliseconds(1 + Random(4)), from.zone, to, *decoded});
  }

  void Deliver() {
    for (Datagram& datagram : std::exchange(queue_, {})) {
      Host& to = hosts_.at(datagram.to);
      const bool crosses =
          (datagram.from_zone == cut_zone) != (ZoneOf(datagram.to) == cut_zone);
      if (datagram.due > now) {
        queue_.push_back(std::move(datagram));
      } else if (to.up && !crosses) {
        to.versions->HandleMessage(datagram.message);
      }
    }
  }

  std::mt19937_64 random_;
  TimerService timers_;
  std::vector<HostEntry> entries_;
  std::vector<ServerEntry> servers_;
  std::map<std::string, Host> hosts_;
  std::vector<Datagram> queue_;
};

const std::vector<std::string> versions = {"v1", "v2"};

std::string VersionOf(int stream) {
  return versions.at(static_cast<std::size_t>(stream) % 2);
}

struct Result {
  int found = 0;
  int wrong = 0;
  int unanswered = 0;
};

// Takes all streams up over hosts other than `down`.
Result TakeUp(Site& site, int hosts, int down) {
  Result result;
  for (int i = 0; i < kStreams; ++i) {
    int host = site.Random(hosts);
    if (host == down) host = (host + 1) % hosts;
    const std::string version = site.Find(host, i);
    result.found += version == VersionOf(i) ? 1 : 0;
    result.unanswered += version.empty() ? 1 : 0;
    result.wrong +=
        !version.empty() && version != "-" && version != VersionOf(i) ? 1 : 0;
  }
  return result;
}

struct Size {
  int hosts;
  int zones;
};
const std::vector<Size> sizes = {{2, 1}, {8, 3}, {64, 4}};

// Guards against streams that go on at another version because the host over
// which they began is killed, and messages are lost.
BOOST_AUTO_TEST_CASE(AnyHostFindsTheVersionAfterAnotherIsKilled) {
  for (const auto& [hosts, zones] : sizes) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      Site site(hosts, zones, seed);
      site.lost_percent = 2;
      site.SetVersions(versions);
      for (int i = 0; i < kStreams; ++i) {
        site.Begin(site.Random(hosts), i, VersionOf(i));
      }
      site.Pass(absl::Milliseconds(20));
      site.Kill(0);
      const Result result = TakeUp(site, hosts, /*down=*/0);
      BOOST_TEST(result.wrong == 0, hosts << " hosts, seed " << seed);
      BOOST_TEST(result.unanswered == 0, hosts << " hosts, seed " << seed);
      BOOST_TEST(result.found >= kGoal * kStreams,
                 hosts << " hosts, seed " << seed << ": " << result.found);
    }
  }
}

// Guards against a restarted host that guesses, as it has seen one version
// only.
BOOST_AUTO_TEST_CASE(ARestartedHostAsksItsPeers) {
  Site site(8, 3, 1);
  site.SetVersions({"v1"});
  site.Pass(kLife);
  for (int i = 0; i < kStreams; i += 2) site.Begin(1 + i % 7, i, "v1");
  site.SetVersions(versions);
  site.Pass(absl::Seconds(1));
  site.SetVersions({"v2"});
  site.Start(0);
  for (int i = 0; i < kStreams; i += 2) BOOST_TEST(site.Find(0, i) == "v1");
  // This one began nowhere.
  BOOST_TEST(site.Find(0, kStreams) == "-");
}

// Guards against streams whose version is lost with their host, as a single
// version served when they began.
BOOST_AUTO_TEST_CASE(StreamsBegunBeforeASecondVersionAreReplicated) {
  Site site(8, 3, 1);
  site.SetVersions({"v1"});
  site.Pass(kLife);
  for (int i = 0; i < kStreams; i += 2) site.Begin(0, i, "v1");
  BOOST_TEST(site.sent == 0);
  site.SetVersions(versions);
  site.Pass(absl::Milliseconds(20));
  site.Kill(0);
  for (int i = 0; i < kStreams; i += 2) {
    BOOST_TEST(site.Find(1 + i % 7, i) == "v1");
  }
}

BOOST_AUTO_TEST_CASE(ASingleVersionNeedsNoMessage) {
  Site site(8, 3, 1);
  site.SetVersions({"v1"});
  site.Pass(kLife);
  site.Begin(0, 0, "v1");
  BOOST_TEST(site.Find(1, 0) == "v1");
  BOOST_TEST(site.sent == 0);
}

// Guards against a guess where all that knew were killed at once.
BOOST_AUTO_TEST_CASE(AStreamThatNobodyKnowsHasNoVersion) {
  Site site(8, 3, 1);
  site.SetVersions(versions);
  for (int i = 0; i < kStreams; ++i) site.Begin(i % 8, i, VersionOf(i));
  site.Pass(absl::Milliseconds(20));
  for (int i = 0; i < 8; ++i) site.Start(i);
  for (int i = 0; i < kStreams; ++i) BOOST_TEST(site.Find(i % 8, i) == "-");
}

// Guards against callers in a zone that is cut off whose streams don't go on.
BOOST_AUTO_TEST_CASE(AZoneThatIsCutOffKnowsItsStreams) {
  Site site(8, 2, 1);
  site.SetVersions(versions);
  for (int i = 0; i < kStreams; ++i) site.Begin(2 * (i % 4), i, VersionOf(i));
  site.Pass(absl::Milliseconds(20));
  site.CutOff("z0");
  site.Kill(0);
  for (int i = 0; i < kStreams; ++i) {
    BOOST_TEST(site.Find(2 + 2 * (i % 3), i) == VersionOf(i));
  }
}

// Bounds what replication costs.
BOOST_AUTO_TEST_CASE(AStreamCostsTwoMessages) {
  Site site(64, 4, 1);
  site.SetVersions(versions);
  for (int i = 0; i < kStreams; ++i) site.Begin(i % 64, i, VersionOf(i));
  BOOST_TEST(site.sent <= 2 * kStreams);
}

}  // namespace
}  // namespace gentianlb::gateway
