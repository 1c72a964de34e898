// Gateways and faulty backend servers as processes, and callers that keep their
// connections. The answers are judged by what callers got and servers report.

#ifndef GENTIANLB_PROCESS_ANSWERS_SITE_TEST_H_
#define GENTIANLB_PROCESS_ANSWERS_SITE_TEST_H_

#include <json/json.h>
#include <signal.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "base/json_text.h"
#include "http/client.h"
#include "process/answer_rules.h"
#include "process/caller_connection.h"
#include "process/gateway_process_test.h"
#include "process/process.h"
#include "standins/feed_table.h"

namespace gentianlb::process {

// Plain calls that may run once and others, and streams of both kinds.
inline constexpr char kAnswersConfiguration[] = R"({"version":1,
 "routes":[
  {"name":"once","host":"one.example","prefix":"/once/",
   "route_type":"non_idempotent","timeout_ms":4000,"slo_ms":500,"priority":1,
   "service":"plain","max_attempts":2,"public":true},
  {"name":"read","host":"one.example","prefix":"/read/",
   "route_type":"idempotent","timeout_ms":4000,"slo_ms":500,"priority":1,
   "service":"plain","max_attempts":2,"public":true},
  {"name":"chat","host":"one.example","prefix":"/chat/",
   "route_type":"streaming","timeout_ms":6000,"slo_ms":1000,"priority":1,
   "service":"llm","max_attempts":2,"public":true,"resumable":true},
  {"name":"talk","host":"one.example","prefix":"/talk/",
   "route_type":"streaming","timeout_ms":6000,"slo_ms":1000,"priority":1,
   "service":"llm","max_attempts":1,"public":true}],
 "services":[
  {"name":"plain","max_conns":100},
  {"name":"llm","engine":{"slots":8,"kv_capacity":100000,"stride":1,
   "models":[{"name":"m"}]}}],
 "limits":{"idle_timeout_ms":15000}})";

// The same, newer, with streams of this objective and timeout.
inline std::string AnswersConfiguration(absl::Duration objective,
                                        absl::Duration timeout) {
  return absl::StrReplaceAll(
      kAnswersConfiguration,
      {{R"("version":1)", R"("version":2)"},
       {R"("timeout_ms":6000,"slo_ms":1000)",
        absl::StrCat("\"timeout_ms\":", absl::ToInt64Milliseconds(timeout),
                     ",\"slo_ms\":", absl::ToInt64Milliseconds(objective))}});
}

// The same, newer, in which no stream may be resumed.
inline std::string ConfigurationWithoutResumption() {
  return absl::StrReplaceAll(
      kAnswersConfiguration,
      {{R"("version":1)", R"("version":2)"}, {R"(,"resumable":true)", ""}});
}

enum class CallKind { kOnce, kRead, kChat, kTalk };

struct FaultyServerSetup {
  std::string service;
  std::string version = "v1";
  std::size_t body_bytes = 600;
  // Of the program.
  std::vector<std::string> options = {};
  int slots = 8;
};

class AnswersSite {
 public:
  static constexpr absl::Duration kAnswerTime = absl::Seconds(6);
  static constexpr std::size_t kMaxHosts = 64;

  AnswersSite(std::vector<FaultyServerSetup> servers, std::size_t hosts,
              int events = 5, std::uint64_t seed = 1)
      : setups_(std::move(servers)), events_(events), seed_(seed) {
    for (std::size_t i = 0; i < setups_.size(); ++i) {
      servers_.emplace_back();
      StartServer(i);
    }
    table_.Put("op", "config", kAnswersConfiguration);
    for (std::size_t i = 0; i < hosts; ++i) hosts_.emplace_back();
    for (auto& in_rotation : in_rotation_) in_rotation = true;
  }
  ~AnswersSite() { KeepLogs(); }
  AnswersSite(const AnswersSite&) = delete;
  AnswersSite& operator=(const AnswersSite&) = delete;

