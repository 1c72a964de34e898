#include "schedule/suspect_parts.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace gentianlb::schedule {
namespace {

using Prompt = std::vector<PromptPart>;

constexpr PartHash kSystem = 1;  // Begins all prompts.
constexpr PartHash kCaller = 2;
constexpr PartHash kDeadly = 3;
constexpr absl::Duration kMs = absl::Milliseconds(1);
const absl::Time start = absl::FromUnixSeconds(1000);

ServerId Server(int number) { return ServerId("s" + std::to_string(number)); }

// Returns a prompt with these parts and one of its own.
Prompt With(const std::vector<PartHash>& parts) {
  static PartHash own = 1000;
  Prompt prompt;
  for (const PartHash part : parts) prompt.push_back({part, 100});
  prompt.push_back({++own, 100});
  return prompt;
}

class Fixture {
 public:
  // Loses the next server under `prompt`.
  void Lose(const Prompt& prompt,
            ResponseProgress progress = ResponseProgress::kBegun) {
    parts.OnServerLost(prompt, Server(next_++), progress, now);
    now += kMs;
  }
  void LoseTimes(int times, const std::vector<PartHash>& held,
                 ResponseProgress progress = ResponseProgress::kBegun) {
    for (int i = 0; i < times; ++i) Lose(With(held), progress);
  }
  bool MayRun(const std::vector<PartHash>& held) const {
    return !parts.FindDeadly(With(held), now).has_value();
  }

  SuspectParts parts;
  absl::Time now = start;

