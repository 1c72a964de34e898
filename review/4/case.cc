// Two of a zone's three entry hosts are told to stop. The platform goes on to
// use all three, as fewer than half are in rotation. Is each request that a
// host has read and passed on answered?

#include <signal.h>

#include <map>
#include <memory>
#include <thread>
#include <vector>

#include "deployment.h"

namespace review {
namespace {

constexpr int kTimeoutMs = 2000;   // Of the route.
constexpr int kDeadlineMs = 4000;  // Of the clients.
constexpr int kIntervalMs = 10;
// From SIGTERM on: when a server falls silent, and for how long.
constexpr std::int64_t kSilentFromMs = 6200;
constexpr std::int64_t kSilentForMs = 1500;
constexpr std::int64_t kExcusedUntilMs = 3000;
constexpr std::int64_t kGraceMs = 8000;

int Run(Record& record) {
  Site site(Configuration({{"refund", "/puxa403/", "non_idempotent", "records",
                            kTimeoutMs, /*slo_ms=*/300, /*max_attempts=*/1}},
                          {{"records"}}),
            {"hall-a", "hall-a", "hall-a"});
  std::mutex mutex;
  std::map<std::string, std::int64_t> run_at;
  std::atomic<std::int64_t> silent_from = 1'000'000;
  // The server that falls silent: the one that got the last request before.
  std::atomic<int> last_used = 0;
  std::vector<std::unique_ptr<ModelServer>> servers;
  for (int i = 0; i < 2; ++i) {
    const std::string name = "i-" + std::to_string(i);
    servers.push_back(std::make_unique<ModelServer>(
        site.ip(), name, [&, i](Socket& socket, const Request& request) {
          if (NowMs() < silent_from) last_used = i;
          const std::string id = request.Header("Request-Id");
          {
            const std::lock_guard<std::mutex> lock(mutex);
            run_at[id] = NowMs();
          }
          SleepMs(60);
          const std::int64_t until = silent_from + kSilentForMs;
          if (i == last_used && NowMs() >= silent_from) SleepUntilMs(until);
          return socket.Send(AnswerText(
              "200 OK", {{"Request-Id", id}, {"Server-Stamp", "3e1b.07"}},
              "refund " + id));
        }));
    site.store().Put(
        "servers", name,
        ServerRow("records", servers.back()->address(), "hall-a", 6));
  }
  site.Start();

  const std::int64_t stop = NowMs() + 1000;  // SIGTERM.
  silent_from = stop + kSilentFromMs;
  std::map<int, int> statuses;
  std::atomic<int> lost = 0;
  std::vector<std::thread> calls;
  bool stopped = false;
  for (int i = 0; NowMs() < stop + kSilentFromMs + 400; ++i) {
    if (!stopped && NowMs() >= stop) {
      stopped = true;
      if (Trouble()) {
        site.gateway(0).Signal(SIGTERM);
        site.gateway(1).Signal(SIGTERM);
        record.Line("SIGTERM to two of three entry hosts");
      }
    }
    calls.emplace_back([&, i] {
      const std::string id = "c-" + std::to_string(i);
      Gateway& gateway = site.gateway(static_cast<std::size_t>(i % 3));
      const std::int64_t sent = NowMs();
      const Answer answer =
          Call(gateway, RequestText("POST", "/puxa403/2f",
                                    ClientHeaders(id, kDeadlineMs), "refund"));
      const std::int64_t ended = NowMs();
      const std::lock_guard<std::mutex> lock(mutex);
      const bool complete = answer.status != 0 && answer.complete;
      ++statuses[complete ? answer.status : 0];
      const auto run = run_at.find(id);
      if (complete || run == run_at.end()) return;
      const bool in_time = ended - sent < kTimeoutMs;
      const std::int64_t after = sent - stop;
      record.Line(gateway.name() + " " + id + " sent " + std::to_string(after) +
                  " ms after SIGTERM, at the server " +
                  std::to_string(run->second - stop) + " ms: " + answer.Text() +
                  " after " + std::to_string(ended - sent) + " ms, of " +
                  std::to_string(kTimeoutMs));
      const bool planned =
          after > kExcusedUntilMs && ended - stop <= kGraceMs + 1000;
      if (in_time && planned) ++lost;
    });
    SleepMs(kIntervalMs);
  }
  for (std::thread& call : calls) call.join();
  for (const auto& [status, count] : statuses) {
    record.Line("status " + std::to_string(status) + ": " +
                std::to_string(count));
  }
  record.Line("lost=" + std::to_string(lost));
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int, char** arguments) {
  return review::RunCase([&] {
    review::Record record(arguments[1]);
    return review::Run(record);
  });
}