  // `environment`: of the first host. `more_settings`, `host_settings`: of all.
  void StartHosts(const std::vector<std::string>& environment = {},
                  const std::string& more_settings = "",
                  const std::string& host_settings = "") {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i] = std::make_unique<GatewayProcess>(
          folder_, absl::StrCat("h", i), table_.port(),
          i == 0 ? environment : std::vector<std::string>(), more_settings,
          host_settings);
    }
    for (auto& host : hosts_) host->WaitUntilReady(client_);
    WaitUntil("all hosts dispatch for each other", [this] {
      return std::all_of(hosts_.begin(), hosts_.end(), [this](auto& host) {
        return host->Metrics(client_).find(absl::StrCat(
                   "gentianlb_peers_reachable ", hosts_.size() - 1)) !=
               std::string::npos;
      });
    });
  }

  // Starts server number `i` (again) at an address of its own, and registers
  // it.
  void StartServer(std::size_t i) { StartServerAt(i, 0); }

  // Starts server number `i` again at the address that it had, which must be
  // free, under its id or a new one. Its row is replaced.
  void RestartServer(std::size_t i, bool keeps_id) {
    const int port = ports_.at(i);
    if (!keeps_id) {
      table_.Remove("servers", ServerId(i));
      ++ids_used_[i];
    }
    StartServerAt(i, port);
  }

  // The same under a new id, as a server of another version.
  void ReplaceServer(std::size_t i, const std::string& version) {
    setups_[i].version = version;
    RestartServer(i, /*keeps_id=*/false);
  }

  // Starts server number `i` again at the address that it had, which must be
  // free, under a new id. Returns the old one, whose row stays.
  std::string RestartServerBesideItsRow(std::size_t i) {
    const int port = ports_.at(i);
    std::string old_id = ServerId(i);
    ++ids_used_[i];
    StartServerAt(i, port);
    return old_id;
  }

  // Starts two servers under new ids, each at the address of the other, which
  // must be free.
  void ExchangeAddresses(std::size_t first, std::size_t second) {
    const int ports[] = {ports_.at(first), ports_.at(second)};
    for (const std::size_t server : {first, second}) {
      table_.Remove("servers", ServerId(server));
      ++ids_used_[server];
    }
    StartServerAt(first, ports[1]);
    StartServerAt(second, ports[0]);
  }

  // From `begin` on no stream may run twice, and none is taken up. Thread-safe.
  void EndResumption(absl::Time begin) {
    absl::MutexLock lock(&mutex_);
    resumption_ends_ = begin;
  }

  // Of these callers each one reads slowly; 0: none does.
  void SetSlowCallers(std::size_t one_in) { slow_callers_ = one_in; }

  // Of each call from now on.
  void SetRequestBytes(std::size_t bytes) { request_bytes_ = bytes; }

  // Returns a line for each stream that ran at a server of plain calls.
  std::vector<std::string> FindWrongServices() {
    std::set<std::string> streams;
    for (const CallRecord& call : Records()) {
      if (call.stream) streams.insert(call.id);
    }
    std::vector<std::string> found;
    for (const ServerLog& log : logs_) {
      if (log.setup.service != "plain") continue;
      for (const std::string& run : ReadReport(log).runs) {
        if (streams.contains(run)) found.push_back(run + " at " + log.id);
      }
    }
    return found;
  }

  // `port`: 0 for any.
  void StartServerAt(std::size_t i, int port) {
    const FaultyServerSetup& setup = setups_[i];
    started_[i] = absl::Now();
    std::vector<std::string> arguments = {
        "--id",           ServerId(i),
        "--port",         absl::StrCat(port),
        "--started",      absl::StrCat(absl::ToUnixMillis(started_[i])),
        "--version-name", setup.version,
        "--seed",         absl::StrCat(seed_),
        "--body-bytes",   absl::StrCat(setup.body_bytes),
        "--events",       absl::StrCat(events_)};
    arguments.insert(arguments.end(), setup.options.begin(),
                     setup.options.end());
    const std::string log =
        folder_.Path(absl::StrCat(ServerId(i), "-", ++server_starts_));
    logs_.push_back({setup, ServerId(i), log + ".out"});
    servers_[i] = std::make_unique<Process>(
        GENTIANLB_BUILD_DIR "/tests/standins/faulty_server", arguments, log);
    Register(i);
  }

  // Writes the row of server number `i`.
  void Register(std::size_t i) {
    const FaultyServerSetup& setup = setups_[i];
    ports_[i] = servers_[i]->Port();
    Json::Value row;
    row["service"] = setup.service;
    row["address"] = absl::StrCat("127.0.0.1:", ports_[i]);
    row["zone"] = "z";
    row["slots"] = setup.slots;
    row["state"] = "ready";
    row["seq"] = 1;
    row["born"] = static_cast<Json::Int64>(absl::ToUnixMillis(started_[i]));
    row["version"] = setup.version;
    table_.Put("servers", ServerId(i), ToText(row));
  }

  std::string ServerId(std::size_t i) const {
    const std::string id = absl::StrCat(setups_[i].service, "-", i);
    const auto used = ids_used_.find(i);
    return used == ids_used_.end() ? id : absl::StrCat(id, ".", used->second);
  }
  std::string ServerAddress(std::size_t i) {
    return absl::StrCat("127.0.0.1:", servers_[i]->Port());
  }

  // Returns a new attempt's record. Thread-safe.
  CallRecord NewCall(CallKind kind) {
    absl::MutexLock lock(&mutex_);
    CallRecord call;
    call.id = absl::StrCat("r", ++requests_);
    const bool resumes =
        kind == CallKind::kChat && absl::Now() < resumption_ends_;
    call.once = kind != CallKind::kRead && !resumes;
    call.stream = kind == CallKind::kChat || kind == CallKind::kTalk;
    return call;
  }

  // Sends an attempt on `connection`, to `host`, and keeps its answer.
  // Thread-safe.
  CallRecord Ask(CallerConnection& connection, std::size_t host, CallKind kind,
                 CallRecord call, absl::Duration timeout = kAnswerTime) {
    constexpr const char* kPaths[] = {"/once/1", "/read/1", "/chat/1",
                                      "/talk/1"};
    const std::string body(request_bytes_, 'q');
    std::string text = absl::StrCat(
        "POST ", kPaths[static_cast<int>(kind)],
        " HTTP/1.1\r\nHost: one.example\r\nRequest-Id: ", call.id,
        "\r\nDeadline-Ms: ", absl::ToInt64Milliseconds(kAnswerTime),
        "\r\nContent-Length: ", body.size(), "\r\n");
    if (call.stream) text += "Model: m\r\nToken-Count: 100,10\r\n";
    if (!call.resumes.empty()) {
      absl::StrAppend(&text, "Resumes: ", call.resumes,
                      "\r\nLast-Event-Id: ", call.after_event, "\r\n");
    }
    call.host = absl::StrCat("h", host);
    call.answer = connection.Ask(absl::StrCat(text, "\r\n", body), timeout);
    absl::MutexLock lock(&mutex_);
    calls_.push_back(call);
    return call;
  }

  // The same on a connection of its own.
  CallRecord AskOnce(std::size_t host, CallKind kind) {
    CallerConnection connection(hosts_[host]->callers());
    return Ask(connection, host, kind, NewCall(kind));
  }

  // Makes `count` calls of each of `callers` callers, one after the other. A
  // caller keeps its connection, and goes to the next host when it is closed.
  void CallAll(const std::vector<CallKind>& kinds, std::size_t callers,
               std::size_t count) {
    auto threads = StartCallers(
        kinds, callers, [count](std::size_t calls) { return calls < count; });
    for (std::jthread& thread : threads) thread.join();
  }

  // Starts callers that go on while `goes_on` holds for the number of calls
  // that each has made.
  std::vector<std::jthread> StartCallers(
      const std::vector<CallKind>& kinds, std::size_t callers,
      const std::function<bool(std::size_t)>& goes_on) {
    std::vector<std::jthread> threads;
    for (std::size_t caller = 0; caller < callers; ++caller) {
      threads.emplace_back([this, kinds, caller, goes_on] {
        CallerLoop(kinds, caller, goes_on);
      });
    }
    return threads;
  }

  // Whether callers open new connections to a host.
  void SetInRotation(std::size_t host, bool in_rotation) {
    in_rotation_[host] = in_rotation;
  }

  // Returns whether any server has written `line`, such as "run ID".
  bool HasReported(const std::string& line) const {
    return std::any_of(logs_.begin(), logs_.end(), [&line](const auto& log) {
      return ReadFile(log.path).find(line) != std::string::npos;
    });
  }

  // Returns the time that follows `line` in a server's report; InfiniteFuture()
  // if none has written it.
  absl::Time ReportedAt(const std::string& line) const {
    for (const ServerLog& log : logs_) {
      const std::string text = ReadFile(log.path);
      const std::size_t start = text.find(absl::StrCat(line, " "));
      if (start == std::string::npos) continue;
      std::int64_t at_ms = 0;
      const std::size_t from = start + line.size() + 1;
      const std::size_t end = text.find('\n', from);
      if (absl::SimpleAtoi(text.substr(from, end - from), &at_ms)) {
        return absl::FromUnixMillis(at_ms);
      }
    }
    return absl::InfiniteFuture();
  }

  // Starts one caller's calls of one kind in the background. Returns once they
  // run at a server.
  std::vector<std::jthread> BeginCalls(std::size_t host, CallKind kind,
                                       int count) {
    std::vector<std::jthread> threads;
    for (int i = 0; i < count; ++i) {
      const CallRecord call = NewCall(kind);
      threads.emplace_back([this, host, kind, call] {
        CallerConnection connection(hosts_[host]->callers());
        Ask(connection, host, kind, call);
      });
      WaitUntil("it runs", [&] { return HasReported("run " + call.id + " "); });
    }
    return threads;
  }

  std::vector<CallRecord> Records() {
    absl::MutexLock lock(&mutex_);
    return calls_;
  }

  Judgement Verdict() {
    const std::vector<ServerReport> reports = Reports();
    absl::MutexLock lock(&mutex_);
    return Judge(calls_, reports, events_);
  }

  // Returns how many lines of all servers' reports begin with `word`.
  int CountReported(const std::string& word) const {
    int count = 0;
    for (const ServerLog& log : logs_) {
      const std::vector<std::string> lines =
          absl::StrSplit(ReadFile(log.path), '\n');
      count += static_cast<int>(std::count_if(
          lines.begin(), lines.end(), [&word](const std::string& line) {
            return line.starts_with(word + " ");
          }));
    }
    return count;
  }

  // Returns what each start of each server has reported.
  std::vector<ServerReport> Reports() const {
    std::vector<ServerReport> reports;
    for (const ServerLog& log : logs_) reports.push_back(ReadReport(log));
    return reports;
  }

  standins::FeedTable table_;
  TempFolder folder_;
  http::Client client_;
  std::vector<std::unique_ptr<Process>> servers_;
  std::vector<std::unique_ptr<GatewayProcess>> hosts_;

 private:
  struct ServerLog {
    FaultyServerSetup setup;
    std::string id;
    std::string path;  // Of the file with its reports.
  };

  static ServerReport ReadReport(const ServerLog& log) {
    return ReadServerReport(log.id, log.setup.version, log.setup.body_bytes,
                            ReadFile(log.path));
  }

  // Nobody listens at a host that was killed.
  static constexpr absl::Duration kPauseAtADeadHost = absl::Milliseconds(20);

  void CallerLoop(const std::vector<CallKind>& kinds, std::size_t caller,
                  const std::function<bool(std::size_t)>& goes_on) {
    std::unique_ptr<CallerConnection> connection;
    std::size_t host = caller;
    for (std::size_t calls = 0; goes_on(calls);) {
      if (connection == nullptr || !connection->IsOpen()) {
        host = (host + 1) % hosts_.size();
        connection = std::make_unique<CallerConnection>(
            in_rotation_[host] ? hosts_[host]->callers() : "");
        const bool slow = slow_callers_ > 0 && caller % slow_callers_ == 0;
        if (slow) connection->ReadSlowly();
      }
      if (!connection->IsOpen()) {
        absl::SleepFor(kPauseAtADeadHost);
        continue;
      }
      const CallKind kind = kinds[(caller + calls++) % kinds.size()];
      const CallRecord call = Ask(*connection, host, kind, NewCall(kind));
      if (kind == CallKind::kChat) TakeUp(call);
    }
  }

  // Takes a stream that broke off up, over the other hosts in turn.
  void TakeUp(CallRecord call) {
    const std::string first = call.id;
    int last = LastEventOf(call.answer.body, 0);
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      const bool broke_off =
          call.answer.status == 200 && call.answer.end != AnswerEnd::kFramed;
      const bool goes_on = broke_off || call.answer.status != 200;
      if (last == 0 || last == events_ || !goes_on) return;
      CallerConnection connection(in_rotation_[i] ? hosts_[i]->callers() : "");
      if (!connection.IsOpen()) continue;
      CallRecord next = NewCall(CallKind::kChat);
      if (next.once) return;
      next.resumes = first;
      next.after_event = last;
      call = Ask(connection, i, CallKind::kChat, std::move(next));
      last = LastEventOf(call.answer.body, last);
    }
  }

  // GENTIANLB_TEST_LOGS names a folder that keeps all that the processes wrote.
  void KeepLogs() const {
    const char* const folder = std::getenv("GENTIANLB_TEST_LOGS");
    if (folder == nullptr) return;
    std::error_code ignored;
    std::filesystem::copy(folder_.Path(""),
                          absl::StrCat(folder, "/seed", seed_, "-",
                                       absl::ToUnixMillis(absl::Now())),
                          std::filesystem::copy_options::recursive, ignored);
  }

  std::vector<FaultyServerSetup> setups_;
  const int events_;
  const std::uint64_t seed_;
  std::array<std::atomic<bool>, kMaxHosts> in_rotation_;
  std::size_t slow_callers_ = 0;
  std::size_t request_bytes_ = 8;
  int server_starts_ = 0;
  std::map<std::size_t, absl::Time> started_;  // By the server's number.
  std::map<std::size_t, int> ports_;           // By the server's number.
  std::map<std::size_t, int> ids_used_;  // By the server's number; 0: left out.
  std::vector<ServerLog> logs_;          // By start.
  absl::Mutex mutex_;
  int requests_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::Time resumption_ends_ ABSL_GUARDED_BY(mutex_) = absl::InfiniteFuture();
  std::vector<CallRecord> calls_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace gentianlb::process

#endif  // GENTIANLB_PROCESS_ANSWERS_SITE_TEST_H_
