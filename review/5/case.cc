// A plain request that an entry host accepts late in its drain is passed on to
// a server, and its connection is closed before the server's answer.

#include <signal.h>

#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "harness.h"

namespace review {
namespace {

// The time-outs are those of the sheets' site files: 2,000 ms for
// `refund-check` of the grown deployment, 12,000 ms for `chat-answer`.
constexpr char kConfiguration[] = R"({"version":7,
 "routes":[
  {"name":"chat-answer","host":"a.example","prefix":"/chat/",
   "route_type":"streaming","timeout_ms":12000,"slo_ms":500,"priority":1,
   "service":"sock-llm","max_attempts":1,"public":false,"sticky":true,
   "resumable":false,"gap_target_ms":250},
  {"name":"refund-check","host":"a.example","prefix":"/refund/",
   "route_type":"non_idempotent","timeout_ms":2000,"slo_ms":300,"priority":2,
   "service":"sub-records","max_attempts":1,"public":false}],
 "services":[{"name":"sock-llm","health_path":"/healthz","max_conns":620,
  "protocol":"h1","tls":false,"engine":{"slots":18,"kv_capacity":779558,
  "stride":6,"models":[{"name":"m"}]}},
  {"name":"sub-records","health_path":"/healthz","max_conns":100,
  "protocol":"h1","tls":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"city","api_keys":["key-city"],"priority":1,
  "unit":"tokens","uncached_tokens":200,"rate_per_s":266600,
  "burst":266600}]})";

constexpr int kClients = 5;
constexpr std::int64_t kTimeoutMs = 2000;  // Of the route of plain requests.
constexpr std::int64_t kGraceMs = 8000;

// Of a plain request: longer than usual, and within the route's time-out.
constexpr std::int64_t kWorkMs = 1750;

// A stream of a client ends so long after its begin, shortly before which
// SIGTERM came; the client then uses its connection again.
constexpr int kEvents = 63;
constexpr std::int64_t kEventIntervalMs = 100;
constexpr std::int64_t kStaggerMs = 60;

std::mutex mutex;
std::set<std::string> ran;

void ServeRecords(Socket& socket, Record& record) {
  Request request;
  while (ReadRequest(socket, &request)) {
    const std::string id = request.Header("Request-Id");
    {
      const std::lock_guard<std::mutex> lock(mutex);
      ran.insert(id);
    }
    record.Line("server runs request=" + id +
                " deadline_ms=" + request.Header("Deadline-Ms"));
    SleepMs(kWorkMs);
    const Headers headers = {{"Request-Id", id},
                             {"Server-Stamp", "stamp." + id},
                             {"Server-Load", "0,0,6"}};
    const bool sent =
        !socket.IsClosedByPeer() &&
        socket.Send(AnswerText("200 OK", headers, "refund " + id));
    record.Line("server finished request=" + id +
                " could_answer=" + std::to_string(sent));
    if (!sent) return;
  }
}

void ServeStreams(Socket& socket) {
  Request request;
  while (ReadRequest(socket, &request)) {
    const std::string id = request.Header("Request-Id");
    socket.Send(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " +
        id + "\r\nServer-Stamp: stamp." + id +
        "\r\nServer-Load: 1,0,18\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::int64_t begun_ms = NowMs();
    for (int i = 1; i <= kEvents; ++i) {
      const std::string event = "id: " + std::to_string(i) + "\ndata: w\n\n";
      char length[16];
      snprintf(length, sizeof length, "%zx\r\n", event.size());
      if (!socket.Send(length + event + "\r\n")) return;
      SleepUntilMs(begun_ms + i * kEventIntervalMs);
    }
    if (!socket.Send("0\r\n\r\n")) return;
  }
}

Headers HeadersOf(const std::string& id, const std::string& deadline_ms) {
  return {{"Host", "a.example"},
          {"Request-Id", id},
          {"Deadline-Ms", deadline_ms},
          {"Authorization", "Bearer key-city"}};
}

struct Outcome {
  Answer stream;
  Answer call;
};

int Run(const std::string& path) {
  Record record(path);
  Site site(kConfiguration, {"hall-a", "hall-b"});
  Listener records(site.ip(), 0,
                   [&](Socket& socket) { ServeRecords(socket, record); });
  Listener engine(site.ip(), 0, [&](Socket& socket) { ServeStreams(socket); });
  site.store().Put(
      "servers", "i-7f3a91c2",
      ServerRow("sub-records", site.ip() + ":" + std::to_string(records.port()),
                "hall-a", 6));
  site.store().Put(
      "servers", "i-02d9e6b4",
      ServerRow("sock-llm", site.ip() + ":" + std::to_string(engine.port()),
                "hall-a", 18));
  site.Start();
  std::vector<Outcome> outcomes(kClients);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    const auto client = site.gateway(0).Connect();
    if (client == nullptr) CouldNotRun("the gateway doesn't listen");
    clients.emplace_back([client, i, &record,
                          &outcome = outcomes[static_cast<std::size_t>(i)]] {
      Headers headers = HeadersOf("stream-" + std::to_string(i + 1), "12000");
      headers.emplace_back("Model", "m");
      headers.emplace_back("Token-Count", "100,354");
      headers.emplace_back("Prefix-Hash", "5c1e07a2:60,91bd:40");
      client->Send(RequestText("POST", "/chat/1", headers, "question"));
      outcome.stream = ReadAnswer(*client);
      if (!outcome.stream.complete) return;
      const std::string id = "call-" + std::to_string(i + 1);
      record.Line("client got the whole stream, connection=" +
                  outcome.stream.Header("Connection") +
                  "; on the same connection it sends request=" + id);
      client->Send(
          RequestText("POST", "/refund/1", HeadersOf(id, "4000"), "amount=7"));
      outcome.call = ReadAnswer(*client);
    });
    SleepMs(kStaggerMs);
  }
  SleepMs(100);
  const std::int64_t term_ms = NowMs();
  if (Trouble()) {
    site.gateway(0).Signal(SIGTERM);
    record.Line("SIGTERM to " + site.gateway(0).name());
  }
  for (std::thread& client : clients) client.join();
  int lost = 0;
  for (int i = 0; i < kClients; ++i) {
    const std::string id = "call-" + std::to_string(i + 1);
    const Answer& answer = outcomes[static_cast<std::size_t>(i)].call;
    const bool has_run = ran.contains(id);
    const std::int64_t waited = answer.ended_ms - answer.sent_ms;
    record.Line("client request=" + id + " sent_after_sigterm_ms=" +
                std::to_string(answer.sent_ms - term_ms) + " passed_on=" +
                std::to_string(has_run) + " answer=" + answer.Text() +
                " after_ms=" + std::to_string(waited));
    // Not counted by the rule: the route's time-out was reached, or the time
    // of SIGTERM and 1 s is over.
    const bool in_time = waited < kTimeoutMs;
    const bool in_grace = answer.ended_ms <= term_ms + kGraceMs + 1000;
    if (has_run && !answer.complete && in_time && in_grace) ++lost;
  }
  record.Line("result passed_on_and_closed_without_an_answer=" +
              std::to_string(lost));
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int, char** arguments) {
  const std::string path = arguments[1];
  return review::RunCase([&] { return review::Run(path); });
}