 private:
  int next_ = 0;
};

// Guards against requests, no two alike, that end a fourth server.
BOOST_FIXTURE_TEST_CASE(ThreeServersThatEndedAsTheyBeganAreTheMost, Fixture) {
  LoseTimes(2, {kSystem, kCaller, kDeadly});
  BOOST_TEST(MayRun({kDeadly}));
  LoseTimes(1, {kSystem, kCaller + 10, kDeadly});
  BOOST_TEST(!MayRun({kSystem, kCaller, kDeadly}));
  BOOST_TEST(!MayRun({kDeadly, kSystem}));
  BOOST_TEST(parts.CountDeadly(now) == 2u);  // The first part as well.
}

// Guards against sound requests that are refused since they share other parts
// with a deadly one.
BOOST_FIXTURE_TEST_CASE(PartsThatCameAlongAreToldApart, Fixture) {
  LoseTimes(4, {kSystem, kCaller, kDeadly});
  BOOST_TEST(MayRun({kSystem, kCaller}));
  BOOST_TEST(MayRun({kSystem}));
  BOOST_TEST(!MayRun({kSystem, kCaller, kDeadly}));
  parts.OnWritten(With({kSystem, kCaller}));
  BOOST_TEST(!MayRun({kSystem, kCaller + 10, kDeadly}));
  BOOST_TEST(parts.size() == 1u);
}

// Guards against a deadly part that is let through for ever as another one that
// came along could explain its losses.
BOOST_FIXTURE_TEST_CASE(ADeadlyPartAloneIsFoundAfterThreeMore, Fixture) {
  LoseTimes(3, {kCaller, kDeadly});
  int sent = 0;
  while (MayRun({kDeadly}) && sent < 10) {
    ++sent;
    LoseTimes(1, {kDeadly});
  }
  BOOST_TEST(sent == 3);
}

// Guards against a popular part that passes for deadly as servers crash.
BOOST_FIXTURE_TEST_CASE(APartThatIsWrittenOnIsCleared, Fixture) {
  LoseTimes(2, {kSystem});
  parts.OnWritten(With({kSystem}));
  LoseTimes(2, {kSystem});
  BOOST_TEST(MayRun({kSystem}));
  BOOST_TEST(parts.size() == 1u);
}

// Guards against a route whose first part passes for deadly when all servers of
// its service crash in one instant and nothing completes.
BOOST_AUTO_TEST_CASE(ServersThatCrashInOneInstantAccuseNoPartUnderWay) {
  for (const bool under_way_first : {false, true}) {
    Fixture site;
    const auto lose_under_way = [&] {
      site.LoseTimes(2, {kSystem}, ResponseProgress::kUnderWay);
    };
    if (under_way_first) lose_under_way();
    site.LoseTimes(5, {kSystem}, ResponseProgress::kBegun);
    if (!under_way_first) lose_under_way();
    site.LoseTimes(5, {kSystem}, ResponseProgress::kNone);
    BOOST_TEST(site.MayRun({kSystem}));
    BOOST_TEST(site.parts.size() == 0u);
  }
}

// Guards against requests that waited on servers that crashed, and count as
// much as those that had begun.
BOOST_FIXTURE_TEST_CASE(AnUnansweredRequestIsAWeakerSign, Fixture) {
  LoseTimes(5, {kCaller}, ResponseProgress::kNone);
  BOOST_TEST(MayRun({kCaller}));
  LoseTimes(1, {kCaller}, ResponseProgress::kNone);
  BOOST_TEST(!MayRun({kCaller}));
}

// Guards against a part that stays suspected though the server that was lost
// under it has only closed a connection.
BOOST_FIXTURE_TEST_CASE(AServerThatRespondsLaterHasNotEnded, Fixture) {
  LoseTimes(3, {kCaller});
  BOOST_TEST(!MayRun({kCaller}));
  parts.OnResponse(Server(0), start);  // Granted before.
  BOOST_TEST(!MayRun({kCaller}));
  parts.OnResponse(Server(0), now);
  BOOST_TEST(MayRun({kCaller}));
}

// Guards against the last part, which is the request's own, that fills the
// memory.
BOOST_FIXTURE_TEST_CASE(TheLastPartIsNotSuspected, Fixture) {
  Lose({{kDeadly, 100}});
  Lose({});
  BOOST_TEST(parts.size() == 0u);
}

// Guards against a part that is refused for ever, or that ends servers anew
// each time that it is tried.
BOOST_FIXTURE_TEST_CASE(AQuarantineEndsAndDoublesIfServersEndAgain, Fixture) {
  LoseTimes(3, {kDeadly});
  const absl::Time lost = now - kMs;
  now = lost + SuspectParts::kQuarantine - kMs;
  BOOST_TEST((parts.QuarantineLeft(kDeadly, now) == kMs));
  BOOST_TEST(!MayRun({kDeadly}));
  now += kMs;
  BOOST_TEST(MayRun({kDeadly}));
  LoseTimes(1, {kDeadly});
  BOOST_TEST(!MayRun({kDeadly}));
  BOOST_TEST((parts.QuarantineLeft(kDeadly, now - kMs) ==
              2 * SuspectParts::kQuarantine));
}

// Guards against a memory that grows with each server that ends, or that
// forgets a deadly part for others.
BOOST_FIXTURE_TEST_CASE(TheMemoryIsBounded, Fixture) {
  LoseTimes(3, {kDeadly});
  for (PartHash part = 10'000; part < 20'000; ++part) {
    parts.OnServerLost(With({part}), Server(0), ResponseProgress::kBegun, now);
  }
  BOOST_TEST(parts.size() == SuspectParts::kMaxParts);
  BOOST_TEST(!MayRun({kDeadly}));
}

// Guards against peers that pass on to each other what one of them has learnt,
// or that keep what another one can refute.
BOOST_FIXTURE_TEST_CASE(OnlyOwnFindingsAreReported, Fixture) {
  std::vector<PartChange> reported;
  parts.OnChange([&](const PartChange& change) { reported.push_back(change); });
  parts.OnPeerChange({kDeadly, Server(0), 2}, now);
  parts.OnServerLost(With({kDeadly}), Server(0), ResponseProgress::kNone, now);
  BOOST_TEST(reported.empty());
  parts.OnServerLost(With({kDeadly}), Server(1), ResponseProgress::kNone, now);
  parts.OnServerLost(With({kDeadly}), Server(1), ResponseProgress::kBegun, now);
  parts.OnWritten(With({kDeadly}));
  parts.OnServerLost(With({kDeadly}), Server(2), ResponseProgress::kUnderWay,
                     now);
  parts.OnPeerChange({kDeadly, Server(2), 2}, now);
  const std::vector<PartChange> expected = {{kDeadly, Server(1), 1},
                                            {kDeadly, Server(1), 2},
                                            {kDeadly, ServerId(), 0},
                                            {kDeadly, ServerId(), 0}};
  BOOST_TEST((reported == expected));
}

}  // namespace
}  // namespace gentianlb::schedule
