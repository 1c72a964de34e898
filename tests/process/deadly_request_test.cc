// Several gateways as processes, before servers that end under some requests.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "http/client.h"
#include "process/gateway_site_test.h"

namespace gentianlb::process {
namespace {

// Ends each server of the site that runs a request whose body contains it.
constexpr char kDeadly[] = "deadly";

// As many servers may end under one request before it is sent to no other.
constexpr int kMaxServersEnded = 3;

class Site : public GatewaySite {
 public:
  static constexpr int kServers = 9;  // Of each service.

  Site()
      : GatewaySite(kStreamAndCallConfiguration, {"llm", "plain"}, kServers) {
    for (auto& server : servers_) server->SetFaults({.ends_under = kDeadly});
  }

  http::Reply Ask(int host, const std::string& path, const std::string& body) {
    http::ClientRequest request = MakeRequest(host, path, body, "9000");
    if (path.starts_with("/chat/")) {
      request.headers.push_back({"Model", "m"});
      request.headers.push_back({"Token-Count", "100,20"});
    }
    request.send_policy = http::SendPolicy::kFreshConnection;
    return client_.FetchAndWait(std::move(request));
  }

  int ServersEnded() const {
    return static_cast<int>(
        std::count_if(servers_.begin(), servers_.end(),
                      [](const auto& server) { return server->HasEnded(); }));
  }

  // A caller repeats a request at once, each time over the next host.
  void Insist(const std::string& path, const std::string& body) {
    constexpr int kAttempts = 8;
    for (int i = 0; i < kAttempts; ++i) {
      last_ = Ask(i, path, body);
      BOOST_TEST(last_.status != 200);
    }
  }

  // Returns how many of as many other requests as there are servers get their
  // answer.
  int ServedOthers(const std::string& path) {
    int served = 0;
    for (int i = 0; i < kServers; ++i) {
      const http::Reply reply = Ask(i, path, absl::StrCat("harmless ", i));
      served += reply.status == 200 ? 1 : 0;
    }
    return served;
  }

  http::Reply last_;
};

BOOST_FIXTURE_TEST_CASE(HarmlessRequestsAreServed, Site) {
  BOOST_TEST(ServedOthers("/chat/1") == kServers);
  BOOST_TEST(ServedOthers("/read/1") == kServers);
  BOOST_TEST(ServersEnded() == 0);
}

// Guards against a stream that ends server after server, as its caller resumes
// it over other hosts.
BOOST_FIXTURE_TEST_CASE(AStreamEndsFewServersThoughItsCallerInsists, Site) {
  Insist("/chat/1", kDeadly);
  BOOST_TEST(ServersEnded() <= kMaxServersEnded);
  BOOST_TEST(last_.status == 503);
  BOOST_TEST(!http::FindHeader(last_.headers, "Retry-After").empty());
  BOOST_TEST(ServedOthers("/chat/1") == kServers);
}

// Guards against a plain call that ends server after server, as its caller
// repeats it over other hosts.
BOOST_FIXTURE_TEST_CASE(ACallEndsFewServersThoughItsCallerInsists, Site) {
  Insist("/read/1", kDeadly);
  BOOST_TEST(ServersEnded() <= kMaxServersEnded);
  BOOST_TEST(last_.status == 503);
  BOOST_TEST(!http::FindHeader(last_.headers, "Retry-After").empty());
  BOOST_TEST(ServedOthers("/read/1") == kServers);
}

// Guards against a request that ends more servers once the host that counted
// them is gone.
BOOST_FIXTURE_TEST_CASE(AStreamEndsFewServersThoughADispatcherIsKilled, Site) {
  Insist("/chat/1", kDeadly);
  GatewayProcess* dispatcher = nullptr;
  WaitUntil("a host's log names it as dispatcher", [&] {
    for (auto& host : hosts_) {
      const std::string said = host->process().Output();
      if (said.find("event=group-taken service=llm") != std::string::npos) {
        dispatcher = host.get();
      }
    }
    return dispatcher != nullptr;
  });
  dispatcher->process().KillAndWait();
  Insist("/chat/1", kDeadly);
  BOOST_TEST(ServersEnded() <= kMaxServersEnded);
}

}  // namespace
}  // namespace gentianlb::process
