// Servers whose answers have neither a length nor chunks, before a gateway as a
// process: killed in the middle of an answer, and alive at its end.

#include <signal.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "process/callers.h"
#include "process/gateway_process_test.h"
#include "process/process.h"
#include "process/unframed_server_test.h"
#include "standins/feed_table.h"

namespace gentianlb::process {
namespace {

constexpr char kConfiguration[] = R"({"version":1,
 "routes":[
  {"name":"chat","host":"one.example","prefix":"/chat/",
   "route_type":"streaming","timeout_ms":9000,"slo_ms":5000,"priority":0,
   "service":"llm","max_attempts":2,"public":true,"resumable":true},
  {"name":"once","host":"one.example","prefix":"/once/",
   "route_type":"streaming","timeout_ms":9000,"slo_ms":5000,"priority":0,
   "service":"llm","max_attempts":1,"public":true,"resumable":false},
  {"name":"read","host":"one.example","prefix":"/read/",
   "route_type":"idempotent","timeout_ms":9000,"slo_ms":5000,"priority":1,
   "service":"llm","max_attempts":2,"public":true},
  {"name":"pay","host":"one.example","prefix":"/pay/",
   "route_type":"non_idempotent","timeout_ms":9000,"slo_ms":5000,
   "priority":1,"service":"llm","max_attempts":1,"public":true},
  {"name":"desk","host":"one.example","prefix":"/desk/",
   "route_type":"non_idempotent","timeout_ms":9000,"slo_ms":5000,
   "priority":1,"service":"desk","max_attempts":1,"public":true}],
 "services":[
  {"name":"desk"},
  {"name":"llm","engine":{"slots":8,"kv_capacity":100000,"stride":1,
   "models":[{"name":"m"}]}}],
 "limits":{"idle_timeout_ms":15000}})";

struct Site {
  Site() {
    table_.Put("servers", first_.id(), first_.Registration("llm"));
    table_.Put("op", "config", kConfiguration);
    host_ = std::make_unique<GatewayProcess>(folder_, "h", table_.port());
    host_->WaitUntilReady(client_);
  }

  Call Ask(const std::string& path) {
    http::ClientRequest request;
    request.method = "POST";
    request.url = GatewayProcess::Url(host_->callers(), "/");
    request.target = path;
    request.headers = {{"Host", "one.example"},
                       {"Request-Id", absl::StrCat("r", ++requests_)},
                       {"Deadline-Ms", "9000"},
                       {"Model", "m"},
                       {"Token-Count", "100,20"}};
    request.body = "question";
    request.send_policy = http::SendPolicy::kFreshConnection;
    return {client_, std::move(request)};
  }

  void AddSecond() {
    table_.Put("servers", second_.id(), second_.Registration("llm"));
  }
  void WaitForServers(int count) {
    WaitUntil("the host knows its servers", [&] {
      return Counter(absl::StrCat("gentianlb_servers ", count));
    });
  }
  // A server is killed while the host stands still, and `successor` listens at
  // its address when the host goes on.
  void Replace(UnframedServer& server, const UnframedServer& successor) {
    host_->process().Signal(SIGSTOP);
    server.Kill();
    successor.Start();
    host_->process().Signal(SIGCONT);
  }
  // Returns whether the host's metrics hold the line.
  bool Counter(const std::string& line) {
    return host_->Metrics(client_).find("\n" + line) != std::string::npos;
  }

  // Started first: they are forked from this process while it is small.
  UnframedServer first_{"s-1"};
  UnframedServer second_{"s-2"};
  UnframedServer successor_{"s-3", 2, first_};
  UnframedServer restarted_{"s-1", 2, first_};
  UnframedServer plain_{"p-1"};
  UnframedServer restarted_plain_{"p-1", 2, plain_};
  standins::FeedTable table_;
  TempFolder folder_;
  http::Client client_;
  std::unique_ptr<GatewayProcess> host_;
  int requests_ = 0;
};

constexpr std::size_t kSomeEvents = 70;  // Bytes of a few.

// Guards against half of a stream that ends as complete since its server was
// killed, though it may go on at another one.
BOOST_FIXTURE_TEST_CASE(AKilledServersStreamGoesOnElsewhere, Site) {
  Call call = Ask("/chat/1");
  call.WaitForBytes(kSomeEvents);
  AddSecond();
  WaitForServers(2);
  first_.Kill();
  const Answer answer = call.Wait();
  BOOST_TEST((answer.end == http::TransferEnd::kComplete));
  BOOST_TEST(answer.body == UnframedServer::WholeBody());
}

