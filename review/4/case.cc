// Entry hosts are stopped and started in turn while servers of two software
// versions serve. The streams that the first one has to cut are taken up again
// and refused, because every host that knew their version has restarted.

#include <signal.h>

#include <atomic>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "harness.h"

namespace review {
namespace {

constexpr char kConfiguration[] = R"({"version":7,
 "routes":[
  {"name":"letter-reply","host":"a.example","prefix":"/letter/",
   "route_type":"streaming","timeout_ms":15000,"slo_ms":600,"priority":0,
   "service":"sock-llm","max_attempts":2,"public":false,"sticky":true,
   "resumable":true,"gap_target_ms":250}],
 "services":[{"name":"sock-llm","health_path":"/healthz","max_conns":620,
  "protocol":"h1","tls":false,"engine":{"slots":18,"kv_capacity":779558,
  "stride":6,"models":[{"name":"m"}]}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"city","api_keys":["key-city"],"priority":1,
  "unit":"tokens","uncached_tokens":200,"rate_per_s":2666000,
  "burst":2666000}]})";

constexpr int kStreams = 16;  // The rule counts from 12 on.
constexpr int kEvents = 110;
constexpr std::int64_t kEventIntervalMs = 100;
constexpr std::int64_t kDeadlineMs = 15'000;
constexpr std::int64_t kGapMs = 1300;  // `gap_s` of `roll_term`.

// About when the first host cuts its streams; without the disruption, clients
// break off by themselves then.
constexpr int kEventsBeforeBreak = 78;

std::string Event(int number) {
  return "id: " + std::to_string(number) + "\ndata: word" +
         std::to_string(number) + "\n\n";
}

std::string Chunk(const std::string& bytes) {
  char length[16];
  snprintf(length, sizeof length, "%zx\r\n", bytes.size());
  return length + bytes + "\r\n";
}

