// Several gateways as processes that dispatch for each other, before stand-ins
// for backend servers.

#ifndef GENTIANLB_PROCESS_GATEWAY_SITE_TEST_H_
#define GENTIANLB_PROCESS_GATEWAY_SITE_TEST_H_

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "http/client.h"
#include "process/gateway_process_test.h"
#include "process/process.h"
#include "standins/feed_table.h"
#include "standins/platform_server.h"

namespace gentianlb::process {

// Calls of a plain service.
inline constexpr char kCallConfiguration[] = R"({"version":1,
 "routes":[
  {"name":"read","host":"one.example","prefix":"/read/",
   "route_type":"idempotent","timeout_ms":2000,"slo_ms":500,"priority":1,
   "service":"plain","max_attempts":2,"public":true}],
 "services":[{"name":"plain","max_conns":100}],
 "limits":{"idle_timeout_ms":15000}})";

// Streams of a model service and calls of a plain one.
inline constexpr char kStreamAndCallConfiguration[] = R"({"version":1,
 "routes":[
  {"name":"chat","host":"one.example","prefix":"/chat/",
   "route_type":"streaming","timeout_ms":9000,"slo_ms":5000,"priority":0,
   "service":"llm","max_attempts":2,"public":true,"resumable":true},
  {"name":"read","host":"one.example","prefix":"/read/",
   "route_type":"idempotent","timeout_ms":9000,"slo_ms":5000,"priority":1,
   "service":"plain","max_attempts":2,"public":true}],
 "services":[
  {"name":"llm","engine":{"slots":8,"kv_capacity":100000,"stride":1,
   "models":[{"name":"m"}]}},
  {"name":"plain","max_conns":100}],
 "limits":{"idle_timeout_ms":15000}})";

class GatewaySite {
 public:
  static constexpr std::size_t kHosts = 4;
  static constexpr int kEvents = 5;  // Of a stream.

  // Starts `servers` servers of each service, with the versions in turn, and
  // the gateways.
  GatewaySite(const std::string& configuration,
              const std::vector<std::string>& services, int servers,
              const std::vector<std::string>& versions = {""}) {
    for (const std::string& service : services) {
      for (int i = 0; i < servers; ++i) {
        const auto turn = static_cast<std::size_t>(i) % versions.size();
        servers_.push_back(std::make_unique<standins::PlatformServer>(
            absl::StrCat(service, "-", i), kEvents, versions[turn]));
        const standins::PlatformServer& server = *servers_.back();
        table_.Put("servers", server.id(), server.Registration(service));
      }
    }
    table_.Put("op", "config", configuration);
    for (std::size_t i = 0; i < kHosts; ++i) {
      hosts_.push_back(std::make_unique<GatewayProcess>(
          folder_, absl::StrCat("h", i), table_.port()));
    }
    for (auto& host : hosts_) host->WaitUntilReady(client_);
    WaitUntilConnected();
  }
  GatewaySite(const GatewaySite&) = delete;
  GatewaySite& operator=(const GatewaySite&) = delete;

  void WaitUntilConnected() {
    WaitUntil("all hosts dispatch for each other", [this] {
      return std::all_of(hosts_.begin(), hosts_.end(), [this](auto& host) {
        return host->Metrics(client_).find(
                   absl::StrCat("gentianlb_peers_reachable ", kHosts - 1)) !=
               std::string::npos;
      });
    });
  }

  // Returns one attempt of a caller, over host number `host` modulo kHosts.
  http::ClientRequest MakeRequest(int host, const std::string& path,
                                  const std::string& body,
                                  const std::string& deadline_ms) {
    http::ClientRequest request;
    request.method = "POST";
    request.url = GatewayProcess::Url(
        hosts_[static_cast<std::size_t>(host) % kHosts]->callers(), "/");
    request.target = path;
    request.headers = {{"Host", "one.example"},
                       {"Request-Id", absl::StrCat("r", ++requests_)},
                       {"Deadline-Ms", deadline_ms}};
    request.body = body;
    return request;
  }

  standins::FeedTable table_;
  std::vector<std::unique_ptr<standins::PlatformServer>> servers_;
  TempFolder folder_;
  http::Client client_;
  std::vector<std::unique_ptr<GatewayProcess>> hosts_;

 private:
  int requests_ = 0;
};

}  // namespace gentianlb::process

#endif  // GENTIANLB_PROCESS_GATEWAY_SITE_TEST_H_
