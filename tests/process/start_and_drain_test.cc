// How an entry host's process begins and ends.

#include <signal.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/str_cat.h"
#include "process/deployment.h"
#include "process/slow_reader.h"
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

// Guards against a host that has drained and crashes as it ends.
BOOST_AUTO_TEST_CASE(HostsThatHaveDrainedEndInOrder) {
  constexpr int kHostsOfZone = 12;
  Shape shape;
  shape.hosts_per_zone = kHostsOfZone;
  Deployment site(GENTIANLB_BUILD_DIR, shape);
  for (std::size_t i = 0; i < site.host_count(); ++i) {
    site.host(i).process->Signal(SIGTERM);
  }
  for (std::size_t i = 0; i < site.host_count(); ++i) {
    BOOST_TEST(site.host(i).process->Wait() == 0);
  }
}

// More than the kernel's buffers hold.
constexpr int kLargeAnswerBytes = 16 << 20;

void MakeAnswersLarge(Deployment& site) {
  Json::Value large;
  large["padding_bytes"] = kLargeAnswerBytes;
  for (const std::size_t portal : {0, 1}) {
    SetControl(site.portal(portal).address, large);
  }
}

std::string GetRequest(const std::string& path, const std::string& token) {
  return absl::StrCat("GET ", path,
                      " HTTP/1.1\r\nHost: site\r\nConnection: close\r\n"
                      "Authorization: Bearer ",
                      token, "\r\n\r\n");
}

// Drains host 0 while it sends large answers to readers that don't read before
// all answers are complete at the host.
void CheckThatDrainingSendsAll(
    Deployment& site, std::vector<std::unique_ptr<SlowReader>>& readers) {
  constexpr absl::Duration kServiceTime = absl::Seconds(3);
  for (auto& reader : readers) reader->WaitForStart();
  site.host(0).process->Signal(SIGTERM);
  absl::SleepFor(kServiceTime);
  for (auto& reader : readers) {
    reader->ReadToEnd();
    BOOST_TEST(reader->Body().value_or("").size() > kLargeAnswerBytes);
  }
  BOOST_TEST(site.host(0).process->Wait() == 0);
}

// Guards against a host that ends while the rest of answers, long complete
// here, waits for callers that read slowly.
BOOST_AUTO_TEST_CASE(ADrainingHostSendsTheRestToSlowReaders) {
  constexpr int kReaders = 4;
  Deployment site(GENTIANLB_BUILD_DIR, {});
  MakeAnswersLarge(site);
  std::vector<std::unique_ptr<SlowReader>> readers;
  readers.reserve(kReaders);
  for (int i = 0; i < kReaders; ++i) {
    readers.push_back(std::make_unique<SlowReader>(
        site.host(0).address,
        GetRequest("/member-portal/members/7", kPermitToken)));
  }
  CheckThatDrainingSendsAll(site, readers);
}

// The same for a peer that reads the answer to a key on behalf of its caller.
BOOST_AUTO_TEST_CASE(ADrainingHostSendsTheRestToPeers) {
  Deployment site(GENTIANLB_BUILD_DIR, {});
  MakeAnswersLarge(site);
  Caller permits(kPermitToken);
  BOOST_TEST_REQUIRE(permits
                         .Send(site.host(0).address, "POST",
                               "/member-portal/permits/check", "{}", {Key("k")})
                         .Wait()
                         .IsWhole());
  constexpr std::string_view kKeyField = "key=";
  const std::string events = site.Timeline().output;
  const std::size_t begin = events.find(kKeyField);
  BOOST_TEST_REQUIRE(begin != std::string::npos, events);
  const std::string key = events.substr(begin + kKeyField.size());
  std::vector<std::unique_ptr<SlowReader>> readers;
  readers.push_back(std::make_unique<SlowReader>(
      site.host(0).control,
      GetRequest("/answers/" + key.substr(0, key.find_first_of(" \n")),
                 kPeerKey)));
  CheckThatDrainingSendsAll(site, readers);
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
