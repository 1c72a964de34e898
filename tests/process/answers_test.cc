// The way of a request through real processes, and messages that are wrong.

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "process/deployment.h"
#include "process/verdicts.h"

namespace gentianlb::process {
namespace {

bool Says(const Answer& answer, Code code) {
  const CodeInfo& info = Describe(code);
  return answer.Code() == static_cast<int>(code) &&
         answer.status == info.http_status;
}

BOOST_AUTO_TEST_CASE(AnyEntryHostAnswersWholeAndStreamed) {
  Deployment site(GENTIANLB_BUILD_DIR, {});
  Caller caller(kDraftingToken);
  for (std::size_t i = 0; i < site.host_count(); ++i) {
    for (bool stream : {false, true}) {
      Chat chat{kModel, absl::StrCat("question ", i), 40, stream};
      Answer answer = caller.Ask(site.host(i).address, chat).Wait();
      BOOST_TEST(answer.IsWhole(), answer.body);
      BOOST_TEST(answer.Text() == ExpectedText(chat));
    }
  }
  BOOST_TEST(site.MostExecutions() == 1);
}

// Clients send what they should not: broken JSON, a foreign token, a model that
// isn't there, a call of no service, a permit check without a key. Each gets a
// number that tells what to mend, and none is run.
BOOST_AUTO_TEST_CASE(WrongMessagesGetTheirNumbers) {
  Deployment site(GENTIANLB_BUILD_DIR, {});
  Caller drafting(kDraftingToken);
  Caller permits(kPermitToken);
  const std::string& host = site.host(0).address;
  Answer broken =
      drafting.Send(host, "POST", "/v1/chat/completions", "{").Wait();
  BOOST_TEST(Says(broken, Code::kMalformedRequest), broken.body);
  Answer foreign = Caller("nobody").Ask(host, {kModel, "x"}).Wait();
  BOOST_TEST(Says(foreign, Code::kBadToken), foreign.body);
  Answer model = drafting.Ask(host, {"no-such-model", "x"}).Wait();
  BOOST_TEST(Says(model, Code::kUnknownModel), model.body);
  Answer path = drafting.Send(host, "GET", "/nowhere").Wait();
  BOOST_TEST(Says(path, Code::kUnknownPath), path.body);
  Answer keyless =
      permits.Send(host, "POST", "/member-portal/permits/check").Wait();
  BOOST_TEST(Says(keyless, Code::kKeyRequired), keyless.body);
  for (const Answer& answer : {broken, foreign, model, path, keyless}) {
    BOOST_TEST(answer.Run() == "no");
  }
  BOOST_TEST(site.AllExecutions() == 0);
}

// One client sends far too much, another hardly anything and a third no HTTP at
// all. Each is told so, and the next caller is served as usual.
BOOST_AUTO_TEST_CASE(WrongSizesAndSlownessHarmNobodyElse) {
  Shape shape;
  shape.more_settings =
      "\n[limits]\nbody = 4KiB\nheader = 2KiB\nidle_timeout = 1s\n";
  Deployment site(GENTIANLB_BUILD_DIR, shape);
  Caller caller(kDraftingToken);
  const std::string& host = site.host(0).address;
  Answer body = caller.Ask(host, {kModel, std::string(8000, 'x')}).Wait();
  BOOST_TEST(Says(body, Code::kBodyTooLarge), body.body);
  Answer header =
      caller.Ask(host, {kModel, "x"}, {{"X-Padding", std::string(2500, 'x')}})
          .Wait();
  BOOST_TEST(Says(header, Code::kHeaderTooLarge), header.body);
  std::string slow =
      ExchangeRaw(host,
                  "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                  "Content-Length: 100\r\n\r\n{\"mod");
  BOOST_TEST(slow.find("1004") != std::string::npos, slow);
  std::string malformed = ExchangeRaw(host, "no http at all\r\n\r\n");
  BOOST_TEST(malformed.find("400") != std::string::npos, malformed);
  BOOST_TEST(caller.Ask(host, {kModel, "x"}).Wait().IsWhole());
}

}  // namespace
}  // namespace gentianlb::process
