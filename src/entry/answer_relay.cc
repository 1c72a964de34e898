#include "entry/answer_relay.h"

#include <algorithm>
#include <utility>

#include "http/framing.h"

namespace gentianlb::entry {
namespace {

// What is kept of an engine's refusal, for the caller's detail.
constexpr std::size_t kMaxRefusalBytes = 512;

// A plain service's answer is collected before it is passed on, so that a cut
// one never reaches a caller; a larger one is refused.
constexpr std::size_t kMaxPlainBytes = 64 << 20;

}  // namespace

AnswerRelay::AnswerRelay(std::string engine_request,
                         std::shared_ptr<AnswerLog> log, RelayEvents events)
    : engine_request_(std::move(engine_request)),
      log_(std::move(log)),
      events_(std::move(events)) {}

http::TransferSink AnswerRelay::MakeSink(std::string method) {
  method_ = std::move(method);
  status_ = 0;
  headers_.clear();
  body_.clear();
  corrupt_ = false;
  reader_ = std::make_unique<EventStreamReader>(engine_request_, next_offset_);
  auto self = shared_from_this();
  return {[self](http::ReceivedHead head) {
            return self->OnHead(head.status, std::move(head.headers));
          },
          [self](std::string_view bytes) { self->OnData(bytes); },
          [self](http::TransferEnd end, std::string detail) {
            self->OnEnd(end, detail);
          }};
}

http::ReadAction AnswerRelay::OnHead(int status,
                                     std::vector<http::Header> headers) {
  status_ = status;
  headers_ = std::move(headers);
  std::string_view stream = http::FindHeader(headers_, "X-Stream-Id");
  if (!stream.empty()) events_.on_stream(std::string(stream));
  // A killed process's connections end in good order too, and a plain service
  // has no way to say that it has outlived the end.
  if (plain() && http::EndsWithConnection(method_, status_, headers_)) {
    corrupt_ = true;
    fault_ = {Code::kServerBroke, "the answer has neither a length nor chunks"};
    return http::ReadAction::kStop;
  }
  return http::ReadAction::kContinue;
}

void AnswerRelay::OnData(std::string_view bytes) {
  if (corrupt_) return;
  if (plain()) {
    body_.append(bytes);
    if (body_.size() <= kMaxPlainBytes) return;
    corrupt_ = true;
    fault_ = {Code::kServerBroke, "the answer is larger than 64 MiB"};
    return;
  }
  if (status_ == 200) {
    OnChunks(bytes);
    return;
  }
  std::size_t room = kMaxRefusalBytes - body_.size();
  body_.append(bytes.substr(0, room));
}

void AnswerRelay::OnChunks(std::string_view bytes) {
  int before = next_offset_;
  Outcome<std::vector<StreamChunk>> chunks = reader_->Feed(bytes);
  if (!chunks.ok()) {
    corrupt_ = true;
    fault_ = chunks.error();
    return;
  }
  for (const StreamChunk& chunk : chunks.value()) log_->Publish(chunk);
  next_offset_ = reader_->next_offset();
  if (next_offset_ > before) events_.on_progress(next_offset_);
}

void AnswerRelay::OnEnd(http::TransferEnd end, const std::string& detail) {
  RelayEnd result;
  result.complete = Deliver(end);
  result.not_sent = end == http::TransferEnd::kNotSent;
  result.corrupt = corrupt_;
  result.refused = !plain() && status_ != 0 && status_ != 200;
  result.status = status_;
  result.error = Explain(end, detail);
  result.next_offset = next_offset_;
  result.usage = reader_->usage();
  events_.on_end(std::move(result));
}

// Ends the log when the answer is whole, and says whether it is.
bool AnswerRelay::Deliver(http::TransferEnd end) {
  if (corrupt_) return false;
  if (!plain()) {
    if (!reader_->complete()) return false;
    log_->Finish({reader_->finish_reason(), reader_->usage()});
    return true;
  }
  if (end != http::TransferEnd::kComplete) return false;
  WholeAnswer answer{status_, {}, std::move(body_)};
  std::string_view type = http::FindHeader(headers_, "Content-Type");
  if (!type.empty()) {
    answer.headers.push_back({"Content-Type", std::string(type)});
  }
  log_->PublishWhole(std::move(answer));
  return true;
}

Error AnswerRelay::Explain(http::TransferEnd end,
                           const std::string& detail) const {
  if (corrupt_) return fault_;
  if (end == http::TransferEnd::kNotSent) {
    return {Code::kServerUnreachable, detail};
  }
  if (!plain() && status_ != 0 && status_ != 200) {
    return {Code::kServerRefused,
            "status " + std::to_string(status_) + ": " + body_};
  }
  if (end == http::TransferEnd::kTimedOut) {
    return {Code::kServerTimeout, detail};
  }
  return {Code::kServerBroke, detail};
}

}  // namespace gentianlb::entry
