// A server's answer goes on without end behind its last chunk. The entry host
// that reads it keeps all of that until its memory is exceeded, and the
// platform kills it together with what it serves from sound servers.

#include <signal.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "harness.h"

namespace review {
namespace {

constexpr char kConfiguration[] = R"({"version":7,
 "routes":[
  {"name":"chat-answer","host":"a.example","prefix":"/chat/",
   "route_type":"streaming","timeout_ms":12000,"slo_ms":500,"priority":1,
   "service":"sock-llm","max_attempts":1,"public":false,"sticky":true,
   "resumable":false,"gap_target_ms":250},
  {"name":"refund-check","host":"a.example","prefix":"/refund/",
   "route_type":"non_idempotent","timeout_ms":1200,"slo_ms":150,"priority":2,
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

constexpr int kClients = 6;              // Of the sound servers.
constexpr std::int64_t kWorkMs = 100;    // Of a sound server.
constexpr std::int64_t kMemoryMb = 110;  // `memory_mb` of a machine.
constexpr std::int64_t kLongestMs = 14'000;
constexpr int kAllowed = 3;  // Requests that the rule allows to be lost.

std::atomic<bool> stopping = false;

void ServeRecords(Socket& socket) {
  Request request;
  while (ReadRequest(socket, &request)) {
    const std::string id = request.Header("Request-Id");
    SleepMs(kWorkMs);
    const Headers headers = {{"Request-Id", id},
                             {"Server-Stamp", "stamp." + id},
                             {"Server-Load", "0,0,6"}};
    if (!socket.Send(AnswerText("200 OK", headers, "refund " + id))) return;
  }
}

void ServeStreams(Socket& socket, Record& record) {
  Request request;
  while (ReadRequest(socket, &request)) {
    const std::string id = request.Header("Request-Id");
    socket.Send(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " +
        id + "\r\nServer-Stamp: stamp." + id +
        "\r\nServer-Load: 1,0,18\r\nTransfer-Encoding: chunked\r\n\r\n"
        "12\r\nid: 1\ndata: word\n\n\r\n0\r\n");
    if (!Trouble()) {
      socket.Send("\r\n");
      continue;
    }
    record.Line("server goes on without end, request=" + id);
    std::string bytes;
    for (int i = 0; i < 1000; ++i) bytes += "x: y\r\n";
    while (!stopping && socket.Send(bytes)) {
    }
    record.Line("server's caller has closed, request=" + id);
    return;
  }
}

Headers HeadersOf(const std::string& id, const std::string& deadline_ms) {
  return {{"Host", "a.example"},
          {"Request-Id", id},
          {"Deadline-Ms", deadline_ms},
          {"Authorization", "Bearer key-city"}};
}

int Run(const std::string& path) {
  Record record(path);
  Site site(kConfiguration, {"hall-a", "hall-b"});
  Listener records(site.ip(), 0, ServeRecords);
  Listener engine(site.ip(), 0,
                  [&](Socket& socket) { ServeStreams(socket, record); });
  site.store().Put(
      "servers", "i-7f3a91c2",
      ServerRow("sub-records", site.ip() + ":" + std::to_string(records.port()),
                "hall-a", 6));
  site.store().Put(
      "servers", "i-02d9e6b4",
      ServerRow("sock-llm", site.ip() + ":" + std::to_string(engine.port()),
                "hall-a", 18));
  site.Start();
  Gateway& gateway = site.gateway(0);
  record.Line("memory_mb=" + std::to_string(gateway.MemoryMb()) + " of " +
              std::to_string(kMemoryMb));
  std::atomic<int> answered = 0;
  std::atomic<int> lost = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const auto client = gateway.Connect();
      for (int turn = 1; client != nullptr && !stopping; ++turn) {
        const std::string id =
            "call-" + std::to_string(i + 1) + "-" + std::to_string(turn);
        client->Send(RequestText("POST", "/refund/1", HeadersOf(id, "2500"),
                                 "amount=7"));
        const Answer answer = ReadAnswer(*client);
        if (answer.complete) {
          ++answered;
          continue;
        }
        record.Line("client request=" + id +
                    " of a kept connection, answer=" + answer.Text());
        if (turn > 1) ++lost;
        return;
      }
    });
  }
  SleepMs(500);
  std::thread caller([&] {
    const auto client = gateway.Connect();
    if (client == nullptr) return;
    Headers headers = HeadersOf("stream-1", "12000");
    headers.emplace_back("Model", "m");
    headers.emplace_back("Token-Count", "100,6");
    headers.emplace_back("Prefix-Hash", "5c1e07a2:60,91bd:40");
    client->Send(RequestText("POST", "/chat/1", headers, "question"));
    record.Line("client sent request=stream-1");
    const Answer answer = ReadAnswer(*client);
    record.Line("client request=stream-1 answer=" + answer.Text());
  });
  // The platform: a process over its memory is killed.
  const std::int64_t until = NowMs() + (Trouble() ? kLongestMs : 3000);
  std::int64_t peak = 0;
  while (NowMs() < until) {
    const std::int64_t used = gateway.MemoryMb();
    peak = std::max(peak, used);
    if (used > kMemoryMb) {
      gateway.Signal(SIGKILL);
      record.Line("killed for its memory process=" + gateway.name() +
                  " memory_mb=" + std::to_string(used));
      break;
    }
    SleepMs(5);
  }
  SleepMs(300);
  stopping = true;
  for (std::thread& client : clients) client.join();
  caller.join();
  record.Line("result answered=" + std::to_string(answered) +
              " lost_at_sound_servers=" + std::to_string(lost) +
              " allowed=" + std::to_string(kAllowed) +
              " peak_memory_mb=" + std::to_string(peak));
  return lost > kAllowed ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int, char** arguments) {
  const std::string path = arguments[1];
  return review::RunCase([&] { return review::Run(path); });
}
