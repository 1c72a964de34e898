// A gateway with fake servers, callers and clock for tests of the forwarder.

#ifndef GENTIANLB_GATEWAY_FAKE_SITE_TEST_H_
#define GENTIANLB_GATEWAY_FAKE_SITE_TEST_H_

#include <glog/logging.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway/forwarder.h"

namespace gentianlb::gateway {

// Records the response to a caller.
struct FakeCaller : http::Responder {
  void Respond(int got_status, std::vector<http::Header> got_headers,
               std::string got_body) override {
    status = got_status;
    headers = std::move(got_headers);
    body = std::move(got_body);
    complete = true;
  }
  void Begin(int got_status, std::vector<http::Header> got_headers) override {
    status = got_status;
    headers = std::move(got_headers);
  }
  void Write(std::string_view bytes) override { body += bytes; }
  void Finish() override { complete = true; }
  void Abort() override { aborted = true; }
  void OnDisconnect(std::function<void()> callback) override {
    on_disconnect = std::move(callback);
  }
  std::size_t Backlog() const override { return reads ? 0 : body.size(); }
  absl::Duration UnacknowledgedFor() const override {
    return unacknowledged_for;
  }

  std::string header(std::string_view name) const {
    return std::string(http::FindHeader(headers, name));
  }

  int status = 0;
  std::vector<http::Header> headers;
  std::string body;
  bool complete = false;
  bool aborted = false;
  bool reads = true;
  absl::Duration unacknowledged_for;
  std::function<void()> on_disconnect;
};

// An attempt at a server; the test sends the response.
struct FakeCall {
  ServerCall call;
  CallSink sink;
  bool cancelled = false;
  bool stopped = false;  // The host did not read beyond the head.

  std::string server() const { return call.server.id.str(); }

  ResponseHead MakeHead(int status) const {
    ResponseHead head;
    head.status = status;
    head.signed_ = true;
    head.headers = {{"X-From", server()}};
    return head;
  }
  // The first byte of a head arrives.
  void Begin() { sink.on_first_byte(); }
  void SendHead(int status, bool not_run = false) {
    Begin();
    ResponseHead head = MakeHead(status);
    head.not_run = not_run;
    sink.on_head(head);
  }
  // A head that states the request's id.
  void SendNamedHead(int status) {
    Begin();
    ResponseHead head = MakeHead(status);
    head.names_request = true;
    sink.on_head(head);
  }
  // The head of a body that ends with its connection.
  void SendUnframedHead(int status) {
    Begin();
    ResponseHead head = MakeHead(status);
    head.ends_with_connection = true;
    sink.on_head(head);
  }
  // A head that names neither its request nor its server, or another request.
  // Where the host reads no further, the transfer ends as broken.
  void SendUnidentifiedHead(bool names_other_request = false,
                            bool ends_with_connection = false) {
    Begin();
    ResponseHead head;
    head.status = 200;
    head.matches_request = false;
    head.names_other_request = names_other_request;
    head.ends_with_connection = ends_with_connection;
    stopped = sink.on_head(head) == http::ReadAction::kStop;
    if (stopped) Finish(http::TransferEnd::kBroken);
  }
  void SendData(std::string_view bytes) { sink.on_data(bytes); }
  void Finish(http::TransferEnd end = http::TransferEnd::kComplete) {
    sink.on_end(end, "fake");
  }
  void SendResponse(int status, std::string_view body) {
    SendHead(status);
    SendData(body);
    Finish();
  }
};

class FakeSite {
 public:
  // Has two servers of a model service "llm" and two of a plain service
  // "plain". `budget`: as in ForwarderOptions.
  explicit FakeSite(std::shared_ptr<ByteBudget> budget = nullptr) {
    FLAGS_minloglevel = google::GLOG_FATAL;  // The tests check no log lines.
    ServerPort port;
    port.send = [this](ServerCall call, CallSink sink) {
      calls.push_back(std::make_shared<FakeCall>());
      calls.back()->call = std::move(call);
      calls.back()->sink = std::move(sink);
      return static_cast<http::TransferId>(calls.size());
    };
    port.cancel = [this](http::TransferId id) {
      calls[id - 1]->cancelled = true;
    };
    directory.Replace({}, now);  // All servers are known.
    ForwarderOptions options;
    options.host = EntryHostId("h");
    options.budget = std::move(budget);
    options.queue.dispatcher.allow_preemption = false;
    options.retry_burst = 3;
    forwarder = std::make_unique<Forwarder>(
        options, port, &timers, [this] { return now; }, &directory, &demand,
        &metrics);
  }

