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

}  // namespace
}  // namespace gentianlb::process
