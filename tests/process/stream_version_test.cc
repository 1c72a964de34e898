// Several gateways as processes, before servers of two software versions whose
// streams break off and are taken up again.

#include <signal.h>

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/blocking_counter.h"
#include "absl/time/clock.h"
#include "http/client.h"
#include "process/gateway_site_test.h"
#include "standins/platform_server.h"

namespace gentianlb::process {
namespace {

// On /once/ a request is sent to one server only; on /twice/ the gateway itself
// resumes a stream that breaks off.
constexpr char kConfiguration[] = R"({"version":1,
 "routes":[
  {"name":"once","host":"one.example","prefix":"/once/",
   "route_type":"streaming","timeout_ms":9000,"slo_ms":1000,"priority":1,
   "service":"llm","max_attempts":1,"public":true,"resumable":true},
  {"name":"twice","host":"one.example","prefix":"/twice/",
   "route_type":"streaming","timeout_ms":9000,"slo_ms":1000,"priority":1,
   "service":"llm","max_attempts":2,"public":true,"resumable":true}],
 "services":[
  {"name":"llm","engine":{"slots":8,"kv_capacity":100000,"stride":1,
   "models":[{"name":"m"}]}}],
 "limits":{"idle_timeout_ms":15000}})";

constexpr int kStreams = 48;
constexpr int kEventsBeforeTheCut = 3;

// Until servers that broke off their streams get requests again.
constexpr absl::Duration kRecovery = absl::Seconds(1);

// The share of taken up streams that must go on.
constexpr double kGoal = 0.9;

const std::vector<std::string> versions = {"v1", "v2"};

// Returns the versions that wrote the events of a stream.
std::set<std::string> VersionsIn(const std::string& events) {
  std::set<std::string> found;
  for (const std::string& version : versions) {
    if (absl::StrContains(events, "word" + version)) found.insert(version);
  }
  return found;
}

struct Stream {
  std::string id;      // Of the first attempt.
  std::string events;  // All that the caller got.
  int host = 0;        // Over which it began.
};

class Site : public GatewaySite {
 public:
  static constexpr int kServers = 8;

  Site() : GatewaySite(kConfiguration, {"llm"}, kServers, versions) {}

  void Cut(int after_events, int every = 1) {
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      const bool cuts = i % static_cast<std::size_t>(every) == 0;
      servers_[i]->SetFaults({.cut_after_events = cuts ? after_events : -1});
    }
  }

  http::ClientRequest MakeStream(int host, const std::string& path) {
    http::ClientRequest request = MakeRequest(host, path, "", "8000");
    request.headers.push_back({"Model", "m"});
    request.headers.push_back({"Token-Count", "100,10"});
    return request;
  }

  // Sends all requests at once, so that they spread over the servers.
  std::vector<http::Reply> FetchAll(
      const std::vector<http::ClientRequest>& requests) {
    std::vector<http::Reply> replies(requests.size());
    absl::BlockingCounter open(static_cast<int>(requests.size()));
    for (std::size_t i = 0; i < requests.size(); ++i) {
      client_.Fetch(requests[i], [&replies, &open, i](http::Reply reply) {
        replies[i] = std::move(reply);
        open.DecrementCount();
      });
    }
    open.Wait();
    return replies;
  }

  // Begins streams over all hosts in turn, each of which breaks off.
  std::vector<Stream> Begin() {
    Cut(kEventsBeforeTheCut);
    std::vector<Stream> streams(kStreams);
    std::vector<http::ClientRequest> requests;
    for (int i = 0; i < kStreams; ++i) {
      Stream& stream = streams[static_cast<std::size_t>(i)];
      stream.host = i % static_cast<int>(kHosts);
      requests.push_back(MakeStream(stream.host, absl::StrCat("/once/", i)));
      stream.id =
          std::string(http::FindHeader(requests.back().headers, "Request-Id"));
    }
    const std::vector<http::Reply> replies = FetchAll(requests);
    for (std::size_t i = 0; i < streams.size(); ++i) {
      streams[i].events = replies[i].body;
    }
    Cut(-1);
    absl::SleepFor(kRecovery);
    return streams;
  }

  // Takes each stream up over another host, which is not `avoided`. Returns the
  // number of those that end.
  int TakeUp(std::vector<Stream>* streams, int avoided = -1) {
    std::vector<http::ClientRequest> requests;
    for (const Stream& stream : *streams) {
      int host = (stream.host + 1) % static_cast<int>(kHosts);
      if (host == avoided) host = (host + 1) % static_cast<int>(kHosts);
      http::ClientRequest request =
          MakeStream(host, absl::StrCat("/once/", requests.size()));
      request.headers.push_back({"Resumes", stream.id});
      request.headers.push_back(
          {"Last-Event-Id", absl::StrCat(kEventsBeforeTheCut)});
      requests.push_back(std::move(request));
    }
    int ended = 0;
    const std::vector<http::Reply> replies = FetchAll(requests);
    for (std::size_t i = 0; i < streams->size(); ++i) {
      if (replies[i].status != 200) continue;
      (*streams)[i].events += replies[i].body;
      ended += absl::StrContains(replies[i].body, absl::StrCat("id: ", kEvents))
                   ? 1
                   : 0;
    }
    return ended;
  }

  void KillAll() {
    for (auto& host : hosts_) {
      host->process().Signal(SIGKILL);
      WaitUntil("it has ended", [&] { return host->process().HasEnded(); });
    }
  }
  void RunAll() {
    for (auto& host : hosts_) host->Run("again");
    for (auto& host : hosts_) host->WaitUntilReady(client_);
    WaitUntilConnected();
  }

  static int CountMixed(const std::vector<Stream>& streams) {
    int mixed = 0;
    for (const Stream& stream : streams) {
      mixed += VersionsIn(stream.events).size() > 1 ? 1 : 0;
    }
    return mixed;
  }
};

