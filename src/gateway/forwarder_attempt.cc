// The part of the forwarder that handles head and end of the response to one
// attempt at a server, and decides whether to retry.

#include <glog/logging.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"
#include "gateway/forwarder.h"
#include "gateway/forwarder_internal.h"

namespace gentianlb::gateway {
namespace {

using schedule::RequestOutcome;

// One server without free capacity is common. If a third has none either, all
// are probably full, and each attempt costs the servers something.
constexpr int kMaxSheds = 2;

// With fewer, one delayed event makes a stream look slow.
constexpr int kMinEventsForPace = 4;

// A server that ends as it begins to write an answer does so within
// milliseconds. The caller of a server that doesn't end waits for this long
// before another one gets its request.
constexpr absl::Duration kMaxWaitForEnd = absl::Milliseconds(100);

// Returns how far the response of the current attempt has come.
schedule::ResponseProgress ProgressOf(const Exchange& exchange) {
  const int events =
      exchange.splitter.event_count() - exchange.attempt.events_before;
  if (events >= kEventsUnderWay) return schedule::ResponseProgress::kUnderWay;
  return exchange.attempt.has_begun ? schedule::ResponseProgress::kBegun
                                    : schedule::ResponseProgress::kNone;
}

// Returns why a response that the transfer completed is not the server's whole
// response, or an empty string. The end of a body that ends with its connection
// is no evidence: a server that dies closes its connections too.
std::string_view FindTruncation(const Exchange& exchange) {
  const ResponseHead& head = exchange.attempt.head;
  if (!exchange.is_stream() || !IsSuccess(head.status)) return "";
  const EventSplitter& events = exchange.splitter;
  if (events.inside_event()) return "the stream ended inside an event";
  const bool has_begun = events.event_count() > 0 || events.last_event() > 0;
  if (head.ends_with_connection && !has_begun) {
    return "the stream ended without an event";
  }
  return "";
}

// Returns what the end of a transfer says of its request.
SendEnd SendEndOf(const Attempt& attempt, http::TransferEnd end) {
  const bool not_sent = end == http::TransferEnd::kNotSent ||
                        end == http::TransferEnd::kWithdrawn;
  const bool not_run = attempt.has_head && attempt.head.not_run;
  return not_sent || not_run ? SendEnd::kNotRun : SendEnd::kMayHaveRun;
}

// Returns whether bytes are the beginning of an event, and not of a document
// that another program writes.
bool BeginsEvent(std::string_view bytes) {
  constexpr std::string_view kFields[] = {"id:", "data:", "event:"};
  return std::any_of(
      std::begin(kFields), std::end(kFields),
      [&](std::string_view field) { return bytes.starts_with(field); });
}

// Returns whether the server was lost in an attempt whose transfer broke or
// completed.
bool IsServerLost(const Attempt& attempt, http::TransferEnd end) {
  if (!attempt.foreign_answer) return end == http::TransferEnd::kBroken;
  if (!attempt.unidentified) return false;
  if (end == http::TransferEnd::kBroken) return true;
  // The end of an unframed body may be the end of its server.
  return attempt.head.ends_with_connection &&
         BeginsEvent(attempt.unidentified->partial());
}

}  // namespace

void Forwarder::FinishTransfer(Exchange& exchange, SendEnd end) {
  const bool was_open = exchange.sends.open();
  exchange.sends.End(end);
  timers_->Cancel(exchange.attempt.unidentified_timer);
  exchange.attempt.unidentified_timer = 0;
  exchange.attempt.send = 0;
  if (!was_open) return;
  const auto found = running_.find(exchange.attempt.server->id);
  if (found == running_.end()) return;
  if (--found->second <= 0) running_.erase(found);
}

http::ReadAction Forwarder::OnHead(Exchange& exchange, ResponseHead head) {
  if (!head.matches_request) return OnForeignHead(exchange, head);
  if (paths_ != nullptr) {
    paths_->OnReached(exchange.attempt.server->id, exchange.attempt.path,
                      exchange.attempt.sent_at, clock_());
  }
  LogLimitChange(exchange, head);
  RecordCooldown(exchange, head);
  const std::optional<ServerLoad> load = head.load;
  exchange.attempt.has_head = true;
  exchange.attempt.head = std::move(head);
  if (!MakeRoomForHead(exchange)) return http::ReadAction::kStop;
  // Applying the decisions that follow may finish this request too.
  const ExchangeId id = exchange.id;
  if (exchange.attempt.head.leaving) RecordLeaving(exchange);
  if (Find(id) == nullptr) return http::ReadAction::kStop;
  if (!load) return http::ReadAction::kContinue;
  NotifyDispatcher(
      exchange.pool,
      schedule::ResponseLoadReported{exchange.attempt.server->id, load->running,
                                     load->waiting, load->machine_slowdown});
  return Find(id) == nullptr ? http::ReadAction::kStop
                             : http::ReadAction::kContinue;
}

// A head that names another request is a running server's answer to that. Any
// other may be the last that a server writes before it ends. That shows only
// once the transfer ends, so the body is read for a short time.
http::ReadAction Forwarder::OnForeignHead(Exchange& exchange,
                                          const ResponseHead& head) {
  Attempt& attempt = exchange.attempt;
  const bool may_end = exchange.is_stream() && !head.names_other_request;
  LOG(WARNING) << "event=foreign-answer request=" << exchange.request->id
               << " server=" << attempt.server->id << " status=" << head.status
               << " signed=" << head.signed_
               << " names_other_request=" << head.names_other_request
               << " kept_connection=" << head.kept_connection
               << " connection=" << head.connection_port
               << " waits_for_end=" << may_end;
  attempt.foreign_answer = true;
  metrics_->CountForeignAnswer(head.names_other_request);
  if (head.names_other_request) {
    PauseConnectionReuse(exchange, head.kept_connection);
  }
  if (!may_end) return http::ReadAction::kStop;
  attempt.unidentified.emplace(/*last_event=*/0);
  attempt.head.ends_with_connection = head.ends_with_connection;
  const absl::Time until = clock_() + kMaxWaitForEnd;
  attempt.unidentified_timer =
      timers_->At(until, [this, id = exchange.id](absl::Time) {
        if (Exchange* waiting = Find(id)) LeaveUnidentifiedAnswer(*waiting);
      });
  return http::ReadAction::kContinue;
}

void Forwarder::PauseConnectionReuse(const Exchange& exchange,
                                     bool kept_connection) {
  const ServerEntry& server = *exchange.attempt.server;
  if (!connection_reuse_.OnOtherAnswer(server, clock_())) return;
  LOG(WARNING) << "event=connection-reuse-paused server=" << server.id
               << " started=" << server.started
               << " request=" << exchange.request->id
               << " kept_connection=" << kept_connection
               << " for_ms=" << Milliseconds(ConnectionReuse::kPause)
               << " servers_remembered=" << connection_reuse_.size()
               << " peer=" << exchange.attempt.path.peer_name();
  metrics_->CountReusePause();
}

bool Forwarder::HasServerRestarted(const Exchange& exchange) const {
  const ServerEntry& server = *exchange.attempt.server;
  const ServerEntry* const registered = directory_->Find(server.id);
  return registered != nullptr && IsRestart(server, *registered);
}

void Forwarder::RecordCooldown(const Exchange& exchange,
                               const ResponseHead& head) {
  if (!head.cooldown || HasServerRestarted(exchange)) return;
  const ServerEntry& server = *exchange.attempt.server;
  const absl::Time now = clock_();
  metrics_->CountCooldown();
  const bool extends = cooldowns_.OnAsked(server, *head.cooldown, now);
  LOG(INFO) << "event=cooldown-asked server=" << server.id
            << " request=" << exchange.request->id
            << " for_ms=" << Milliseconds(*head.cooldown)
            << " left_ms=" << Milliseconds(cooldowns_.Left(server.id, now))
            << " extends=" << extends
            << " sent_ms_ago=" << Milliseconds(now - exchange.attempt.sent_at)
            << " peer=" << exchange.attempt.path.peer_name();
  if (exchange.attempt.path.direct() || !on_tunnelled_cooldown_) return;
  // To the server, the request was the peer's.
  on_tunnelled_cooldown_({server.id, server.started, *head.cooldown},
                         exchange.attempt.path.peer);
}

void Forwarder::RecordLeaving(const Exchange& exchange) {
  const ServerEntry& server = *exchange.attempt.server;
  if (directory_->IsMarkedLeaving(server.id)) return;
  if (HasServerRestarted(exchange)) return;
  const ServerEntry* const registered = directory_->Find(server.id);
  LOG(INFO) << "event=server-leaving server=" << server.id
            << " request=" << exchange.request->id
            << " status=" << exchange.attempt.head.status
            << " registered=" << (registered != nullptr)
            << " draining=" << (registered != nullptr && registered->draining)
            << " peer=" << exchange.attempt.path.peer_name();
  if (!on_server_leaving_) return;
  // A copy, because what follows may finish the exchange.
  const ServerPath path = exchange.attempt.path;
  on_server_leaving_({server.id, server.started, absl::ZeroDuration()}, path);
}

void Forwarder::LogLimitChange(const Exchange& exchange,
                               const ResponseHead& head) {
  if (!head.request_limit) return;
  const ServerId& server = exchange.attempt.server->id;
  const double known =
      QueueOf(exchange.pool).dispatcher().request_limit(server);
  if (*head.request_limit == known) return;
  LOG(INFO) << "event=request-limit server=" << server
            << " per_second=" << *head.request_limit << " before=" << known
            << " request=" << exchange.request->id << " sent_ms_ago="
            << Milliseconds(clock_() - exchange.attempt.sent_at);
}

void Forwarder::OnTransferEnd(Exchange& exchange, http::TransferEnd end,
                              const std::string& detail) {
  Attempt& attempt = exchange.attempt;
  FinishTransfer(exchange, SendEndOf(attempt, end));
  if (end == http::TransferEnd::kWithdrawn) {
    --exchange.attempts;
    exchange.retry_taken = exchange.attempts > 0;
    return Withhold(exchange, attempt.server->id);
  }
  if (end == http::TransferEnd::kNotSent) {
    LOG(WARNING) << "event=not-sent request=" << exchange.request->id
                 << " server=" << attempt.server->id
                 << " peer=" << attempt.path.peer_name() << " cause=\""
                 << detail << "\"";
    --exchange.attempts;
    if (paths_ != nullptr) {
      paths_->OnUnreachable(attempt.server->id, attempt.path, clock_());
      if (SendOnOtherPath(exchange)) return;
    }
    if (IsWithheld(attempt.server->id)) {
      return Withhold(exchange, attempt.server->id);
    }
    return NotifyDispatcher(exchange.pool, schedule::RequestFinished{
                                               attempt.dispatch_id,
                                               RequestOutcome::kNotSent, 0, 0});
  }
  if (attempt.has_head && attempt.head.not_run) return OnShed(exchange);
  if (end != http::TransferEnd::kComplete || attempt.foreign_answer) {
    return OnFailure(exchange,
                     IsServerLost(attempt, end)
                         ? RequestOutcome::kConnectionLost
                         : RequestOutcome::kFailed,
                     {Code::kServerBroke, detail});
  }
  attempt.complete = true;
  const std::string_view truncation = FindTruncation(exchange);
  if (!truncation.empty()) {
    return OnFailure(exchange, RequestOutcome::kConnectionLost,
                     {Code::kServerBroke, std::string(truncation)});
  }
  // Of a stream that the caller has in part, no error is the end.
  const bool failed = IsServerFailure(attempt.head.status) ||
                      (exchange.responding && !IsSuccess(attempt.head.status));
  if (failed && exchange.safe_to_retry()) {
    return OnFailure(
        exchange, RequestOutcome::kFailed,
        {Code::kServerBroke, absl::StrCat("status ", attempt.head.status)});
  }
  OnResponseComplete(exchange);
}

void Forwarder::RecordFirst(const Exchange& exchange) {
  // A resumed stream began at another server.
  if (rollouts_ == nullptr || exchange.attempts > 1) return;
  const absl::Time now = clock_();
  ServerAnswer answer;
  answer.first = now - exchange.attempt.sent_at;
  rollouts_->RecordAnswer(*exchange.attempt.server, exchange.route->name,
                          answer, now);
}

void Forwarder::RecordAnswer(const Exchange& exchange,
                             ServerAnswer::Kind kind) {
  if (rollouts_ == nullptr) return;
  const absl::Time now = clock_();
  const int events = exchange.splitter.event_count();
  ServerAnswer answer;
  answer.kind = kind;
  const bool answered = kind == ServerAnswer::Kind::kAnswered;
  if (answered && exchange.attempts == 1 && events >= kMinEventsForPace) {
    answer.pace = (now - exchange.first_event) / (events - 1);
  }
  rollouts_->RecordAnswer(*exchange.attempt.server, exchange.route->name,
                          answer, now);
}

std::vector<schedule::ServerCooldown> Forwarder::CooldownsOf(
    const Exchange& exchange) const {
  if (!exchange.attempt.head.cooldown) return {};
  const ServerId& server = exchange.attempt.server->id;
  const absl::Duration left = cooldowns_.Left(server, clock_());
  if (left <= absl::ZeroDuration()) return {};
  return {{server, left}};
}

void Forwarder::FinishAttempt(Exchange& exchange, RequestOutcome kind) {
  const RequestId dispatch_id = exchange.attempt.dispatch_id;
  if (dispatch_id.empty()) return;
  exchange.attempt.dispatch_id = RequestId();
  exchange_by_dispatch_id_.erase(dispatch_id);
  int tokens = 0;
  if (exchange.service->engine) {
    tokens = exchange.splitter.event_count() *
             exchange.service->engine->tokens_per_event;
  }
  NotifyDispatcher(
      exchange.pool,
      schedule::RequestFinished{
          dispatch_id, kind, tokens, 0, exchange.attempt.head.request_limit,
          ProgressOf(exchange), exchange.attempt.pauses.pauses(),
          MachineSlowdownOf(exchange.attempt.head), CooldownsOf(exchange)});
}

void Forwarder::OnResponseComplete(Exchange& exchange) {
  // A server that fails fast must not look like a fast server.
  const bool failed = IsServerFailure(exchange.attempt.head.status);
  if (!failed && !exchange.responding) RecordFirst(exchange);
  RecordAnswer(exchange, failed ? ServerAnswer::Kind::kFailed
                                : ServerAnswer::Kind::kAnswered);
  FinishAttempt(exchange,
                failed ? RequestOutcome::kFailed : RequestOutcome::kComplete);
  FinishResponse(exchange);
}

// The server did not run the request.
void Forwarder::OnShed(Exchange& exchange) {
  const ServerId server = exchange.attempt.server->id;
  const bool wrong = exchange.attempt.head.wrong_server;
  LOG(INFO) << "event=shed request=" << exchange.request->id
            << " server=" << server
            << " status=" << exchange.attempt.head.status
            << " wrong_server=" << wrong
            << " names_request=" << exchange.attempt.head.names_request
            << " kept_connection=" << exchange.attempt.head.kept_connection
            << " connection=" << exchange.attempt.head.connection_port;
  ++exchange.shed_attempts;
  if (!exchange.attempt.head.names_request) {
    metrics_->CountUnnamedRefusal(exchange.attempt.head.kept_connection);
  }
  const ExchangeId id = exchange.id;
  FinishAttempt(exchange, RequestOutcome::kShed);
  if (wrong && on_wrong_server_) on_wrong_server_(server);
  if (Find(id) == nullptr) return;
  if (exchange.shed_attempts <= kMaxSheds && Retry(exchange, "not run")) return;
  Refuse(exchange, {Code::kQueueFull, "the servers have no room"},
         kShortRetryAfter);
}

// The server may have run the request.
void Forwarder::OnFailure(Exchange& exchange, RequestOutcome kind,
                          const Error& error) {
  LOG(WARNING) << "event=sending-failed request=" << exchange.request->id
               << " server=" << exchange.attempt.server->id << " cause=\""
               << error.detail
               << "\" events=" << exchange.splitter.event_count()
               << " partial_bytes=" << exchange.splitter.partial().size()
               << " ends_with_connection="
               << exchange.attempt.head.ends_with_connection
               << " body_bytes=" << exchange.body.size()
               << " peer=" << exchange.attempt.path.peer_name()
               << " begun=" << exchange.attempt.has_begun
               << " head=" << exchange.attempt.has_head
               << " complete=" << exchange.attempt.complete;
  const ResponseHead head = exchange.attempt.head;
  const bool complete_failure =
      exchange.attempt.complete && IsServerFailure(head.status);
  RecordAnswer(exchange, complete_failure ? ServerAnswer::Kind::kFailed
                                          : ServerAnswer::Kind::kBroken);
  std::string body = std::move(exchange.body);
  FinishAttempt(exchange, kind);
  const int executions = exchange.attempts - exchange.shed_attempts;
  if (exchange.safe_to_retry() && executions < exchange.route->max_attempts &&
      !EndsServers(exchange) && Retry(exchange, "may have run")) {
    return;
  }
  if (complete_failure && !exchange.responding) {
    exchange.attempt.head = head;
    exchange.body = std::move(body);
    return FinishResponse(exchange);
  }
  FailRequest(exchange, error);
}

bool Forwarder::EndsServers(const Exchange& exchange) const {
  const schedule::Suspects& suspects = *options_.queue.dispatcher.suspects;
  const absl::Time now = clock_();
  if (suspects.requests.MayRun(exchange.content, /*running=*/0, now) &&
      !suspects.parts.FindDeadly(exchange.parts, now)) {
    return false;
  }
  LOG(WARNING) << "event=not-resent request=" << exchange.request->id
               << SuspectInputs(exchange);
  return true;
}

void Forwarder::RefundRetry(Exchange& exchange) {
  if (!std::exchange(exchange.retry_taken, false)) return;
  QueueOf(exchange.service->id).retries().Refund();
}

bool Forwarder::Retry(Exchange& exchange, std::string_view reason) {
  if (exchange.deadline - clock_() < kMinTimeToRetry) return false;
  if (!QueueOf(exchange.service->id).retries().Take()) {
    LOG(INFO) << "event=no-retry-budget request=" << exchange.request->id;
    return false;
  }
  exchange.retry_taken = true;
  const ServerId avoid = exchange.attempt.server->id;
  LOG(INFO) << "event=resend request=" << exchange.request->id
            << " after=" << avoid << " why=\"" << reason
            << "\" last_event=" << exchange.splitter.last_event();
  if (exchange.responding) metrics_->CountResumed();
  if (rollouts_ != nullptr) {
    const ServiceId& service = exchange.service->id;
    exchange.pool =
        exchange.stream_version.empty()
            ? rollouts_->ChooseOtherPool(service, exchange.pool,
                                         exchange.request->id)
            : rollouts_->PoolOfVersion(service, exchange.stream_version);
  }
  Enqueue(exchange, avoid);
  return true;
}

}  // namespace gentianlb::gateway
