#include "replay/driver.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <utility>
#include <vector>

#include "replay/bound.h"
#include "replay/fairness.h"
#include "replay/policies.h"
#include "replay/scenario.h"

namespace gentianlb::replay {
namespace {

using schedule::Decision;
using schedule::Event;
using schedule::Grant;
using schedule::Refuse;

Deployment Almaty() {
  return Capture([] { return FindDeployment("almaty"); }).value();
}

TraceEvent At(double seconds, TraceBody body) {
  return {absl::Seconds(seconds), std::move(body)};
}

TraceEvent RequestAt(double seconds, const std::string& id, int tier) {
  TraceRequest request;
  request.id = RequestId(id);
  request.workspace = WorkspaceId("schools");
  request.service = ServiceId("sock-llm");
  request.tier = Tier{tier};
  request.deadline = absl::Seconds(30);
  request.prompt_tokens = 100;
  request.output_tokens = 10;
  return At(seconds, request);
}

// A policy made of one function.
class Scripted {
 public:
  using Script = std::function<void(const Event&, std::vector<Decision>*)>;
  explicit Scripted(Script script) : script_(std::move(script)) {}
  void Handle(const Event& event, absl::Time,
              std::vector<Decision>* decisions) {
    script_(event, decisions);
  }
  absl::Time NextWakeup() const { return absl::InfiniteFuture(); }