// Guards against streams that a caller takes up and that go on at another
// software version.
BOOST_AUTO_TEST_CASE(AStreamThatACallerTakesUpGoesOnAtItsVersion) {
  Site site;
  std::vector<Stream> streams = site.Begin();
  const int ended = site.TakeUp(&streams);
  BOOST_TEST(site.CountMixed(streams) == 0);
  BOOST_TEST(ended >= kGoal * kStreams);
}

// The same when the host over which a part of them began is killed.
BOOST_AUTO_TEST_CASE(AStreamOfAKilledHostGoesOnAtItsVersion) {
  constexpr int kKilled = 1;
  Site site;
  std::vector<Stream> streams = site.Begin();
  site.hosts_[kKilled]->process().Signal(SIGKILL);
  const int ended = site.TakeUp(&streams, kKilled);
  BOOST_TEST(site.CountMixed(streams) == 0);
  BOOST_TEST(ended >= kGoal * kStreams);
}

// Guards against streams that don't go on because all hosts that knew their
// versions were killed.
BOOST_AUTO_TEST_CASE(AStreamGoesOnAfterAllHostsWereKilled) {
  Site site;
  std::vector<Stream> streams = site.Begin();
  site.KillAll();
  site.RunAll();
  const int ended = site.TakeUp(&streams);
  BOOST_TEST(site.CountMixed(streams) == 0);
  BOOST_TEST(ended >= kStreams / 2);
}

// Guards against a guess by the version that is left when all hosts start
// again.
BOOST_AUTO_TEST_CASE(AStreamOfAVersionThatHasLeftIsRefused) {
  Site site;
  std::vector<Stream> streams = site.Begin();
  site.KillAll();
  for (std::size_t i = 0; i < site.servers_.size(); i += versions.size()) {
    site.table_.Remove("servers", site.servers_[i]->id());
  }
  site.RunAll();
  site.TakeUp(&streams);
  BOOST_TEST(site.CountMixed(streams) == 0);
}

// Guards against a guess where no host can know any more: no stream is mixed,
// and each refusal is at once.
BOOST_AUTO_TEST_CASE(AStreamOfAnUnknownVersionIsRefused) {
  Site site;
  std::vector<Stream> streams = site.Begin();
  site.KillAll();
  for (const std::string& key : site.table_.Keys("entry_streams")) {
    site.table_.Remove("entry_streams", key);
  }
  site.RunAll();
  site.TakeUp(&streams);
  BOOST_TEST(site.CountMixed(streams) == 0);
}

// Guards against a gateway that resumes a stream at another version itself.
BOOST_AUTO_TEST_CASE(AGatewayResumesAStreamAtItsVersion) {
  Site site;
  site.Cut(kEventsBeforeTheCut, /*every=*/3);
  std::vector<http::ClientRequest> requests;
  requests.reserve(kStreams);
  for (int i = 0; i < kStreams; ++i) {
    requests.push_back(site.MakeStream(i, absl::StrCat("/twice/", i)));
  }
  int mixed = 0;
  int ended = 0;
  for (const http::Reply& reply : site.FetchAll(requests)) {
    mixed += VersionsIn(reply.body).size() > 1 ? 1 : 0;
    ended += absl::StrContains(reply.body, absl::StrCat("id: ", site.kEvents))
                 ? 1
                 : 0;
  }
  BOOST_TEST(mixed == 0);
  BOOST_TEST(ended > kStreams / 2);
}

}  // namespace
}  // namespace gentianlb::process
