// A plain server writes a body without end to some idempotent requests. The
// entry host breaks that off and asks another server. Does the caller get just
// that server's body?

#include <algorithm>
#include <memory>
#include <set>
#include <thread>
#include <vector>

#include "deployment.h"

namespace review {
namespace {

constexpr int kServers = 4;
constexpr int kClients = 24;
constexpr int kSpoilEach = 50;  // One in 50 answers of half of the servers.
constexpr std::int64_t kSpanMs = 8000;
constexpr std::int64_t kMaxEndlessMs = 3000;

// What the servers have done.
struct Servers {
  std::mutex mutex;
  std::map<std::string, std::set<std::string>> bodies;  // By request.
  std::map<std::string, int> spoilt;                    // By request.
};

// Writes chunks until the other side closes.
void WriteWithoutEnd(Socket& socket, const std::string& id) {
  const std::int64_t until = NowMs() + kMaxEndlessMs;
  std::string chunk = "78\r\n" + std::string(120, 'x') + "\r\n";
  std::string block;
  for (int i = 0; i < 100; ++i) block += chunk;
  socket.Send("HTTP/1.1 200 OK\r\nRequest-Id: " + id +
              "\r\nServer-Stamp: 3e1b.07\r\n"
              "Transfer-Encoding: chunked\r\n\r\n");
  while (NowMs() < until && socket.Send(block)) {
  }
}

int Run(Record& record) {
  Site site(Configuration({{"status", "/cufi504/", "idempotent", "records",
                            /*timeout_ms=*/1200, /*slo_ms=*/150,
                            /*max_attempts=*/2}},
                          {{"records"}}),
            {"hall-a", "hall-b", "hall-c"});
  Servers done;
  std::vector<std::unique_ptr<ModelServer>> servers;
  for (int i = 0; i < kServers; ++i) {
    auto answers = std::make_shared<std::atomic<int>>(0);
    const std::string name = "i-" + std::to_string(i);
    servers.push_back(std::make_unique<ModelServer>(
        site.ip(), name,
        [&, i, name, answers](Socket& socket, const Request& request) {
          SleepMs(30);
          const std::string id = request.Header("Request-Id");
          const bool faulty = Trouble() && i < kServers / 2;
          if (faulty && ++*answers % kSpoilEach == 0) {
            {
              const std::lock_guard<std::mutex> lock(done.mutex);
              ++done.spoilt[id];
            }
            record.Line("server " + name + " writes without end to " + id);
            WriteWithoutEnd(socket, id);
            return false;
          }
          const std::string body = "status of " + id + " from " + name + "\n" +
                                   std::string(700, 'b');
          {
            const std::lock_guard<std::mutex> lock(done.mutex);
            done.bodies[id].insert(body);
          }
          return socket.Send(AnswerText(
              "200 OK", {{"Request-Id", id}, {"Server-Stamp", "3e1b.07"}},
              body));
        }));
    site.store().Put("servers", name,
                     ServerRow("records", servers.back()->address(),
                               i % 2 == 0 ? "hall-a" : "hall-b", 6));
  }
  site.Start();

  std::mutex mutex;
  int sent = 0;
  int served = 0;
  int wrong = 0;
  std::vector<std::thread> clients;
  const std::int64_t until = NowMs() + kSpanMs;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      for (int i = 0; NowMs() < until; ++i) {
        const std::string id =
            "c" + std::to_string(client) + "-" + std::to_string(i);
        const Answer answer = Call(
            site.gateway(static_cast<std::size_t>(client % 3)),
            RequestText("GET", "/cufi504/2f", ClientHeaders(id, 2500), ""));
        const std::lock_guard<std::mutex> both(mutex);
        const std::lock_guard<std::mutex> lock(done.mutex);
        ++sent;
        const bool success = answer.status == 200 && answer.complete;
        if (success) ++served;
        const bool same = done.bodies[id].contains(answer.body);
        if (done.spoilt.contains(id) || (success && !same)) {
          record.Line("client got for " + id + ": " + answer.Text() + ", " +
                      std::to_string(answer.body.size()) + " bytes, stamp " +
                      (answer.Header("Server-Stamp").empty() ? "no" : "yes") +
                      ", begins \"" + answer.body.substr(0, 40) + "\"" +
                      (success && !same ? " -- NOT the server's body" : ""));
        }
        if (success && !same) ++wrong;
      }
    });
  }
  for (std::thread& client : clients) client.join();
  record.Line("sent=" + std::to_string(sent) +
              " served=" + std::to_string(served) +
              " spoilt=" + std::to_string(done.spoilt.size()) +
              " wrong=" + std::to_string(wrong));
  if (Trouble() && done.spoilt.empty()) CouldNotRun("no answer was spoilt");
  return wrong > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int, char** arguments) {
  return review::RunCase([&] {
    review::Record record(arguments[1]);
    return review::Run(record);
  });
}