 private:
  Script script_;
};

Outcome<ReplayFigures> Run(const std::vector<TraceEvent>& events,
                           const Scripted::Script& script) {
  Trace trace{"almaty", "by hand", events};
  return Capture([&] {
    return Replay(Almaty(), trace, 1, [&] { return Scripted(script); });
  });
}

// Grants each arrival on one server.
void GrantAll(const Event& event, std::vector<Decision>* decisions) {
  const auto* arrived = std::get_if<schedule::RequestArrived>(&event);
  if (arrived == nullptr) return;
  const schedule::Request& request = arrived->request;
  decisions->push_back(Grant{request.id, request.host, ServerId("sock-llm-9")});
}

// A fault in a policy loses a request: its caller waits for ever, and every
// other figure looks all the better for it.
BOOST_AUTO_TEST_CASE(ALostRequestFailsTheReplay) {
  auto outcome =
      Run({RequestAt(0, "a", 0)}, [](const Event&, std::vector<Decision>*) {});
  BOOST_REQUIRE(!outcome.ok());
  BOOST_TEST(outcome.error().detail.find("never ended") != std::string::npos);
}

// A fault in a policy sends a request twice, or answers what it has already
// refused. The caller's refund would go out twice.
BOOST_AUTO_TEST_CASE(ASecondDecisionForOneRequestFailsTheReplay) {
  auto twice = [](const Event& event, std::vector<Decision>* decisions) {
    GrantAll(event, decisions);
    GrantAll(event, decisions);
  };
  BOOST_TEST(!Run({RequestAt(0, "a", 0)}, twice).ok());
  auto after_refusal = [](const Event& event,
                          std::vector<Decision>* decisions) {
    const auto* arrived = std::get_if<schedule::RequestArrived>(&event);
    if (arrived == nullptr) return;
    decisions->push_back(Refuse{arrived->request.id, arrived->request.host,
                                Code::kQueueFull, absl::Seconds(1)});
    GrantAll(event, decisions);
  };
  BOOST_TEST(!Run({RequestAt(0, "a", 0)}, after_refusal).ok());
}

// The queue is full, and a policy refuses the urgent newcomer while overnight
// work keeps its place. The subscriber in the chat is turned away.
BOOST_AUTO_TEST_CASE(AnUrgentRequestRefusedBeforeALowerOneIsCounted) {
  std::vector<schedule::Request> waiting;
  auto refuse_newest = [&](const Event& event,
                           std::vector<Decision>* decisions) {
    const auto* arrived = std::get_if<schedule::RequestArrived>(&event);
    if (arrived == nullptr) return;
    waiting.push_back(arrived->request);
    if (waiting.size() < 2) return;
    for (; !waiting.empty(); waiting.pop_back()) {
      decisions->push_back(Refuse{waiting.back().id, waiting.back().host,
                                  Code::kQueueFull, absl::Seconds(1)});
    }
  };
  auto outcome =
      Run({RequestAt(0, "low", 2), RequestAt(1, "high", 0)}, refuse_newest);
  BOOST_REQUIRE(outcome.ok());
  const auto& tiers = outcome.value().services.front().tiers;
  BOOST_TEST(tiers[0].inversions == 1);
  BOOST_TEST(tiers[1].inversions == 0);
}

BOOST_AUTO_TEST_CASE(EndsAndPrefillAreCountedByCause) {
  std::vector<TraceEvent> events = {RequestAt(0, "whole", 0),
                                    RequestAt(0, "left", 0)};
  std::get<TraceRequest>(events[1].body).output_tokens = 1000;
  events.push_back(At(0.5, TraceCancel{RequestId("left")}));
  events.push_back(RequestAt(5, "broken", 1));
  events.push_back(At(5.1, TraceServerDead{ServerId("sock-llm-9")}));
  auto outcome = Run(events, GrantAll);
  BOOST_REQUIRE(outcome.ok());
  const ServiceFigures& figures = outcome.value().services.front();
  BOOST_TEST(figures.tiers[0].in_time == 1);
  BOOST_TEST(figures.tiers[0].abandoned == 1);
  BOOST_TEST(figures.tiers[1].broken == 1);
  BOOST_TEST(figures.prefill.computed == 300);
  BOOST_TEST(figures.prefill.cancelled == 100);
  BOOST_TEST(figures.prefill.broken == 100);
}

BOOST_AUTO_TEST_CASE(AHotWorkspaceIsFairlyServedByItsShareNotItsDemand) {
  const std::vector<WorkspaceLoad> alike;
  const WorkspaceId hot("hot");
  const WorkspaceId calm("calm");
  BOOST_TEST(Fairness({{hot, {900, 100}}, {calm, {100, 100}}}, alike) == 1);
  BOOST_TEST(Fairness({{hot, {900, 200}}, {calm, {100, 0}}}, alike) == 0.5);
}

// The bound is only worth something if nobody ever gets above it.
BOOST_AUTO_TEST_CASE(NoBaselineExceedsTheBoundOrTheCap) {
  const Deployment deployment = Almaty();
  for (const char* scenario : {"burst", "power-drop", "dead-server"}) {
    Trace trace =
        Capture([&] {
          return MakeShortScenario(deployment, scenario, 5, absl::Seconds(60));
        }).value();
    const BoundFigures bound =
        Bound(deployment, deployment.services.front(), trace);
    for (const std::string& policy : BaselineNames()) {
      auto outcome =
          Capture([&] { return ReplayUnder(policy, deployment, trace, 5); });
      BOOST_REQUIRE(outcome.ok());
      const ServiceFigures& figures = outcome.value().services.front();
      int in_time = 0;
      for (const TierFigures& tier : figures.tiers) in_time += tier.in_time;
      BOOST_TEST(in_time <= bound.total);
      BOOST_TEST(figures.tiers.front().in_time <= bound.by_tier.front());
      BOOST_TEST(figures.watts_above_cap == 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(TheSameTraceGivesTheSameSignature) {
  const Deployment deployment = Almaty();
  auto run = [&](std::uint64_t seed) {
    return Capture([&]() -> Result<ReplayFigures> {
             BOOST_LEAF_AUTO(
                 trace, MakeShortScenario(deployment, "overnight-batch", seed,
                                          absl::Seconds(30)));
             return ReplayUnder(kProductPolicy, deployment, trace, seed);
           })
        .value()
        .services.front()
        .signature;
  };
  BOOST_TEST(run(1) == run(1));
  BOOST_TEST(run(1) != run(2));
}

}  // namespace
}  // namespace gentianlb::replay
