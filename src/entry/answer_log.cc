#include "entry/answer_log.h"

#include <json/json.h>

#include <utility>

namespace gentianlb::entry {
namespace {

std::vector<http::Header> OriginHeaders(const AnswerOrigin& origin) {
  return {{"Gentian-Request", origin.request.str()},
          {"Gentian-Server", origin.server.str()}};
}

void RespondWhole(http::Responder& responder, const AnswerOrigin& origin,
                  const WholeAnswer& answer) {
  std::vector<http::Header> headers = OriginHeaders(origin);
  headers.insert(headers.end(), answer.headers.begin(), answer.headers.end());
  responder.Respond(answer.status, std::move(headers), answer.body);
}

class StreamReader : public AnswerReader {
 public:
  StreamReader(std::shared_ptr<http::Responder> responder,
               std::shared_ptr<const AnswerOrigin> origin)
      : responder_(std::move(responder)), origin_(std::move(origin)) {}

  void OnChunk(const StreamChunk& chunk) override {
    Begin();
    responder_->Write("data: " + chunk.raw + "\n\n");
  }

  void OnWhole(const WholeAnswer& answer) override {
    RespondWhole(*responder_, *origin_, answer);
  }

  void OnEnd(const AnswerEnd& /*end*/) override {
    Begin();
    responder_->Finish();
  }

  // A cut answer must never look whole: the caller gets the numbered error, no
  // end mark, and a connection that breaks.
  void OnGivenUp(const GivenUp& why) override {
    if (!begun_) {
      http::RespondProblem(*responder_, why.error, why.retry_after);
      return;
    }
    responder_->Write("data: {\"error\":" + http::ProblemBody(why.error) +
                      "}\n\n");
    responder_->Abort();
  }

 private:
  void Begin() {
    if (begun_) return;
    begun_ = true;
    std::vector<http::Header> headers = OriginHeaders(*origin_);
    headers.push_back({"Content-Type", "text/event-stream"});
    headers.push_back({"Cache-Control", "no-store"});
    responder_->Begin(200, std::move(headers));
  }

  const std::shared_ptr<http::Responder> responder_;
  const std::shared_ptr<const AnswerOrigin> origin_;
  bool begun_ = false;
};

class WholeReader : public AnswerReader {
 public:
  WholeReader(std::shared_ptr<http::Responder> responder,
              std::shared_ptr<const AnswerOrigin> origin)
      : responder_(std::move(responder)), origin_(std::move(origin)) {}

  void OnChunk(const StreamChunk& chunk) override { text_ += chunk.text; }

  void OnWhole(const WholeAnswer& answer) override {
    RespondWhole(*responder_, *origin_, answer);
  }

  void OnEnd(const AnswerEnd& end) override {
    Json::Value answer;
    answer["id"] = origin_->request.str();
    answer["object"] = "chat.completion";
    answer["model"] = origin_->model.str();
    Json::Value& choice = answer["choices"][0];
    choice["index"] = 0;
    choice["message"]["role"] = "assistant";
    choice["message"]["content"] = text_;
    choice["finish_reason"] = end.finish_reason;
    Json::Value& usage = answer["usage"];
    usage["prompt_tokens"] = end.usage.prompt_tokens;
    usage["completion_tokens"] = end.usage.output_tokens;
    usage["total_tokens"] = end.usage.prompt_tokens + end.usage.output_tokens;
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    std::vector<http::Header> headers = OriginHeaders(*origin_);
    headers.push_back({"Content-Type", "application/json"});
    responder_->Respond(200, std::move(headers),
                        Json::writeString(writer, answer));
  }

  void OnGivenUp(const GivenUp& why) override {
    http::RespondProblem(*responder_, why.error, why.retry_after);
  }

 private:
  const std::shared_ptr<http::Responder> responder_;
  const std::shared_ptr<const AnswerOrigin> origin_;
  std::string text_;
};

}  // namespace

void AnswerLog::Attach(std::shared_ptr<AnswerReader> reader) {
  absl::MutexLock lock(&mutex_);
  for (const StreamChunk& chunk : chunks_) reader->OnChunk(chunk);
  if (whole_.has_value()) reader->OnWhole(*whole_);
  if (end_.has_value()) reader->OnEnd(*end_);
  if (given_up_.has_value()) reader->OnGivenUp(*given_up_);
  if (!EndedLocked()) readers_.push_back(std::move(reader));
}

void AnswerLog::Publish(const StreamChunk& chunk) {
  absl::MutexLock lock(&mutex_);
  if (EndedLocked()) return;
  for (const auto& reader : readers_) reader->OnChunk(chunk);
  if (!keep_) return;
  chunks_.push_back(chunk);
  kept_bytes_ += sizeof(StreamChunk) + chunk.raw.size() + chunk.text.size();
}

void AnswerLog::PublishWhole(WholeAnswer answer) {
  absl::MutexLock lock(&mutex_);
  if (EndedLocked()) return;
  for (const auto& reader : readers_) reader->OnWhole(answer);
  readers_.clear();
  kept_bytes_ += answer.body.size();
  whole_ = std::move(answer);
}

void AnswerLog::Finish(AnswerEnd end) {
  absl::MutexLock lock(&mutex_);
  if (EndedLocked()) return;
  for (const auto& reader : readers_) reader->OnEnd(end);
  readers_.clear();
  end_ = std::move(end);
}

void AnswerLog::GiveUp(GivenUp why) {
  absl::MutexLock lock(&mutex_);
  if (EndedLocked()) return;
  for (const auto& reader : readers_) reader->OnGivenUp(why);
  readers_.clear();
  given_up_ = std::move(why);
}

bool AnswerLog::ended() const {
  absl::MutexLock lock(&mutex_);
  return EndedLocked();
}

bool AnswerLog::whole() const {
  absl::MutexLock lock(&mutex_);
  return whole_.has_value() || end_.has_value();
}

std::size_t AnswerLog::kept_bytes() const {
  absl::MutexLock lock(&mutex_);
  return kept_bytes_;
}

bool AnswerLog::EndedLocked() const {
  return whole_.has_value() || end_.has_value() || given_up_.has_value();
}

std::shared_ptr<AnswerReader> MakeStreamReader(
    std::shared_ptr<http::Responder> responder,
    std::shared_ptr<const AnswerOrigin> origin) {
  return std::make_shared<StreamReader>(std::move(responder),
                                        std::move(origin));
}

std::shared_ptr<AnswerReader> MakeWholeReader(
    std::shared_ptr<http::Responder> responder,
    std::shared_ptr<const AnswerOrigin> origin) {
  return std::make_shared<WholeReader>(std::move(responder), std::move(origin));
}

}  // namespace gentianlb::entry