// Guards against half of a stream that ends as complete since its server was
// killed.
BOOST_FIXTURE_TEST_CASE(AKilledServersStreamIsBrokenOffVisibly, Site) {
  Call call = Ask("/once/1");
  call.WaitForBytes(kSomeEvents);
  first_.Kill();
  const Answer answer = call.Wait();
  BOOST_TEST((answer.end == http::TransferEnd::kBroken));
  BOOST_TEST(UnframedServer::WholeBody().starts_with(answer.body));
}

// Guards against half of a stream that ends as complete since another server
// listens at the address of the killed one.
BOOST_FIXTURE_TEST_CASE(ASuccessorAtItsAddressDoesNotSpeakForAKilledServer,
                        Site) {
  Call call = Ask("/once/1");
  call.WaitForBytes(kSomeEvents);
  Replace(first_, successor_);
  const Answer answer = call.Wait();
  BOOST_TEST((answer.end == http::TransferEnd::kBroken));
  BOOST_TEST(UnframedServer::WholeBody().starts_with(answer.body));
}

// Guards against the same where the server is started again under its id.
BOOST_FIXTURE_TEST_CASE(ARestartedServerDoesNotSpeakForItsPredecessor, Site) {
  Call call = Ask("/once/1");
  call.WaitForBytes(kSomeEvents);
  Replace(first_, restarted_);
  const Answer answer = call.Wait();
  BOOST_TEST((answer.end == http::TransferEnd::kBroken));
  BOOST_TEST(UnframedServer::WholeBody().starts_with(answer.body));
}

// Guards against half of a plain body that is answered as whole since another
// server listens at the address of the killed one.
BOOST_FIXTURE_TEST_CASE(ASuccessorsAddressMakesNoBodyWhole, Site) {
  Call pay = Ask("/pay/1");
  absl::SleepFor(absl::Milliseconds(300));
  Replace(first_, successor_);
  BOOST_TEST(pay.Wait().status == 502);
}

// Guards against the same where a plain server is started again under its id.
BOOST_FIXTURE_TEST_CASE(ARestartedPlainServerMakesNoBodyWhole, Site,
                        *boost::unit_test::disabled()) {
  table_.Put("servers", plain_.id(), plain_.Registration("desk"));
  WaitForServers(2);
  Call call = Ask("/desk/1");
  absl::SleepFor(absl::Milliseconds(300));
  Replace(plain_, restarted_plain_);
  BOOST_TEST(call.Wait().status == 502);
}

// Guards against half of a body that is answered with a length of the host's.
BOOST_FIXTURE_TEST_CASE(AKilledServersBodyIsNoAnswer, Site) {
  Call pay = Ask("/pay/1");
  Call read = Ask("/read/1");
  absl::SleepFor(absl::Milliseconds(300));
  AddSecond();
  WaitForServers(2);
  first_.Kill();
  BOOST_TEST(pay.Wait().status == 502);
  const Answer answer = read.Wait();
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.body == UnframedServer::WholeBody());
}

BOOST_FIXTURE_TEST_CASE(ALivingServersAnswersAreComplete, Site) {
  std::vector<Call> calls;
  for (const char* path : {"/chat/1", "/once/1", "/read/1", "/pay/1"}) {
    calls.push_back(Ask(path));
  }
  for (Call& call : calls) {
    const Answer answer = call.Wait();
    BOOST_TEST((answer.end == http::TransferEnd::kComplete));
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body == UnframedServer::WholeBody());
  }
  BOOST_TEST(Counter(
      "gentianlb_unframed_ends_total{complete=\"yes\",probe=\"same\"} 4"));
}

// A host that is told to stop waits for the ends that it has yet to confirm.
BOOST_FIXTURE_TEST_CASE(ADrainingHostConfirmsItsLastAnswers, Site) {
  Call call = Ask("/chat/1");
  call.WaitForBytes(kSomeEvents);
  host_->process().Signal(SIGTERM);
  const Answer answer = call.Wait();
  BOOST_TEST((answer.end == http::TransferEnd::kComplete));
  BOOST_TEST(answer.body == UnframedServer::WholeBody());
  BOOST_TEST(host_->process().Wait() == 0);
}

}  // namespace
}  // namespace gentianlb::process
