// Changes of the configuration, while hosts are cut off and operators race.

#include <boost/test/unit_test.hpp>

#include "process/deployment.h"
#include "process/verdicts.h"
#include "standins/json.h"

namespace gentianlb::process {
namespace {

constexpr char kNewToken[] = "token-of-the-added-workspace";

Shape Site() {
  Shape shape;
  shape.engines = {{.zone = "abdali"}, {.zone = "sahab"}};
  shape.relays = true;
  return shape;
}

std::string WithWorkspace(const Deployment& site, const std::string& name,
                          const std::string& token) {
  return ReadFile(site.folder().Path("intent.ini")) + "\n[workspace " + name +
         "]\ntoken = " + token +
         "\ntier = urgent\nservices = drafting-llm\nmodels = drafter\n";
}

bool Knows(Deployment& site, std::size_t host, const std::string& token) {
  Caller caller(token);
  return caller.Ask(site.host(host).address, {kModel, "x"}).Wait().IsWhole();
}

// A change is confirmed while one host can reach neither its peers nor the
// platform. The others have it soon, that one once it is back; and a host that
// is restarted doesn't fall back to what was before.
BOOST_AUTO_TEST_CASE(AConfirmedChangeGetsEverywhereAndStays) {
  Deployment site(GENTIANLB_BUILD_DIR, Site());
  site.SetAllLinks(3, LinkState::kCut);
  site.Confirm(
      site.folder().Write("more.ini", WithWorkspace(site, "added", kNewToken)));
  for (std::size_t host : {0, 1, 2}) {
    WaitUntil("the change is in force",
              [&] { return Knows(site, host, kNewToken); });
  }
  BOOST_TEST(!Knows(site, 3, kNewToken));
  site.SetAllLinks(3, LinkState::kOpen);
  WaitUntil("the change is in force after the cut",
            [&] { return Knows(site, 3, kNewToken); });
  site.host(0).process->KillAndWait();
  site.StartHost(0);
  site.WaitUntilReady(0);
  BOOST_TEST(Knows(site, 0, kNewToken));
}

// Two operators plan from the same state and confirm one after the other. The
// second one's picture is no longer true; it is told so, and changes nothing.
BOOST_AUTO_TEST_CASE(OfTwoRacingPlansOneIsConfirmed) {
  Deployment site(GENTIANLB_BUILD_DIR, Site());
  std::vector<std::string> plans;
  for (const char* name : {"one", "two"}) {
    std::string file = site.folder().Write(
        std::string(name) + ".ini",
        WithWorkspace(site, "added", std::string("token-of-operator-") + name));
    Finished planned = site.Operate({"plan", file, "--format", "json"});
    BOOST_REQUIRE_MESSAGE(planned.status == 0, planned.output);
    auto answer = standins::ParseObject(planned.output);
    plans.push_back((*answer)["plan"]["id"].asString());
  }
  BOOST_TEST(site.Operate({"confirm", plans[0]}).status == 0);
  Finished second = site.Operate({"confirm", plans[1]});
  BOOST_TEST(second.status == 1);
  BOOST_TEST(second.errors.find("7005") != std::string::npos, second.errors);
  WaitUntil("the first is in force",
            [&] { return Knows(site, 0, "token-of-operator-one"); });
  BOOST_TEST(!Knows(site, 0, "token-of-operator-two"));
}

}  // namespace
}  // namespace gentianlb::process
