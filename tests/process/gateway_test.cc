// The gateway as a process on loopback, before stand-ins that speak the
// platform's wire form.

#include <signal.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "http/client.h"
#include "process/gateway_process_test.h"
#include "process/process.h"
#include "process/slow_reader.h"
#include "standins/feed_table.h"
#include "standins/platform_server.h"

namespace gentianlb::process {
namespace {

using standins::FeedTable;
using standins::PlatformServer;

constexpr char kConfiguration[] = R"({"version":VERSION,
 "routes":[
  {"name":"chat","host":"one.example","prefix":"/chat/",
   "route_type":"streaming","timeout_ms":9000,"slo_ms":5000,"priority":0,
   "service":"llm","max_attempts":2,"public":false,"resumable":true},
  {"name":"read","host":"one.example","prefix":"/read/",
   "route_type":"idempotent","timeout_ms":9000,"slo_ms":5000,"priority":1,
   "service":"plain","max_attempts":2,"public":false},
  {"name":"pay","host":"one.example","prefix":"/pay/",
   "route_type":"non_idempotent","timeout_ms":9000,"slo_ms":5000,
   "priority":1,"service":"plain","max_attempts":1,"public":false}],
 "services":[
  {"name":"llm","engine":{"slots":8,"kv_capacity":100000,"stride":1,
   "models":[{"name":"m"}]}},
  {"name":"plain","max_conns":100}],
 "limits":{"idle_timeout_ms":15000},
 "tenants":[{"name":"w","api_keys":["key"],"priority":1}]})";

class Site {
 public:
  explicit Site(int events = 5)
      : llm_a_("llm-a", events),
        llm_b_("llm-b", events),
        plain_a_("plain-a"),
        plain_b_("plain-b") {
    for (PlatformServer* server : {&llm_a_, &llm_b_}) Register(*server, "llm");
    for (PlatformServer* server : {&plain_a_, &plain_b_}) {
      Register(*server, "plain");
    }
  }

  void Register(const PlatformServer& server, const std::string& service,
                const std::string& state = "ready") {
    table_.Put("servers", server.id(), server.Registration(service, state));
  }

  void Configure(int version) {
    table_.Put("op", "config",
               absl::StrReplaceAll(kConfiguration,
                                   {{"VERSION", absl::StrCat(version)}}));
  }

  void Start(const std::string& name) {
    host_ = std::make_unique<GatewayProcess>(folder_, name, table_.port());
  }

  int Ready() { return host_->Ready(client_); }
  void WaitUntilReady() { host_->WaitUntilReady(client_); }

  http::Reply Ask(const std::string& path, const std::string& id,
                  const std::string& key = "key") {
    http::ClientRequest request;
    request.method = "POST";
    request.url = GatewayProcess::Url(host_->callers(), "/");
    request.target = path;
    request.headers = {{"Host", "one.example"},
                       {"Request-Id", id},
                       {"Deadline-Ms", "9000"},
                       {"Tenant", "forged"},
                       {"Authorization", "Bearer " + key}};
    if (path.starts_with("/chat/")) {
      request.headers.push_back({"Model", "m"});
      request.headers.push_back({"Token-Count", "100,20"});
    }
    request.body = "body of " + id;
    request.send_policy = http::SendPolicy::kFreshConnection;
    return client_.FetchAndWait(std::move(request));
  }

  int TotalRuns(const std::string& id) {
    int runs = 0;
    for (PlatformServer* server : {&llm_a_, &llm_b_, &plain_a_, &plain_b_}) {
      for (const auto& [request, count] : server->Runs()) {
        if (request == id) runs += count;
      }
    }
    return runs;
  }

  FeedTable table_;
  PlatformServer llm_a_;
  PlatformServer llm_b_;
  PlatformServer plain_a_;
  PlatformServer plain_b_;
  TempFolder folder_;
  http::Client client_;
  std::unique_ptr<GatewayProcess> host_;
};

constexpr char kWholeStream[] =
    "id: 1\ndata: word\n\nid: 2\ndata: word\n\nid: 3\ndata: word\n\n"
    "id: 4\ndata: word\n\nid: 5\ndata: word\n\n";

