// How an entry host's process begins and ends.

#include <signal.h>

#include <boost/test/unit_test.hpp>

#include "process/deployment.h"
#include "process/verdicts.h"

namespace gentianlb::process {
namespace {

// An operator mistypes two settings. The process says both with file, line and
// number, and doesn't start with half of what was meant.
BOOST_AUTO_TEST_CASE(WrongSettingsAreAllSaidAndNothingStarts) {
  TempFolder folder;
  std::string file = folder.Write("host.ini",
                                  "[host]\n"
                                  "id = abdali-1\n"
                                  "zone = abdali\n"
                                  "drain_limit = 10\n"
                                  "colour = red\n");
  Finished run =
      RunToEnd(std::string(GENTIANLB_BUILD_DIR) + "/src/gentianlb/gentianlb",
               {"--settings", file}, folder.Path("host"));
  BOOST_TEST(run.status == 2);
  BOOST_TEST(run.errors.find("host.ini:4") != std::string::npos, run.errors);
  BOOST_TEST(run.errors.find("6005") != std::string::npos, run.errors);
  BOOST_TEST(run.errors.find("host.ini:5") != std::string::npos, run.errors);
  BOOST_TEST(run.errors.find("6003") != std::string::npos, run.errors);
}

// A host is replaced while callers read long answers from it. Each of them gets
// the rest of its answer before the process ends, and new calls go elsewhere.
BOOST_AUTO_TEST_CASE(ADrainingHostFinishesItsStreams) {
  Shape shape;
  shape.engines = {{.zone = "abdali", .decode_rate = 200}};
  Deployment site(GENTIANLB_BUILD_DIR, shape);
  Caller caller(kDraftingToken);
  std::vector<Chat> chats;
  std::vector<Call> calls;
  for (int i = 0; i < 6; ++i) {
    chats.push_back({kModel, "long draft " + std::to_string(i), 500});
    calls.push_back(caller.Ask(site.host(0).address, chats.back()));
  }
  for (Call& call : calls) call.WaitForBytes(1);

  site.host(0).process->Signal(SIGTERM);
  WaitUntil("the host takes no new call", [&] {
    Answer late = caller.Ask(site.host(0).address, {kModel, "late"}).Wait();
    return !late.IsWhole();
  });
  BOOST_TEST(caller.Ask(site.host(1).address, {kModel, "x"}).Wait().IsWhole());
  for (std::size_t i = 0; i < calls.size(); ++i) {
    Answer answer = calls[i].Wait();
    BOOST_TEST(answer.IsWhole());
    BOOST_TEST(answer.Text() == ExpectedText(chats[i]));
  }
  BOOST_TEST(site.host(0).process->Wait() == 0);
}

// The operator can't wait for the last streams and sends the signal again. The
// process ends at once and its log names each request that it cut.
BOOST_AUTO_TEST_CASE(ASecondSignalCutsAndSaysWhat) {
  Shape shape;
  shape.engines = {{.zone = "abdali", .decode_rate = 20}};
  Deployment site(GENTIANLB_BUILD_DIR, shape);
  Caller caller(kDraftingToken);
  Call call = caller.Ask(site.host(0).address, {kModel, "long", 600});
  call.WaitForBytes(1);
  Member& host = site.host(0);
  host.process->Signal(SIGTERM);
  WaitUntil("the host isn't ready any more", [&] {
    return caller.Send(host.address, "GET", "/readyz").Wait().status != 200;
  });
  host.process->Signal(SIGTERM);
  BOOST_TEST(host.process->Wait() != 0);
  BOOST_TEST(!call.Wait().IsWhole());
  std::string request(
      http::FindHeader(call.SoFar().headers, "Gentian-Request"));
  std::string log = host.process->Errors();
  BOOST_TEST(!request.empty(), call.SoFar().body);
  BOOST_TEST(log.find("request=" + request) != std::string::npos, log);
}

}  // namespace
}  // namespace gentianlb::process
