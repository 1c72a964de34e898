// The platform's table service down, slow, or losing answers.

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "process/deployment.h"
#include "process/verdicts.h"

namespace gentianlb::process {
namespace {

constexpr char kCheck[] = "/member-portal/permits/check";

Shape OneZone() {
  Shape shape;
  shape.zones = {"abdali"};
  shape.engines = {{"abdali"}};
  return shape;
}

Json::Value Switch(const char* name, const Json::Value& value) {
  Json::Value changes;
  changes[name] = value;
  return changes;
}

// The platform is out. What needs no claim is served as before; a permit check,
// which can't be made safe now, is refused as not run and told when to return.
// Once the platform is back, the same key runs, once.
BOOST_AUTO_TEST_CASE(AnOutageRefusesOnlyWhatItMust) {
  Deployment site(GENTIANLB_BUILD_DIR, OneZone());
  Caller drafting(kDraftingToken);
  Caller permits(kPermitToken);
  const std::string& host = site.host(0).address;
  for (const char* kind : {"503", "hang", "refuse"}) {
    SetControl(site.platform().address, Switch("down", kind));
    BOOST_TEST(drafting.Ask(host, {kModel, kind}).Wait().IsWhole(), kind);
    BOOST_TEST(
        permits.Send(host, "GET", "/member-portal/members/7").Wait().IsWhole(),
        kind);
    std::string key = absl::StrCat("check-", kind);
    Answer refused =
        permits.Send(host, "POST", kCheck, "{}", {Key(key)}).Wait();
    BOOST_TEST(refused.status == 503, refused.body);
    BOOST_TEST(refused.Run() == "no", refused.body);
    BOOST_TEST(!http::FindHeader(refused.headers, "Retry-After").empty());
    BOOST_TEST(site.Executions()[key] == 0);

    SetControl(site.platform().address, Switch("down", ""));
    WaitUntil("the check is run", [&] {
      return permits.Send(host, "POST", kCheck, "{}", {Key(key)})
          .Wait()
          .IsWhole();
    });
    BOOST_TEST(site.Executions()[key] == 1);
  }
}

// Writes take effect and their answers are lost, again and again, while each
// check is sent to two hosts. Taken for failed, a write would let the other
// host run the check as well.
BOOST_AUTO_TEST_CASE(LostAnswersDoubleNothing) {
  Deployment site(GENTIANLB_BUILD_DIR, OneZone());
  Caller permits(kPermitToken);
  SetControl(site.platform().address, Switch("lose_probability", 0.4));
  for (int i = 0; i < 30; ++i) {
    std::string key = absl::StrCat("lost-", i);
    std::vector<Call> calls;
    for (std::size_t host : {0, 1}) {
      calls.push_back(permits.Send(site.host(host).address, "POST", kCheck,
                                   "{}", {Key(key)}));
    }
    bool may_have_run = false;
    for (Call& call : calls) {
      Answer answer = call.Wait();
      may_have_run = may_have_run || answer.Run() != "no";
    }
    std::int64_t executions = site.Executions()[key];
    BOOST_TEST(executions <= 1, key);
    BOOST_TEST((executions == 0 || may_have_run), key);
  }
  Json::Value counters = ShowControl(site.platform().address)["counters"];
  BOOST_TEST(counters["answers_lost"].asInt64() > 0);
}

// The platform takes long for every call. Everything still gets its answer.
BOOST_AUTO_TEST_CASE(ASlowPlatformOnlyCostsTime) {
  Deployment site(GENTIANLB_BUILD_DIR, OneZone());
  SetControl(site.platform().address, Switch("delay_ms", 200));
  Caller drafting(kDraftingToken);
  Caller permits(kPermitToken);
  for (int i = 0; i < 5; ++i) {
    std::string key = absl::StrCat("slow-", i);
    Chat chat{kModel, key, 40};
    Answer draft = AskUntilFinal(drafting, site.host(i % 2).address, chat, key);
    BOOST_TEST(draft.Text() == ExpectedText(chat), draft.body);
    Answer check =
        permits.Send(site.host(i % 2).address, "POST", kCheck, "{}", {Key(key)})
            .Wait();
    BOOST_TEST(check.IsWhole(), check.body);
  }
  BOOST_TEST(site.MostExecutions() == 1);
}

}  // namespace
}  // namespace gentianlb::process