BOOST_FIXTURE_TEST_CASE(ACalmMinute, Site) {
  Start("h");
  // Nothing is known yet: no callers may come, and those that do are told so.
  WaitUntil("the gateway answers", [this] { return Ready() == 503; });
  BOOST_TEST(Ask("/read/1", "early").status == 503);
  Configure(1);
  WaitUntilReady();
  for (int i = 0; i < 20; ++i) {
    const std::string chat = absl::StrCat("chat-", i);
    BOOST_TEST(Ask("/chat/1", chat).body == kWholeStream);
    BOOST_TEST(TotalRuns(chat) == 1);
    const std::string pay = absl::StrCat("pay-", i);
    const http::Reply paid = Ask("/pay/a%2Fb?x=%20", pay);
    BOOST_TEST(paid.status == 200);
    BOOST_TEST(paid.body.ends_with("body of " + pay));
    BOOST_TEST(TotalRuns(pay) == 1);
  }
  BOOST_TEST(Ask("/nowhere/", "lost").status == 404);
  BOOST_TEST(Ask("/read/1", "stolen", "other").status == 401);
  BOOST_TEST(host_->Metrics(client_).find(
                 "gentianlb_requests_answered_total") != std::string::npos);
  BOOST_TEST((table_.Keys("entry_hosts") == std::vector<std::string>{"h"}));
}

BOOST_FIXTURE_TEST_CASE(AServerSeesWhatItNeedsAndNothingForged, Site) {
  Configure(1);
  Start("h");
  WaitUntilReady();
  Ask("/read/a%2Fb?x=%20y", "r");
  const bool at_a = plain_a_.Runs().contains("r");
  const http::Request seen = (at_a ? plain_a_ : plain_b_).LastRequest();
  BOOST_TEST(seen.target == "/read/a%2Fb?x=%20y");
  BOOST_TEST(seen.header("Host") == "one.example");
  BOOST_TEST(seen.header("Tenant") == "w");
  BOOST_TEST(seen.header("Authorization") == "");
  BOOST_TEST(seen.body == "body of r");
}

// A server breaks off in the middle of an event. The caller gets the rest from
// the other one, and no event twice.
BOOST_FIXTURE_TEST_CASE(ABrokenStreamGoesOnElsewhere, Site) {
  Configure(1);
  Start("h");
  WaitUntilReady();
  llm_a_.SetFaults({.cut_after_events = 2});
  for (int i = 0; i < 6; ++i) {
    const http::Reply reply = Ask("/chat/1", absl::StrCat("c", i));
    BOOST_TEST((reply.end == http::TransferEnd::kComplete));
    BOOST_TEST(reply.body == kWholeStream);
  }
}

// A payment is made and its answer lost. It must not be made again, and the
// caller must not be told that it wasn't made.
BOOST_FIXTURE_TEST_CASE(ALostAnswerIsNotRunTwice, Site) {
  Configure(1);
  Start("h");
  WaitUntilReady();
  plain_a_.SetFaults({.loses_answers = true});
  plain_b_.SetFaults({.loses_answers = true});
  const http::Reply reply = Ask("/pay/1", "p");
  BOOST_TEST(reply.status == 502);
  BOOST_TEST(TotalRuns("p") == 1);
}

// A server that is full says so; the other one serves, also a payment.
BOOST_FIXTURE_TEST_CASE(AFullServersRequestsGoElsewhere, Site) {
  Configure(1);
  Start("h");
  WaitUntilReady();
  plain_a_.SetFaults({.sheds = true});
  for (int i = 0; i < 6; ++i) {
    const std::string id = absl::StrCat("p", i);
    BOOST_TEST(Ask("/pay/1", id).status == 200);
    BOOST_TEST(TotalRuns(id) == 1);
  }
}

// The table service goes away, loses its history and comes back with a new
// version. Callers are served all the while, and the version comes into force.
BOOST_FIXTURE_TEST_CASE(TheTableServiceMayGoAway, Site) {
  Configure(1);
  Start("h");
  WaitUntilReady();
  table_.SetDown(true);
  BOOST_TEST(Ask("/read/1", "during").status == 200);
  BOOST_TEST(Ready() == 200);
  table_.DropHistory();
  Configure(2);
  table_.SetDown(false);
  WaitUntil("the new version is in force", [this] {
    return host_->Metrics(client_).find("gentianlb_configuration_version 2") !=
           std::string::npos;
  });
  BOOST_TEST(Ask("/read/1", "after").status == 200);
}

