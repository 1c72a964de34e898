// Entry hosts that dispatch for each other, before servers that end as they
// begin to write on a prompt with a certain part.

#include <boost/test/unit_test.hpp>

#include "gateway/deadly_site_test.h"

namespace gentianlb::gateway {
namespace {

using schedule::PartHash;

constexpr PartHash kSystem = 1;    // Begins all prompts.
constexpr PartHash kCallers = 10;  // The first of ten callers' parts.
constexpr PartHash kDeadly = 2;
// Allowed are five servers that end, and three requests later.
constexpr int kMaxSends = 8;
constexpr double kServedShare = 0.95;

class Site : public DeadlySite {
 public:
  explicit Site(int hosts, unsigned seed = 1) : DeadlySite(hosts, seed) {
    MakeDeadly(kDeadly);
    RestartServers();
    Run(absl::Milliseconds(500), 0);
  }

  // Sends a sound prompt each 20 ms and a deadly one each 200 ms.
  void RunMixed(absl::Duration span) {
    constexpr absl::Duration kSoundGap = absl::Milliseconds(20);
    constexpr int kSoundForEachDeadly = 10;
    for (const absl::Time end = groups.now + span; groups.now < end;) {
      const PartHash caller = kCallers + number_ % 10;
      SendPrompt({kSystem, caller});
      if (++number_ % kSoundForEachDeadly == 0) {
        SendPrompt({kSystem, caller, kDeadly});
      }
      Run(kSoundGap, 0);
    }
  }

 private:
  unsigned number_ = 0;
};

// Guards against requests, no two alike, whose one common part ends server
// after server.
BOOST_AUTO_TEST_CASE(APartEndsFewServers) {
  for (const int hosts : {8, 64}) {
    for (unsigned seed = 1; seed <= 10; ++seed) {
      Site site(hosts, seed);
      site.RunMixed(absl::Seconds(5));
      site.Run(absl::Seconds(1), 0);
      BOOST_TEST(site.DeadlySends() <= kMaxSends);
      BOOST_TEST(site.sound_served >= kServedShare * site.sound_sent);
    }
  }
}

// Guards against a caller whose sound requests are refused for good, since its
// part came along with the deadly one and no other caller sends it.
BOOST_AUTO_TEST_CASE(APartThatCameAlongIsServed) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    Site site(8, seed);
    for (int i = 0; i < 5; ++i) {
      site.SendPrompt({kSystem, kCallers, kDeadly});
      site.Run(absl::Milliseconds(200), 0);
    }
    for (int i = 0; i < 3; ++i) site.SendPrompt({kSystem, kCallers});
    site.SendPrompt({kSystem, kCallers, kDeadly});
    site.Run(absl::Seconds(1), 0);
    BOOST_TEST(site.sound_served == 3);
    BOOST_TEST(site.DeadlySends() <= kMaxSends);
  }
}

// Guards against sound requests that are refused as suspects when all servers
// crash at once, and again.
BOOST_AUTO_TEST_CASE(ServersThatAllCrashCondemnNoPart) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    Site site(8, seed);
    for (int round = 0; round < 4; ++round) {
      for (int i = 0; i < 50; ++i) {
        site.SendPrompt({kSystem, kCallers});
        site.Run(absl::Milliseconds(2), 0);
      }
      for (const ServerEntry& entry : site.groups.entries) {
        site.EndServer(entry.id.str());
      }
      site.Run(absl::Seconds(4), 0);
    }
    BOOST_TEST(site.harmless_suspected == 0);
  }
}

// Guards against a part that ends servers anew once hosts that knew it have
// been started again, one after the other.
BOOST_AUTO_TEST_CASE(HostsThatStartAgainKnowTheDeadlyParts) {
  for (const int hosts : {4, 8, 64}) {
    for (unsigned seed = 1; seed <= 5; ++seed) {
      Site site(hosts, seed);
      site.RunMixed(absl::Seconds(2));
      const int before = site.DeadlySends();
      for (int i = 0; i < hosts; ++i) {
        site.StartHostAgain("h" + std::to_string(i));
        site.RunMixed(absl::Milliseconds(500));
      }
      BOOST_TEST(site.DeadlySends() == before);
    }
  }
}

// Guards against the same for contents.
BOOST_AUTO_TEST_CASE(HostsThatStartAgainKnowTheDeadlyRequests) {
  constexpr schedule::ContentHash kContent = 1;
  for (const int hosts : {4, 8, 64}) {
    Site site(hosts);
    site.SendDeadly(kContent);
    site.Run(absl::Seconds(1), 0);
    const int before = site.SendsOf(kContent);
    for (int i = 0; i < hosts; ++i) {
      site.StartHostAgain("h" + std::to_string(i));
      site.Run(absl::Milliseconds(300), 0);
      site.SendDeadly(kContent);
      site.Run(absl::Milliseconds(200), 0);
    }
    BOOST_TEST(site.SendsOf(kContent) == before);
  }
}

}  // namespace
}  // namespace gentianlb::gateway
