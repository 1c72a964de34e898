// Requests within the header limit of the configuration run at a server, and
// their connection closes without an answer.

#include <atomic>
#include <string>

#include "harness.h"

namespace review {
namespace {

constexpr char kConfiguration[] = R"({"version":7,
 "routes":[
  {"name":"refund-check","host":"records.example","prefix":"/refund/",
   "route_type":"non_idempotent","timeout_ms":1200,"slo_ms":150,"priority":2,
   "service":"sub-records","max_attempts":1,"public":false}],
 "services":[{"name":"sub-records","health_path":"/healthz","max_conns":100,
  "protocol":"h1","tls":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"city","api_keys":["key-city"],"priority":1,
  "unit":"tokens","uncached_tokens":200,"rate_per_s":266600,
  "burst":266600}]})";

// Of the request line and all header lines, below `max_header_bytes`.
constexpr std::size_t kHeaderBytes = 16000;

// How often each number of header lines is sent.
constexpr int kTurns = 4;

// The rule allows three requests without an answer.
constexpr int kAllowed = 3;

std::atomic<int> runs = 0;

void ServeRecords(Socket& socket, Record& record) {
  Request request;
  while (ReadRequest(socket, &request)) {
    const std::string id = request.Header("Request-Id");
    ++runs;
    record.Line("server runs request=" + id);
    const Headers headers = {{"Request-Id", id},
                             {"Server-Stamp", "stamp." + id},
                             {"Server-Load", "0,0,6"}};
    if (!socket.Send(AnswerText("200 OK", headers, "refund " + id))) return;
  }
}

// Returns a request of kHeaderBytes whose headers have `lines` lines more than
// those that the pages name.
std::string MakeRequest(const std::string& id, int lines) {
  Headers headers = {{"Host", "records.example"},
                     {"Request-Id", id},
                     {"Deadline-Ms", "2500"},
                     {"Authorization", "Bearer key-city"}};
  const std::string plain =
      RequestText("POST", "/refund/1", headers, "amount=7");
  const std::size_t each =
      (kHeaderBytes - plain.size()) / static_cast<std::size_t>(lines);
  for (int i = 0; i < lines; ++i) {
    const std::string name = "X-Detail-" + std::to_string(100 + i);
    headers.emplace_back(name, std::string(each - name.size() - 4, 'd'));
  }
  return RequestText("POST", "/refund/1", headers, "amount=7");
}

int Run(const std::string& path) {
  Record record(path);
  Site site(kConfiguration, {"hall-a"});
  Listener server(site.ip(), 0,
                  [&](Socket& socket) { ServeRecords(socket, record); });
  site.store().Put(
      "servers", "i-7f3a91c2",
      ServerRow("sub-records", site.ip() + ":" + std::to_string(server.port()),
                "hall-a", 6));
  site.Start();
  // Without the disruption, the same bytes stand in a few long headers.
  const int from = Trouble() ? 50 : 2;
  const int to = Trouble() ? 80 : 32;
  int lost = 0;
  int refused = 0;
  int number = 0;
  for (int turn = 0; turn < kTurns * (to - from); ++turn) {
    const int lines = from + turn / kTurns;
    const auto client = site.gateway(0).Connect();
    if (client == nullptr) CouldNotRun("the gateway doesn't listen");
    // A small request first: the connection is a kept one.
    for (const int count : {1, lines}) {
      const std::string id = "req-" + std::to_string(++number);
      const std::string request =
          count == 1 ? RequestText("POST", "/refund/1",
                                   {{"Host", "records.example"},
                                    {"Request-Id", id},
                                    {"Deadline-Ms", "2500"},
                                    {"Authorization", "Bearer key-city"}},
                                   "amount=7")
                     : MakeRequest(id, count);
      const int before = runs;
      client->Send(request);
      const Answer answer = ReadAnswer(*client);
      const bool ran = runs > before;
      record.Line("client sent request=" + id +
                  " header_lines=" + std::to_string(count + 4) +
                  " header_bytes=" + std::to_string(request.size() - 8) +
                  " ran=" + std::to_string(ran) + " answer=" + answer.Text());
      if (ran && answer.status == 0) ++lost;
      if (answer.status == 431) ++refused;
    }
  }
  record.Line("result ran_and_closed_without_an_answer=" +
              std::to_string(lost) + " allowed=" + std::to_string(kAllowed) +
              " refused_with_431=" + std::to_string(refused));
  return lost > kAllowed ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int, char** arguments) {
  const std::string path = arguments[1];
  return review::RunCase([&] { return review::Run(path); });
}