// Guards against a host that, started while the table service is away, refuses
// all callers though the host beside it could tell it everything.
BOOST_FIXTURE_TEST_CASE(AHostStartedWhileTheTableServiceIsAwayServes, Site) {
  Configure(1);
  Start("a");
  WaitUntilReady();
  const std::unique_ptr<GatewayProcess> beside = std::move(host_);
  Start("b");
  WaitUntilReady();
  WaitUntil("the hosts hear each other", [&] {
    const std::string said =
        host_->process().Output() + beside->process().Output();
    return said.find("event=aggregator ") != std::string::npos;
  });
  table_.SetDown(true);
  host_->process().Signal(SIGKILL);
  host_->process().Wait();
  host_->Run("b-again");
  WaitUntilReady();
  BOOST_TEST(Ask("/read/1", "while-away").status == 200);
  BOOST_TEST(Ask("/read/1", "stolen", "other").status == 401);
}

// The process is told to stop while it serves. What it has taken is answered,
// it says that it isn't ready, and ends by itself with a good code.
BOOST_FIXTURE_TEST_CASE(AStopIsGraceful, Site) {
  Configure(1);
  Start("h");
  WaitUntilReady();
  host_->process().Signal(SIGHUP);  // Changes nothing that is in force.
  host_->process().Signal(SIGTERM);
  WaitUntil("it says that it isn't ready", [this] { return Ready() == 503; });
  const http::Reply reply = Ask("/pay/1", "p");
  BOOST_TEST(reply.status == 200);
  BOOST_TEST(http::FindHeader(reply.headers, "Connection") == "close");
  BOOST_TEST(host_->process().Wait() == 0);
  BOOST_TEST(host_->process().Output().find("event=stopped") !=
             std::string::npos);
}

class SiteWithLongStreams : public Site {
 public:
  static constexpr int kEvents = 400'000;  // Eight megabytes.
  SiteWithLongStreams() : Site(kEvents) {}

  std::string RequestOf(const std::string& id) const {
    return absl::StrCat(
        "POST /chat/1 HTTP/1.1\r\nHost: one.example\r\n"
        "Request-Id: ",
        id,
        "\r\nDeadline-Ms: 9000\r\nAuthorization: Bearer key\r\n"
        "Model: m\r\nToken-Count: 100,20\r\n"
        "Content-Length: 0\r\n\r\n");
  }
};

// Guards against a process that ends while the last events of streams, long
// received, wait for callers that read slowly.
BOOST_FIXTURE_TEST_CASE(AStopWaitsForSlowReaders, SiteWithLongStreams) {
  constexpr int kReaders = 2;
  Configure(1);
  Start("h");
  WaitUntilReady();
  std::vector<std::unique_ptr<SlowReader>> readers;
  readers.reserve(kReaders);
  for (int i = 0; i < kReaders; ++i) {
    readers.push_back(std::make_unique<SlowReader>(
        host_->callers(), RequestOf(absl::StrCat("slow-", i))));
  }
  for (auto& reader : readers) reader->WaitForStart();
  host_->process().Signal(SIGTERM);
  // All streams have then ended here, and new ones are refused.
  absl::SleepFor(absl::Seconds(4));
  std::vector<std::jthread> threads;
  threads.reserve(readers.size());
  for (auto& reader : readers) {
    threads.emplace_back([&reader] { reader->ReadToEnd(); });
  }
  threads.clear();  // Joins them.
  const std::string last = absl::StrCat("id: ", kEvents, "\ndata: word\n\n");
  for (auto& reader : readers) {
    const auto body = reader->Body();
    BOOST_TEST_REQUIRE(body.has_value());
    BOOST_TEST(body->ends_with(last));
  }
  BOOST_TEST(host_->process().Wait() == 0);
}

BOOST_FIXTURE_TEST_CASE(BadSettingsAreRefusedWithNumbers, Site) {
  const std::string path =
      folder_.Write("bad.ini", "[host]\nid = h\n[other]\nx = 1\n");
  const Finished finished =
      RunToEnd(GENTIANLB_BUILD_DIR "/src/gentianlb/gentianlb",
               {"gateway", "--settings", path}, folder_.Path("bad"));
  BOOST_TEST(finished.status == 2);
  BOOST_TEST(finished.errors.find("6002") != std::string::npos);
  BOOST_TEST(finished.errors.find("6008") != std::string::npos);
}

}  // namespace
}  // namespace gentianlb::process
