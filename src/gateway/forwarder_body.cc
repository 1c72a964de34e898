// The part of the forwarder that handles the body of a server's response: it
// relays the events of a stream, and keeps a plain answer until it is complete.

#include <string>
#include <string_view>
#include <utility>

#include "gateway/forwarder.h"
#include "gateway/forwarder_internal.h"

namespace gentianlb::gateway {
namespace {

using schedule::RequestOutcome;

// Progress is reported to the dispatcher once per this number of events. A few
// samples suffice to estimate a server's speed, and each costs microseconds.
constexpr int kEventsPerProgressReport = 16;

// What a host keeps of one answer: a stream's event until its end, a plain
// answer until it is complete, and events until the caller reads them. A host
// has little memory, and a faulty server may write without end.
constexpr std::size_t kMaxEventBytes = 1 << 20;
constexpr std::size_t kMaxBodyBytes = 16 << 20;
constexpr std::size_t kMaxBacklogBytes = 16 << 20;

// The block of a body, and the one of twice its size to which it moves.
constexpr std::size_t kBlocksWhileGrowing = 3;

constexpr std::string_view kExceedsBound = "it exceeds what this host keeps";

}  // namespace

void Forwarder::OnBytes(Exchange& exchange, std::string_view bytes) {
  const ExchangeId id = exchange.id;
  TakeBytes(exchange, bytes);
  if (options_.budget == nullptr) return;
  if (Exchange* found = Find(id)) CountHeldBytes(*found);
  options_.budget->Relieve();
}

void Forwarder::CountHeldBytes(Exchange& exchange) {
  std::size_t bytes =
      http::AllocatedHeaderBytes(exchange.attempt.head.headers) +
      AllocatedBytes(exchange.body) +
      AllocatedBytes(exchange.splitter.partial());
  if (const auto& unidentified = exchange.attempt.unidentified) {
    bytes += AllocatedBytes(unidentified->partial());
  }
  exchange.held->Set(bytes);
}

bool Forwarder::MakeRoom(Exchange& exchange, std::size_t bytes) {
  const std::string& body = exchange.body;
  if (options_.budget == nullptr) return true;
  if (body.size() + bytes <= body.capacity()) return true;
  const ExchangeId id = exchange.id;
  const SendId send = exchange.attempt.send;
  exchange.held->Set(kBlocksWhileGrowing * AllocatedBytes(body));
  options_.budget->Relieve();
  const Exchange* const found = Find(id);
  return found != nullptr && found->attempt.send == send;
}

bool Forwarder::MakeRoomForHead(Exchange& exchange) {
  if (options_.budget == nullptr) return true;
  const ExchangeId id = exchange.id;
  const SendId send = exchange.attempt.send;
  CountHeldBytes(exchange);
  options_.budget->Relieve();
  const Exchange* const found = Find(id);
  return found != nullptr && found->attempt.send == send;
}

void Forwarder::TakeBytes(Exchange& exchange, std::string_view bytes) {
  if (exchange.attempt.foreign_answer) {
    return OnUnidentifiedBytes(exchange, bytes);
  }
  const ResponseHead& head = exchange.attempt.head;
  const bool relayed = exchange.is_stream() && IsSuccess(head.status);
  if (!relayed) {
    if (!MakeRoom(exchange, bytes.size())) return;
    exchange.body.append(bytes);
    if (exchange.body.size() > kMaxBodyBytes) {
      BreakOffAnswer(exchange, kExceedsBound);
    }
    return;
  }
  const int events_before = exchange.splitter.event_count();
  const std::string events = exchange.splitter.Feed(bytes);
  if (exchange.splitter.partial().size() > kMaxEventBytes) {
    return BreakOffAnswer(exchange, kExceedsBound);
  }
  if (events.empty()) return;
  const int new_events = exchange.splitter.event_count() - events_before;
  exchange.attempt.pauses.OnEvents(new_events, clock_());
  exchange.pauses.OnEvents(new_events, clock_());
  BeginStream(exchange);
  exchange.responder->Write(events);
  if (exchange.responder->Backlog() > kMaxBacklogBytes) {
    return FailRequest(exchange,
                       {Code::kCallerTooSlow, "its events pile up here"});
  }
  ReportProgress(exchange);
}

void Forwarder::OnUnidentifiedBytes(Exchange& exchange,
                                    std::string_view bytes) {
  if (!exchange.attempt.unidentified) return;
  EventSplitter& events = *exchange.attempt.unidentified;
  events.Feed(bytes);
  const bool goes_on = events.event_count() >= kEventsUnderWay ||
                       events.partial().size() > kMaxEventBytes;
  if (goes_on) LeaveUnidentifiedAnswer(exchange);
}

void Forwarder::LeaveUnidentifiedAnswer(Exchange& exchange) {
  servers_.cancel(exchange.attempt.transfer);
  FinishTransfer(exchange, SendEnd::kMayHaveRun);
  OnFailure(exchange, RequestOutcome::kFailed,
            {Code::kServerBroke, "its answer doesn't name the request"});
}

void Forwarder::BreakOffAnswer(Exchange& exchange, std::string_view detail) {
  servers_.cancel(exchange.attempt.transfer);
  FinishTransfer(exchange, SendEnd::kMayHaveRun);
  OnFailure(exchange, RequestOutcome::kFailed,
            {Code::kAnswerTooLong, std::string(detail)});
}

void Forwarder::BeginStream(Exchange& exchange) {
  if (exchange.responding) return;
  exchange.responding = true;
  exchange.first_event = clock_();
  RecordVersion(exchange);
  RecordFirst(exchange);
  metrics_->ObserveFirstToken(exchange.tier,
                              exchange.first_event - exchange.arrival);
  exchange.responder->Begin(exchange.attempt.head.status,
                            ResponseHeaders(exchange.attempt.head));
}

void Forwarder::ReportProgress(Exchange& exchange) {
  if (!exchange.service->engine) return;
  const int events = exchange.splitter.event_count();
  const bool first = !exchange.attempt.first_event_reported;
  if (!first && events % kEventsPerProgressReport != 0) return;
  exchange.attempt.first_event_reported = true;
  const int tokens = events * exchange.service->engine->tokens_per_event;
  schedule::TokensStreamed event{exchange.attempt.dispatch_id, tokens};
  event.pauses = exchange.attempt.pauses.pauses();
  if (first) {
    event.request_limit = exchange.attempt.head.request_limit;
    event.machine_slowdown = MachineSlowdownOf(exchange.attempt.head);
  }
  NotifyDispatcher(exchange.pool, event);
}

}  // namespace gentianlb::gateway