void ServeStreams(Socket& socket, const std::string& server, Record& record) {
  Request request;
  while (ReadRequest(socket, &request)) {
    const std::string id = request.Header("Request-Id");
    const int last = std::atoi(request.Header("Last-Event-Id").c_str());
    record.Line("server " + server + " runs request=" + id + " after_event=" +
                std::to_string(last) + " resumes=" + request.Header("Resumes"));
    socket.Send(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " +
        id + "\r\nServer-Stamp: stamp." + id +
        "\r\nServer-Load: 1,0,18\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::int64_t begun_ms = NowMs();
    for (int i = last + 1; i <= kEvents; ++i) {
      if (socket.IsClosedByPeer() || !socket.Send(Chunk(Event(i)))) return;
      SleepUntilMs(begun_ms + (i - last) * kEventIntervalMs);
    }
    if (!socket.Send("0\r\n\r\n")) return;
  }
}

// What a client has of one stream.
struct Stream {
  int status = 0;
  int first_event = 0;
  int last_event = 0;
  bool complete = false;
};

// Sends a request and reads events until the end, or up to `until`.
Stream Fetch(Gateway& gateway, const std::string& id, std::int64_t deadline_ms,
             const std::string& resumes, int last, int until) {
  Stream stream;
  stream.last_event = last;
  const auto client = gateway.Connect();
  if (client == nullptr) return stream;
  Headers headers = {{"Host", "a.example"},
                     {"Request-Id", id},
                     {"Model", "m"},
                     {"Token-Count", "100,660"},
                     {"Prefix-Hash", "5c1e07a2:60," + id + ":40"},
                     {"Deadline-Ms", std::to_string(deadline_ms)},
                     {"Authorization", "Bearer key-city"}};
  if (!resumes.empty()) {
    headers.emplace_back("Last-Event-Id", std::to_string(last));
    headers.emplace_back("Resumes", resumes);
  }
  client->Send(RequestText("POST", "/letter/1", headers, "letter"));
  std::string line;
  while (stream.last_event < until && client->ReadLine(&line)) {
    if (line.rfind("HTTP/1.1 ", 0) == 0) {
      stream.status = std::atoi(line.c_str() + 9);
      if (stream.status != 200) return stream;
    }
    if (line == "0") stream.complete = true;
    if (line.rfind("id: ", 0) != 0) continue;
    stream.last_event = std::atoi(line.c_str() + 4);
    if (stream.first_event == 0) stream.first_event = stream.last_event;
  }
  return stream;
}

int Run(const std::string& path) {
  Record record(path);
  Site site(kConfiguration, {"hall-a", "hall-b", "hall-c"});
  std::vector<std::unique_ptr<Listener>> servers;
  // Two servers of each of two versions.
  for (int i = 0; i < 4; ++i) {
    const std::string id = "i-7f3a91c" + std::to_string(i);
    const std::string version = i % 2 == 0 ? "v1" : "v2";
    servers.push_back(std::make_unique<Listener>(
        site.ip(), 0, [id, version, &record](Socket& socket) {
          ServeStreams(socket, id + "/" + version, record);
        }));
    site.store().Put(
        "servers", id,
        ServerRow("sock-llm",
                  site.ip() + ":" + std::to_string(servers.back()->port()),
                  i < 2 ? "hall-a" : "hall-b", 18, version));
  }
  site.Start();
  std::atomic<int> taken_up = 0;
  std::atomic<int> went_on = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kStreams; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = "stream-" + std::to_string(i + 1);
      const std::int64_t sent = NowMs();
      const int until = Trouble() ? kEvents : kEventsBeforeBreak;
      const Stream begun =
          Fetch(site.gateway(0), id, kDeadlineMs, "", 0, until);
      record.Line("client request=" + id +
                  " status=" + std::to_string(begun.status) +
                  " events=" + std::to_string(begun.last_event) +
                  " complete=" + std::to_string(begun.complete));
      if (begun.status != 200 || begun.complete) return;
      // The first host was stopped; the second has been ready for a while.
      SleepMs(200);
      const std::string next = "taken-" + std::to_string(i + 1);
      const Stream taken =
          Fetch(site.gateway(1), next, kDeadlineMs - (NowMs() - sent), id,
                begun.last_event, kEvents);
      const bool goes_on = taken.first_event == begun.last_event + 1;
      record.Line("client takes up " + id + " as request=" + next +
                  " status=" + std::to_string(taken.status) +
                  " first_event=" + std::to_string(taken.first_event) +
                  " goes_on=" + std::to_string(goes_on));
      ++taken_up;
      if (goes_on) ++went_on;
    });
  }
  SleepMs(500);
  if (Trouble()) {
    for (std::size_t i = 0; i < 3; ++i) {
      site.gateway(i).Signal(SIGTERM);
      record.Line("SIGTERM to " + site.gateway(i).name());
      if (i < 2) SleepMs(kGapMs);
    }
    // Each starts again once it has stopped, as the platform does it.
    for (const std::size_t i : {1, 2, 0}) {
      site.gateway(i).Wait();
      site.gateway(i).Start();
      record.Line("started again " + site.gateway(i).name());
    }
  } else {
    SleepMs(7600);
  }
  // New streams at the same host and time.
  std::atomic<int> began = 0;
  for (int i = 0; i < kStreams; ++i) {
    clients.emplace_back([&, i] {
      const Stream stream =
          Fetch(site.gateway(1), "new-" + std::to_string(i + 1), kDeadlineMs,
                "", 0, 3);
      if (stream.last_event >= 1) ++began;
    });
  }
  for (std::thread& client : clients) client.join();
  record.Line("result taken_up=" + std::to_string(taken_up) + " went_on=" +
              std::to_string(went_on) + " new=" + std::to_string(kStreams) +
              " began=" + std::to_string(began));
  if (taken_up < 12 || began == 0) return kCouldNot;
  const double share = static_cast<double>(went_on) / taken_up;
  const double share_of_new = static_cast<double>(began) / kStreams;
  return share < share_of_new / 2 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int, char** arguments) {
  const std::string path = arguments[1];
  return review::RunCase([&] { return review::Run(path); });
}
