#include "standins/model_engine.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "standins/json.h"

namespace gentianlb::standins {
namespace {

constexpr std::string_view kStreamsPath = "/v1/streams/";
constexpr std::string_view kOrdersPath = "/v1/orders/";
constexpr absl::Duration kStep = absl::Milliseconds(4);

// After a pause of the process the engine goes on from where it was; it does
// not make up for the time.
constexpr absl::Duration kMaxStep = absl::Milliseconds(50);

constexpr std::int64_t kDefaultMaxTokens = 16;

std::int64_t ToNumber(std::string_view text) {
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

Prompt ParsePrompt(const Json::Value& body) {
  Prompt prompt;
  prompt.model = body["model"].asString();
  for (const Json::Value& message : body["messages"]) {
    prompt.text += message["content"].asString();
  }
  prompt.max_tokens = body.isMember("max_tokens") ? body["max_tokens"].asInt64()
                                                  : kDefaultMaxTokens;
  return prompt;
}

std::vector<std::string> Strings(const Json::Value& list) {
  std::vector<std::string> texts;
  for (const Json::Value& text : list) texts.push_back(text.asString());
  return texts;
}

Json::Value ToJson(const std::vector<std::string>& texts) {
  Json::Value list(Json::arrayValue);
  for (const std::string& text : texts) list.append(text);
  return list;
}

std::string StateName(OrderState state) {
  switch (state) {
    case OrderState::kRunning:
      return "running";
    case OrderState::kDone:
      return "done";
    case OrderState::kFailed:
      return "failed";
    case OrderState::kUnknown:
      break;
  }
  return "unknown";
}

void BeginEvents(http::Responder& answer, const Stream& stream) {
  answer.Begin(
      200, {{"Content-Type", "text/event-stream"}, {"X-Stream-Id", stream.id}});
}

}  // namespace

Json::Value ModelEngine::Switches() {
  Json::Value own;
  own["prefill_rate"] = 200'000;
  own["decode_rate"] = 2000;
  own["batch_rate"] = 20'000;
  own["max_running"] = 64;
  own["kv_tokens"] = 200'000;
  own["cache_blocks"] = 1024;
  own["keep_ms"] = 60'000;
  own["models"] = Json::Value(Json::arrayValue);
  own["slow_factor"] = 1.0;
  own["stall"] = false;
  own["first_token_delay_ms"] = 0;
  own["cut_after_tokens"] = -1;
  own["crossed"] = 0;
  own["fail_model_calls"] = 0;
  own["leaving"] = false;
  own["load_lag_ms"] = 200;
  own["event_lag_ms"] = 200;
  own["event_gap"] = 0.0;
  own["check_fence"] = true;
  own["order_ms"] = 50;
  own["fail_orders"] = false;
  return WithCommonSwitches(own);
}

ModelEngine::ModelEngine(Control& control)
    : control_(control),
      // A restarted engine must not give out a stream's name again.
      id_prefix_(absl::StrFormat("s%x-", absl::ToUnixMicros(absl::Now()))),
      thread_([this] { Run(); }) {}

ModelEngine::~ModelEngine() {
  stopping_ = true;
  thread_.join();
}

void ModelEngine::Handle(const http::Request& request, const Answer& answer) {
  const std::string& path = request.path;
  if (request.method == "POST") return HandlePost(request, answer);
  if (request.method == "DELETE") return CancelStream(request, answer);
  if (path == "/v1/streams") return ListStreams(request, answer);
  if (path.starts_with(kStreamsPath)) return ReadStream(request, answer);
  if (path == "/v1/cache/events") return ShowCacheEvents(request, answer);
  if (path == "/v1/load") return ShowLoad(answer);
  if (path == "/v1/models") return ShowModels(answer);
  if (path.starts_with(kOrdersPath)) return ShowOrder(request, answer);
  RespondError(*answer, 404, "no such path");
}

void ModelEngine::HandlePost(const http::Request& request,
                             const Answer& answer) {
  if (request.path == "/v1/chat/completions") return Complete(request, answer);
  auto body = ParseObject(request.body);
  if (!body.has_value()) return RespondError(*answer, 400, "not JSON");
  if (request.path == "/v1/kv/export") return ExportKv(*body, answer);
  if (request.path == "/v1/kv/import") return ImportKv(*body, answer);
  if (request.path == "/v1/orders") return TakeOrder(*body, answer);
  RespondError(*answer, 404, "no such path");
}

void ModelEngine::Complete(const http::Request& request, const Answer& answer) {
  auto body = ParseObject(request.body);
  if (!body.has_value()) return RespondError(*answer, 400, "not JSON");
  if (control_.TakeOne("fail_model_calls")) {
    return RespondError(*answer, 500, "told to fail");
  }
  Prompt prompt = ParsePrompt(*body);
  Stream stream;
  stream.request = std::string(request.header("X-Request-Id"));
  stream.model = prompt.model;
  stream.seed = SeedOf(prompt);
  stream.blocks = BlockHashes(prompt.text);
  stream.prompt_tokens =
      (static_cast<std::int64_t>(prompt.text.size()) + kBytesPerToken - 1) /
      kBytesPerToken;
  stream.max_tokens = prompt.max_tokens;
  stream.begun = absl::Now();
  Reader reader{.answer = answer, .whole = !(*body)["stream"].asBool()};
  reader.cut_after =
      static_cast<std::int64_t>(control_.Number("cut_after_tokens"));
  stream.readers.push_back(reader);

  std::vector<std::string> preloaded = Strings(control_.Value("models"));
  absl::MutexLock lock(&mutex_);
  for (const std::string& model : preloaded) orders_.AddModel(model);
  if (!orders_.models().empty() && !orders_.models().contains(prompt.model)) {
    return RespondError(*answer, 404, "no such model");
  }
  control_.Count("executions");
  control_.CountIn("executions_by_request", stream.request);
  control_.CountIn("executions_by_key",
                   std::string(request.header("Idempotency-Key")));
  stream.id = id_prefix_ + std::to_string(++last_stream_);
  if (!reader.whole) BeginEvents(*answer, stream);
  batcher_.Add(std::move(stream));
}

void ModelEngine::ListStreams(const http::Request& request,
                              const Answer& answer) {
  std::string_view wanted = request.argument("request");
  Json::Value body;
  body["streams"] = Json::Value(Json::arrayValue);
  absl::MutexLock lock(&mutex_);
  for (const auto& [id, stream] : batcher_.streams()) {
    if (stream.request != wanted) continue;
    Json::Value entry;
    entry["id"] = id;
    entry["request"] = stream.request;
    entry["tokens"] = stream.tokens();
    entry["done"] = stream.done;
    body["streams"].append(entry);
  }
  RespondJson(*answer, 200, body);
}

void ModelEngine::ReadStream(const http::Request& request,
                             const Answer& answer) {
  absl::MutexLock lock(&mutex_);
  Stream* stream = batcher_.Find(request.path.substr(kStreamsPath.size()));
  if (stream == nullptr) return RespondError(*answer, 404, "no such stream");
  control_.CountIn("resumes_by_request", stream->request);
  BeginEvents(*answer, *stream);
  stream->readers.push_back(
      {.answer = answer, .next = ToNumber(request.argument("offset"))});
  Deliver(*stream);
}

void ModelEngine::CancelStream(const http::Request& request,
                               const Answer& answer) {
  absl::MutexLock lock(&mutex_);
  if (!request.path.starts_with(kStreamsPath)) {
    return RespondError(*answer, 404, "no such path");
  }
  Stream* stream = batcher_.Find(request.path.substr(kStreamsPath.size()));
  if (stream == nullptr) return RespondError(*answer, 404, "no such stream");
  control_.Count("cancelled");
  control_.CountIn("cancels_by_request", stream->request);
  if (!stream->done) control_.Count("wasted_prefill", stream->prompt_tokens);
  for (const Reader& reader : stream->readers) reader.answer->Abort();
  batcher_.Cancel(stream->id);
  RespondJson(*answer, 200, Json::objectValue);
}

void ModelEngine::ExportKv(const Json::Value& body, const Answer& answer) {
  std::vector<std::string> blocks = Strings(body["prefix"]);
  absl::MutexLock lock(&mutex_);
  blocks.resize(cache_.Match(blocks));
  Json::Value exported;
  exported["blob"] = absl::StrJoin(blocks, ",");
  RespondJson(*answer, 200, exported);
}

void ModelEngine::ImportKv(const Json::Value& body, const Answer& answer) {
  std::vector<std::string> blocks =
      absl::StrSplit(body["blob"].asString(), ',', absl::SkipEmpty());
  absl::MutexLock lock(&mutex_);
  Cache(blocks);
  control_.Count("imported_blocks", static_cast<std::int64_t>(blocks.size()));
  RespondJson(*answer, 200, Json::objectValue);
}

void ModelEngine::ShowCacheEvents(const http::Request& request,
                                  const Answer& answer) {
  absl::MutexLock lock(&mutex_);
  Json::Value body;
  body["events"] = Json::Value(Json::arrayValue);
  for (const CacheEvent& event :
       cache_.Events(ToNumber(request.argument("after")), absl::Now())) {
    Json::Value entry;
    entry["sequence"] = event.sequence;
    entry["added"] = ToJson(event.added);
    entry["removed"] = ToJson(event.removed);
    entry["cleared"] = false;
    body["events"].append(entry);
  }
  RespondJson(*answer, 200, body);
}

void ModelEngine::ShowLoad(const Answer& answer) {
  absl::Time then = absl::Now() - control_.Milliseconds("load_lag_ms");
  absl::MutexLock lock(&mutex_);
  RespondJson(*answer, 200, history_.At(then));
}

void ModelEngine::TakeOrder(const Json::Value& body, const Answer& answer) {
  Order order{body["fence"].asInt64(), body["order"].asString(),
              body["kind"].asString(), body["model"].asString(),
              body["role"].asString()};
  bool check = control_.Flag("check_fence");
  absl::MutexLock lock(&mutex_);
  OrderVerdict verdict = orders_.Take(order, check);
  if (verdict == OrderVerdict::kMalformed) {
    return RespondError(*answer, 400, "no such order");
  }
  if (verdict == OrderVerdict::kStale) {
    control_.Count("stale_orders");
    Json::Value refusal;
    refusal["error"] = "stale fence";
    refusal["fence"] = orders_.highest_fence();
    return RespondJson(*answer, 409, refusal);
  }
  if (verdict == OrderVerdict::kTaken) {
    control_.Append("orders", body);
    timers_.After(control_.Milliseconds("order_ms"), [this, id = order.id] {
      bool works = !control_.Flag("fail_orders");
      absl::MutexLock inner(&mutex_);
      orders_.Finish(id, works);
    });
  }
  RespondJson(*answer, 200, Json::objectValue);
}

void ModelEngine::ShowOrder(const http::Request& request,
                            const Answer& answer) {
  absl::MutexLock lock(&mutex_);
  Json::Value body;
  body["state"] =
      StateName(orders_.StateOf(request.path.substr(kOrdersPath.size())));
  RespondJson(*answer, 200, body);
}

void ModelEngine::ShowModels(const Answer& answer) {
  std::vector<std::string> preloaded = Strings(control_.Value("models"));
  absl::MutexLock lock(&mutex_);
  for (const std::string& model : preloaded) orders_.AddModel(model);
  Json::Value body;
  body["models"] = Json::Value(Json::arrayValue);
  for (const std::string& model : orders_.models()) {
    body["models"].append(model);
  }
  body["role"] = orders_.role();
  RespondJson(*answer, 200, body);
}

void ModelEngine::Run() {
  absl::Time last = absl::Now();
  while (!stopping_) {
    absl::SleepFor(kStep);
    absl::Time now = absl::Now();
    absl::MutexLock lock(&mutex_);
    if (!control_.Flag("freeze") && !control_.Flag("stall")) {
      Step(now, std::min(now - last, kMaxStep));
    }
    last = now;
  }
}

void ModelEngine::Step(absl::Time now, absl::Duration elapsed) {
  Batcher::Events events;
  events.on_admitted = [this](Stream& stream) {
    auto cached = static_cast<std::int64_t>(cache_.Match(stream.blocks));
    stream.cached_tokens = cached * kTokensPerBlock;
    std::int64_t left = stream.prompt_tokens - stream.cached_tokens;
    stream.prefill_left = std::max(1.0, static_cast<double>(left));
    control_.Count("prefill_tokens", left);
    control_.Count("cached_tokens", stream.cached_tokens);
  };
  events.on_prefilled = [this](Stream& stream) { Cache(stream.blocks); };
  events.on_done = [this](Stream& stream) {
    control_.Count("decoded_tokens", stream.tokens());
  };
  batcher_.Advance(now, elapsed / control_.Number("slow_factor"),
                   CurrentSpeeds(), events);
  for (auto& [id, stream] : batcher_.streams()) Deliver(stream);
  batcher_.Forget(now - control_.Milliseconds("keep_ms"));
  SampleLoad(now);
}

Speeds ModelEngine::CurrentSpeeds() const {
  Speeds speeds;
  speeds.prefill_rate = control_.Number("prefill_rate");
  speeds.decode_rate = control_.Number("decode_rate");
  speeds.batch_rate = control_.Number("batch_rate");
  speeds.max_running =
      static_cast<std::int64_t>(control_.Number("max_running"));
  speeds.kv_tokens = static_cast<std::int64_t>(control_.Number("kv_tokens"));
  speeds.first_token_delay = control_.Milliseconds("first_token_delay_ms");
  return speeds;
}

void ModelEngine::SampleLoad(absl::Time now) {
  history_.Add({.measured = now,
                .running = batcher_.running(),
                .queued = batcher_.queued(),
                .kv_used_tokens = batcher_.kv_used(),
                .leaving = control_.Flag("leaving")});
}

void ModelEngine::Cache(const std::vector<std::string>& blocks) {
  bool drop = std::uniform_real_distribution<>(0, 1)(random_) <
              control_.Number("event_gap");
  cache_.Add(blocks, static_cast<std::size_t>(control_.Number("cache_blocks")),
             absl::Now() + control_.Milliseconds("event_lag_ms"), drop);
}

void ModelEngine::Deliver(Stream& stream) {
  std::erase_if(stream.readers,
                [&](Reader& reader) { return Feed(stream, reader); });
}

bool ModelEngine::Feed(const Stream& stream, Reader& reader) {
  http::Responder& answer = *reader.answer;
  if (reader.whole) {
    if (!stream.done) return false;
    bool crossed = control_.TakeOne("crossed");
    answer.Respond(200, {{"Content-Type", "application/json"}},
                   WholeBody(crossed ? OtherThan(stream) : stream));
    return true;
  }

  std::int64_t end = stream.tokens();
  bool cut = reader.cut_after >= 0 && end >= reader.cut_after;
  if (cut) end = reader.cut_after;
  if (reader.next < end) {
    if (control_.TakeOne("crossed")) {
      answer.Write(ChunkEvent(OtherThan(stream), reader.next, end));
    }
    answer.Write(ChunkEvent(stream, reader.next, end));
    reader.next = end;
  }
  if (cut) {
    control_.Count("streams_cut");
    answer.Abort();
    return true;
  }
  if (!stream.done) return false;
  answer.Write(FinalEvents(stream));
  answer.Finish();
  return true;
}

Stream ModelEngine::OtherThan(const Stream& stream) {
  control_.Count("answers_crossed");
  for (const auto& [id, other] : batcher_.streams()) {
    if (id != stream.id) return other;
  }
  Stream made_up = stream;
  made_up.id = id_prefix_ + "other";
  made_up.request = "other";
  ++made_up.seed;
  return made_up;
}

}  // namespace gentianlb::standins