  void Configure(std::int64_t version = 1) {
    for (const char* id : {"a", "b"}) {
      AddServer(std::string("llm-") + id, "llm", 2);
      AddServer(std::string("plain-") + id, "plain", 2);
    }
    forwarder->SetConfiguration(MakeConfiguration(version));
  }

  static Configuration MakeConfiguration(std::int64_t version) {
    Configuration configuration;
    configuration.version = version;
    configuration.routes = {
        MakeRoute("/stream/", RouteKind::kStream, "llm"),
        MakeRoute("/resume/", RouteKind::kStream, "llm"),
        MakeRoute("/read/", RouteKind::kIdempotent, "plain"),
        MakeRoute("/pay/", RouteKind::kNonIdempotent, "plain")};
    configuration.routes[1].resumable = true;
    Service llm{ServiceId("llm"), 0, EngineSpec{}};
    llm.engine->streams = 2;
    llm.engine->models = {ModelId("m")};
    llm.engine->kv_tokens = 100000;
    configuration.services = {llm, {ServiceId("plain"), 0, std::nullopt}};
    Workspace workspace;
    workspace.id = WorkspaceId("w");
    workspace.keys = {"key"};
    configuration.workspaces = {workspace};
    return configuration;
  }

  static Route MakeRoute(std::string prefix, RouteKind kind,
                         const char* service) {
    Route route;
    route.name = prefix;
    route.host = "one.example";
    route.prefix = std::move(prefix);
    route.kind = kind;
    route.max_attempts = 2;
    route.timeout = absl::Seconds(5);
    route.objective = absl::Milliseconds(800);
    route.services = {{ServiceId(service), 1}};
    return route;
  }

  void AddServer(const std::string& id, const char* service, int streams,
                 const std::string& version = "") {
    ServerEntry entry;
    entry.id = ServerId(id);
    entry.service = ServiceId(service);
    entry.address = {"10.0.0.1", 80};
    entry.streams = streams;
    entry.version = version;
    directory.Update(id, entry, now);
  }

  std::shared_ptr<FakeCaller> SendRequest(
      const std::string& path, const std::string& key = "key",
      std::int64_t last_event = 0, const char* first_attempt = "",
      std::vector<schedule::PromptPart> parts = {}) {
    auto caller = std::make_shared<FakeCaller>();
    CallerRequest request;
    request.last_event = last_event;
    request.first_attempt = RequestId(first_attempt);
    request.id = RequestId("r" + std::to_string(++requests_sent));
    request.method = "POST";
    request.host = "one.example";
    request.target = path;
    request.path = path;
    request.key = key;
    request.time_left = absl::Seconds(10);
    if (path.starts_with("/stream") || path.starts_with("/resume")) {
      request.prompt = Prompt{
          .model = ModelId("m"), .prompt_tokens = 100, .max_output_tokens = 50};
      request.prompt->parts = std::move(parts);
    }
    forwarder->Accept(std::move(request), caller);
    return caller;
  }

  void AdvanceTime(absl::Duration span) {
    now += span;
    timers.Advance(now);
  }

  FakeCall& last() { return *calls.back(); }

  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  TimerService timers;
  Directory directory;
  Demand demand;
  metrics::Metrics metrics;
  std::vector<std::shared_ptr<FakeCall>> calls;
  int requests_sent = 0;
  std::unique_ptr<Forwarder> forwarder;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_FAKE_SITE_TEST_H_
