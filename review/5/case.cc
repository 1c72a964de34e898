// The servers of a service are replaced by ones of another software version.
// While the last old ones finish their streams, all entry hosts are killed and
// start again. Are the streams that callers take up mixed from both versions?

#include <signal.h>

#include <cstdlib>
#include <memory>
#include <set>
#include <thread>
#include <vector>

#include "deployment.h"

namespace review {
namespace {

constexpr int kStreams = 9;
constexpr int kEvents = 60;
constexpr std::int64_t kEventMs = 100;
constexpr int kDeadlineMs = 15'000;
constexpr std::int64_t kRestartMs = 500;  // Of a process that was killed.
constexpr std::int64_t kRetryMs = 2000;   // Of a caller whose stream broke.
constexpr std::size_t kAllowedMixed = 2;

// Returns whether this of the two disruptions takes place.
bool Happens(const std::string& disruption) {
  const char* only = std::getenv("ONLY");
  return Trouble() && (only == nullptr || only == disruption);
}

// Serves streams of which each event names the version of the software.
ModelServer::Serve StreamsOf(const std::string& id, const std::string& version,
                             Record& record) {
  return [id, version, &record](Socket& socket, const Request& request) {
    const std::string request_id = request.Header("Request-Id");
    const int after = std::atoi(request.Header("Last-Event-Id").c_str());
    record.Line("server " + id + " (" + version + ") runs " + request_id +
                " after event " + std::to_string(after));
    socket.Send(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "Request-Id: " +
        request_id +
        "\r\nServer-Stamp: 3e1b.07\r\nTransfer-Encoding: chunked\r\n"
        "\r\n");
    for (int i = after + 1; i <= kEvents; ++i) {
      SleepMs(kEventMs);
      const std::string event =
          "id: " + std::to_string(i) + "\ndata: by " + version + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      if (socket.IsClosedByPeer()) return false;
      if (!socket.Send(size + event + "\r\n")) return false;
    }
    return socket.Send("0\r\n\r\n");
  };
}

std::set<std::string> VersionsIn(const std::string& body) {
  std::set<std::string> versions;
  for (const char* version : {"v1", "v2"}) {
    if (body.find(std::string("by ") + version) != std::string::npos) {
      versions.insert(version);
    }
  }
  return versions;
}

int Run(Record& record) {
  Site site(Configuration({{"letter", "/lohu930/", "streaming", "llm",
                            /*timeout_ms=*/15'000, /*slo_ms=*/600,
                            /*max_attempts=*/2, /*resumable=*/true}},
                          {{"llm", 18, /*engine=*/true}}),
            {"hall-a", "hall-b", "hall-c"});
  std::vector<std::unique_ptr<ModelServer>> servers;
  const auto add = [&](const std::string& id, const std::string& version) {
    servers.push_back(std::make_unique<ModelServer>(
        site.ip(), id, StreamsOf(id, version, record)));
    site.store().Put(
        "servers", id,
        ServerRow("llm", servers.back()->address(), "hall-a", 18, version));
    record.Line("server " + id + " of " + version + " registers");
  };
  add("i-old-1", "v1");
  add("i-old-2", "v1");
  site.Start();

  const std::int64_t start = NowMs();
  std::mutex mutex;
  std::size_t mixed = 0;
  std::vector<std::thread> callers;
  for (int i = 0; i < kStreams; ++i) {
    callers.emplace_back([&, i] {
      const std::string id = "c" + std::to_string(i);
      const std::string parts = "5c1e07a2:60,ab" + std::to_string(i) + "00:640";
      const std::int64_t sent = NowMs();
      Answer answer =
          Call(site.gateway(static_cast<std::size_t>(i % 3)),
               RequestText("POST", "/lohu930/2f",
                           PromptHeaders(id, kDeadlineMs, parts), "prompt"));
      std::string body = answer.body;
      if (!answer.complete && answer.status == 200) {
        const std::vector<int> ids = EventIds(body);
        body.erase(body.rfind("\n\n") + 2);
        SleepMs(kRetryMs);
        Headers headers = PromptHeaders(
            id + "-again", kDeadlineMs - static_cast<int>(NowMs() - sent),
            parts);
        headers.emplace_back("Last-Event-Id", std::to_string(ids.back()));
        headers.emplace_back("Resumes", id);
        record.Line("caller takes up " + id + " after event " +
                    std::to_string(ids.back()));
        const Answer again =
            Call(site.gateway(static_cast<std::size_t>((i + 1) % 3)),
                 RequestText("POST", "/lohu930/2f", headers, "prompt"));
        record.Line("caller got for " + id + "-again: " + again.Text());
        if (again.status == 200) body += again.body;
      }
      const std::set<std::string> versions = VersionsIn(body);
      std::string line = "caller's stream " + id + ": " +
                         std::to_string(EventIds(body).size()) +
                         " events, of versions";
      for (const std::string& version : versions) line += " " + version;
      record.Line(line);
      const std::lock_guard<std::mutex> lock(mutex);
      if (versions.size() > 1) ++mixed;
    });
  }
  if (Happens("release")) {
    // The new one starts first. The old one doesn't report that it drains: its
    // registration goes, and it serves on for some seconds.
    SleepUntilMs(start + 500);
    add("i-new-1", "v2");
    SleepUntilMs(start + 1000);
    site.store().Remove("servers", "i-old-1");
    record.Line("the registration of i-old-1 goes");
    SleepUntilMs(start + 1500);
    add("i-new-2", "v2");
    SleepUntilMs(start + 2000);
    site.store().Remove("servers", "i-old-2");
    record.Line("the registration of i-old-2 goes");
  }
  if (Happens("kill")) {
    SleepUntilMs(start + 3000);
    for (std::size_t i = 0; i < 3; ++i) site.gateway(i).Signal(SIGKILL);
    record.Line("all entry hosts are killed");
    for (std::size_t i = 0; i < 3; ++i) site.gateway(i).Wait();
    SleepMs(kRestartMs);
    for (std::size_t i = 0; i < 3; ++i) site.gateway(i).Start();
    record.Line("all entry hosts start again");
  }
  for (std::thread& caller : callers) caller.join();
  record.Line("streams=" + std::to_string(kStreams) +
              " of both versions=" + std::to_string(mixed));
  return mixed > kAllowedMixed ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int, char** arguments) {
  return review::RunCase([&] {
    review::Record record(arguments[1]);
    return review::Run(record);
  });
}
