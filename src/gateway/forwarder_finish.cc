// The part of the forwarder that finishes requests: it sends the response, or
// the reason why there is none, to the caller.

#include <glog/logging.h>

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "gateway/forwarder.h"
#include "gateway/forwarder_internal.h"

namespace gentianlb::gateway {
namespace {

using schedule::RequestOutcome;

// An acknowledgement that waits here is read within this time.
constexpr absl::Duration kCallerRecheckInterval = absl::Milliseconds(100);

// Returns the status of a refusal: 503 or 429 if the request was not run and
// may be retried, 502 or 504 if it may have run.
int StatusOf(const Error& error) {
  const CodeInfo& info = Describe(error.code);
  if (info.http_status < 500) return info.http_status;
  if (info.run == RunState::kNo) return 503;
  return info.http_status == 504 ? 504 : 502;
}

// Returns whether callers take a status for the promise that the request has
// not run and never will.
bool PromisesNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

// Returns what marks the end of a response's body.
std::string_view FramingOf(const ResponseHead& head) {
  if (head.ends_with_connection) return "connection";
  return head.content_length.empty() ? "chunks" : "length";
}

std::string_view OrDash(const std::string& text) {
  if (text.empty()) return "-";
  return text;
}

// Returns what a caller got of a stream, as fields of a log line.
std::string EventFields(const EventSplitter& events) {
  return absl::StrCat(" events=", events.event_count(),
                      " last_event=", events.last_event(),
                      " dropped_events=", events.dropped_events(),
                      " id_gaps=", events.id_gaps());
}

// Returns the inputs that decided a refusal by a limit, as fields of its line.
std::string LimitInputs(const LimitRefusal& refusal,
                        const PeerKnowledge& peers) {
  return absl::StrFormat(
      " level=%.0f reserved=%.0f unreported=%.0f share=%.4f rate=%.0f"
      " hosts=%d reachable=%d all_reachable=%d peers_age_ms=%d"
      " peers_from=%s aggregating_ms=%d",
      refusal.state.level, refusal.reserved, refusal.state.unreported,
      refusal.state.share, refusal.state.tokens_per_second, peers.hosts,
      peers.reachable, peers.all_reachable, Milliseconds(peers.age),
      peers.aggregator.empty() ? "-" : peers.aggregator,
      Milliseconds(peers.aggregating));
}

}  // namespace

std::string Forwarder::SuspectInputs(const Exchange& exchange) const {
  const schedule::Suspects& suspects = *options_.queue.dispatcher.suspects;
  const absl::Time now = clock_();
  std::string inputs = absl::StrCat(
      " content=", absl::Hex(exchange.content), " servers_lost_here=",
      suspects.requests.ServersLost(exchange.content, now));
  const auto deadly = suspects.parts.FindDeadly(exchange.parts, now);
  if (!deadly) return inputs;
  const auto& losses = *suspects.parts.LossesOf(*deadly, now);
  absl::StrAppend(&inputs, " part=", absl::Hex(*deadly),
                  " servers_lost_under_part=", losses.size(),
                  " last_lost_ms_ago=", Milliseconds(now - losses.back().at));
  return inputs;
}

std::vector<http::Header> Forwarder::ResponseHeaders(
    const ResponseHead& head) const {
  std::vector<http::Header> headers = head.headers;
  if (draining_) headers.push_back({"Connection", "close"});
  return headers;
}

void Forwarder::FinishResponse(Exchange& exchange) {
  const absl::Time now = clock_();
  const ResponseHead& head = exchange.attempt.head;
  // Only a server that states that it has not run the request can promise it.
  if (PromisesNotRun(head.status) && !head.not_run &&
      !exchange.safe_to_retry()) {
    return FailRequest(
        exchange,
        {Code::kServerBroke, absl::StrCat("status ", head.status,
                                          " doesn't say that it did not run")});
  }
  const bool stream = exchange.is_stream() && IsSuccess(head.status);
  const std::size_t body_bytes = exchange.body.size();
  metrics_->CountFraming(FramingOf(head));
  if (exchange.responding) {
    exchange.responder->Write(exchange.splitter.partial());
    exchange.responder->Finish();
  } else if (stream) {
    exchange.responder->Respond(head.status, ResponseHeaders(head),
                                exchange.splitter.partial());
  } else {
    exchange.responder->Respond(head.status, ResponseHeaders(head),
                                std::move(exchange.body));
  }
  const absl::Time responded_at = stream ? exchange.first_event : now;
  const bool first_in_time =
      responded_at - exchange.arrival <= exchange.route->objective;
  const absl::Duration max_pause = exchange.route->max_pause;
  const absl::Duration longest_pause = exchange.pauses.longest();
  const bool paused = longest_pause > max_pause;
  const bool in_time = first_in_time && !paused;
  metrics_->CountAnswered(exchange.tier, in_time);
  if (first_in_time && paused) metrics_->CountLateByPause(exchange.tier);
  LOG(INFO) << "event=answered request=" << exchange.request->id
            << " route=" << exchange.route->name
            << " tier=" << exchange.tier.rank << " status=" << head.status
            << " server=" << exchange.attempt.server->id
            << " sendings=" << exchange.attempts
            << " prompt_tokens=" << exchange.prompt_tokens()
            << " first_ms=" << Milliseconds(responded_at - exchange.arrival)
            << " total_ms=" << Milliseconds(now - exchange.arrival)
            << EventFields(exchange.splitter)
            << " partial_bytes=" << exchange.splitter.partial().size()
            << " body_bytes=" << body_bytes << " framing=" << FramingOf(head)
            << " stated_bytes=" << OrDash(head.content_length)
            << " kept_connection=" << head.kept_connection
            << " connection=" << head.connection_port
            << " peer=" << exchange.attempt.path.peer_name()
            << " longest_pause_ms=" << Milliseconds(longest_pause)
            << " max_pause_ms=" << MillisecondsOrDash(max_pause)
            << " in_time=" << in_time;
  Remove(exchange.id);
}

void Forwarder::RespondError(http::Responder& responder, const Error& error,
                             absl::Duration retry_after) const {
  std::vector<http::Header> headers = {
      {"Content-Type", "application/problem+json"}};
  const int status = StatusOf(error);
  const bool retryable = status == 429 || status == 503;
  if (retryable) {
    headers.push_back(
        {"Retry-After",
         absl::StrFormat("%.3f", absl::ToDoubleSeconds(retry_after))});
  }
  if (draining_) headers.push_back({"Connection", "close"});
  responder.Respond(status, std::move(headers), http::ProblemBody(error));
}

void Forwarder::Refuse(Exchange& exchange, const Error& error,
                       absl::Duration retry_after) {
  if (!exchange.sends.MayPromiseNotRun() || exchange.responding) {
    return FailRequest(exchange, {Code::kServerBroke, error.detail});
  }
  const absl::Time now = clock_();
  std::size_t waiting = 0;
  if (exchange.service != nullptr) {
    waiting = QueueOf(exchange.pool).dispatcher().waiting();
  }
  std::string inputs;
  if (exchange.over_limit) {
    inputs = LimitInputs(*exchange.over_limit, demand_->Peers(now));
  } else if (error.code == Code::kEndsServers) {
    inputs = SuspectInputs(exchange);
  }
  LOG(INFO) << "event=refused request=" << exchange.request->id
            << " code=" << static_cast<int>(error.code) << " cause=\""
            << error.detail << "\" tier=" << exchange.tier.rank << " workspace="
            << (exchange.workspace ? exchange.workspace->id.str() : "-")
            << " waiting=" << waiting
            << " after_ms=" << Milliseconds(now - exchange.arrival)
            << " retry_after_ms=" << Milliseconds(retry_after)
            << " version=" << version()
            << " prompt_tokens=" << exchange.prompt_tokens()
            << " route=" << (exchange.route ? exchange.route->name : "-")
            << inputs;
  metrics_->CountRefused(exchange.tier, error.code);
  RespondError(*exchange.responder, error, retry_after);
  CancelAttempt(exchange);
  Remove(exchange.id);
}

// Fails a request that may have run, so that a refusal would be false.
void Forwarder::FailRequest(Exchange& exchange, const Error& error) {
  LOG(WARNING) << "event=given-up request=" << exchange.request->id
               << " code=" << static_cast<int>(error.code) << " cause=\""
               << error.detail << "\" sendings=" << exchange.attempts
               << EventFields(exchange.splitter)
               << " after_ms=" << Milliseconds(clock_() - exchange.arrival)
               << " answering=" << exchange.responding
               << " prompt_tokens=" << exchange.prompt_tokens()
               << " route=" << exchange.route->name;
  metrics_->CountCancelled(error.code);
  if (exchange.responding) {
    exchange.responder->Abort();
  } else {
    RespondError(*exchange.responder, error, absl::ZeroDuration());
  }
  CancelAttempt(exchange);
  Remove(exchange.id);
}

void Forwarder::OnDeadlinePassed(Exchange& exchange) {
  exchange.deadline_timer = 0;
  if (!exchange.sends.MayPromiseNotRun()) {
    if (exchange.sends.open()) {
      RecordAnswer(exchange, ServerAnswer::Kind::kFailed);
    }
    return FailRequest(exchange, {Code::kServerTimeout, "the deadline passed"});
  }
  Refuse(exchange, {Code::kDeadlinePassed, "while it waited"},
         kShortRetryAfter);
}

void Forwarder::OnCallerDisconnected(Exchange& exchange) {
  LOG(INFO) << "event=caller-gone request=" << exchange.request->id
            << " sendings=" << exchange.attempts
            << " events=" << exchange.splitter.event_count()
            << " after_ms=" << Milliseconds(clock_() - exchange.arrival)
            << " prompt_tokens=" << exchange.prompt_tokens()
            << " route=" << exchange.route->name;
  metrics_->CountCancelled(Code::kCallerGone);
  CancelAttempt(exchange);
  Remove(exchange.id);
}

void Forwarder::OnUndelivered(const RequestId& request,
                              const std::string& route) {
  LOG(WARNING) << "event=answer-undelivered request=" << request
               << " route=" << route;
  metrics_->CountUndelivered();
}

void Forwarder::ScheduleCallerCheck(Exchange& exchange, absl::Time when) {
  exchange.caller_check_timer =
      timers_->At(when, [this, id = exchange.id](absl::Time) {
        if (Exchange* checked = Find(id)) CheckCaller(*checked);
      });
}

// Checks twice: the first check after a pause of this process sees a state that
// is as old as the pause.
void Forwarder::CheckCaller(Exchange& exchange) {
  exchange.caller_check_timer = 0;
  const absl::Duration unacknowledged = exchange.responder->UnacknowledgedFor();
  const absl::Duration timeout = CallerEventTimeout(*exchange.route);
  const bool was_unresponsive =
      std::exchange(exchange.caller_unresponsive, unacknowledged >= timeout);
  if (!exchange.caller_unresponsive || !was_unresponsive) {
    const absl::Duration until_next =
        std::max(timeout - unacknowledged, kCallerRecheckInterval);
    return ScheduleCallerCheck(exchange, clock_() + until_next);
  }
  LOG(INFO) << "event=caller-unresponsive request=" << exchange.request->id
            << " for_ms=" << Milliseconds(unacknowledged)
            << " timeout_ms=" << Milliseconds(timeout);
  metrics_->CountUnresponsiveCaller();
  OnCallerDisconnected(exchange);
}

void Forwarder::CancelAttempt(Exchange& exchange) {
  if (exchange.sends.open()) {
    servers_.cancel(exchange.attempt.transfer);
    FinishTransfer(exchange, SendEnd::kMayHaveRun);
    FinishAttempt(exchange, RequestOutcome::kCancelled);
    return;
  }
  const RequestId dispatch_id = exchange.attempt.dispatch_id;
  if (dispatch_id.empty()) return;
  exchange.attempt.dispatch_id = RequestId();
  exchange_by_dispatch_id_.erase(dispatch_id);
  NotifyDispatcher(exchange.pool, schedule::CallerDisconnected{dispatch_id});
}

void Forwarder::Remove(ExchangeId id) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return;
  timers_->Cancel(found->second->deadline_timer);
  timers_->Cancel(found->second->caller_check_timer);
  RefundQuota(*found->second);
  exchanges_.erase(found);
}

}  // namespace gentianlb::gateway
