// The one sending of a request, the stream that comes back, and its end.

#include <algorithm>
#include <utility>

#include "entry/calls.h"

namespace gentianlb::entry {
namespace {

using timeline::EventKind;

// Tries to take a broken stream up again before the answer is given up. Each
// waits longer; together they outlast a switch that restarts a link.
constexpr int kMaxResumes = 4;
constexpr absl::Duration kResumeBackoff = absl::Milliseconds(100);

// The dispatcher hears of the first token and then of every so many.
constexpr int kTokensPerReport = 32;

// A plain call may outlast its deadline by this much: its answer, late, is
// worth more than the doubt whether it ran.
constexpr absl::Duration kPlainGrace = absl::Seconds(10);

}  // namespace

void Calls::Dispatch(const CallPtr& call) {
  if (call->claim == 0) {
    Send(call);
    return;
  }
  call->phase = Call::Phase::kSending;
  claims_->RequestDispatch(
      call->claim, call->server,
      [this, id = call->id](const std::optional<claim::Refuse>& refusal) {
        CallPtr found = Find(id);
        if (found == nullptr) return;
        if (!refusal.has_value() && !found->stop.has_value()) {
          Send(found);
          return;
        }
        // It was not sent, and under this claim it won't be.
        claims_->FinishDispatch(found->claim, /*sent=*/false);
        Tell(*found, schedule::RequestFinished{
                         found->id, schedule::RequestOutcome::kCancelled});
        GivenUp why = found->stop.has_value()
                          ? *found->stop
                          : GivenUp{refusal->error, refusal->retry_after};
        GiveUp(found, std::move(why));
      });
}

void Calls::Send(const CallPtr& call) {
  call->phase = Call::Phase::kRunning;
  call->origin->server = call->server;
  recorder_->Record(EventKind::kRequestDispatched, call->id.str(),
                    "server=" + call->server.str() +
                        " engine_request=" + call->engine_request);
  absl::Duration limit =
      std::max(call->deadline - loop_->now(), absl::ZeroDuration()) +
      kPlainGrace;
  StartTransfer(call, MakeCall(call->request, UrlOf(call->server),
                               call->engine_request, limit));
}

void Calls::StartTransfer(const CallPtr& call, http::ClientRequest request) {
  if (call->relay == nullptr) {
    bool model = call->request.kind == config::ServiceKind::kModel;
    call->relay = std::make_shared<AnswerRelay>(
        model ? call->engine_request : "", call->log, MakeEvents(call));
  }
  http::TransferSink sink = call->relay->MakeSink(request.method);
  call->transfer = client_->Start(std::move(request), std::move(sink));
}

RelayEvents Calls::MakeEvents(const CallPtr& call) {
  RelayEvents events;
  RequestId id = call->id;
  events.on_stream = [this, id](const std::string& stream) {
    loop_->Post([this, id, stream] {
      CallPtr found = Find(id);
      if (found != nullptr) found->stream = stream;
    });
  };
  events.on_progress = [this, id, reported = 0](int tokens) mutable {
    if (reported != 0 && tokens - reported < kTokensPerReport) return;
    reported = tokens;
    loop_->Post([this, id, tokens] {
      CallPtr found = Find(id);
      if (found != nullptr) OnProgress(found, tokens);
    });
  };
  events.on_end = [this, id](const RelayEnd& end) {
    loop_->Post([this, id, end] {
      CallPtr found = Find(id);
      if (found != nullptr) OnTransferEnd(found, end);
    });
  };
  return events;
}

void Calls::OnProgress(const CallPtr& call, int tokens) {
  if (call->tokens == 0) {
    metrics_->ObserveFirstToken(call->request.tier,
                                loop_->now() - call->arrival);
  }
  call->tokens = tokens;
  if (call->phase == Call::Phase::kRunning) {
    Tell(*call, schedule::TokensStreamed{call->id, tokens});
  }
}

void Calls::OnTransferEnd(const CallPtr& call, const RelayEnd& end) {
  call->transfer = 0;
  if (end.complete) {
    OnComplete(call, end);
    return;
  }
  if (call->stop.has_value()) {
    Tell(*call, schedule::RequestFinished{call->id,
                                          schedule::RequestOutcome::kCancelled,
                                          end.next_offset, 0});
    if (call->claim != 0) claims_->FinishDispatch(call->claim, /*sent=*/true);
    GiveUp(call, *call->stop);
    return;
  }
  bool reading = call->phase == Call::Phase::kReading;
  if (reading && call->stream.empty() && end.next_offset == 0) {
    // The owner could not be reached, or no longer has the answer.
    call->relay.reset();
    AttachFailed(call);
    return;
  }
  if (end.not_sent && !reading && call->resumes == 0) {
    OnNotSent(call);
    return;
  }
  bool model = call->request.kind == config::ServiceKind::kModel;
  if (model && !end.refused) {
    Resume(call, end.error);
    return;
  }
  if (!reading) {
    Tell(*call,
         schedule::RequestFinished{call->id, schedule::RequestOutcome::kFailed,
                                   end.next_offset, 0});
    if (call->claim != 0) claims_->FinishDispatch(call->claim, /*sent=*/true);
  }
  GiveUp(call, {end.error, absl::ZeroDuration()});
}

// Certain that no byte left: the dispatcher may choose another server.
void Calls::OnNotSent(const CallPtr& call) {
  call->phase = Call::Phase::kWaiting;
  call->relay.reset();
  call->server = ServerId();
  if (call->claim != 0) claims_->FinishDispatch(call->claim, /*sent=*/false);
  Tell(*call, schedule::RequestFinished{
                  call->id, schedule::RequestOutcome::kNotSent, 0, 0});
}

void Calls::OnComplete(const CallPtr& call, const RelayEnd& end) {
  bool in_time = loop_->now() <= call->deadline;
  if (call->tokens == 0) {
    metrics_->ObserveFirstToken(call->request.tier,
                                loop_->now() - call->arrival);
  }
  metrics_->CountAnswered(call->request.tier, in_time);
  recorder_->Record(EventKind::kRequestAnswered, call->id.str(),
                    "server=" + call->server.str() +
                        " tokens=" + std::to_string(end.next_offset));
  if (call->phase == Call::Phase::kRunning) {
    Tell(*call, schedule::RequestFinished{
                    call->id, schedule::RequestOutcome::kComplete,
                    end.next_offset, end.usage.cached_tokens});
    if (call->claim != 0) claims_->FinishDispatch(call->claim, /*sent=*/true);
  } else if (call->claim != 0) {
    claims_->Abandon(call->claim);
  }
  Remove(call);
}

// The connection broke, or a foreign chunk was on it, but the engine goes on
// computing the stream. Nothing is sent a second time; only its output is read.
void Calls::Resume(const CallPtr& call, const Error& error) {
  if (call->resumes >= kMaxResumes) {
    if (call->phase == Call::Phase::kRunning) {
      Tell(*call,
           schedule::RequestFinished{
               call->id, schedule::RequestOutcome::kFailed, call->tokens, 0});
      if (call->claim != 0) claims_->FinishDispatch(call->claim, /*sent=*/true);
    }
    GiveUp(call, {error, absl::ZeroDuration()});
    return;
  }
  absl::Duration wait = kResumeBackoff * (1 << call->resumes);
  ++call->resumes;
  metrics_->CountResumed();
  loop_->timers().At(loop_->now() + wait,
                     [this, id = call->id, error](absl::Time) {
                       CallPtr found = Find(id);
                       if (found != nullptr) FindStream(found, error);
                     });
}

void Calls::FindStream(const CallPtr& call, const Error& error) {
  if (call->stop.has_value()) {
    OnTransferEnd(call, RelayEnd{});
    return;
  }
  client_->Fetch(
      MakeStreamSearch(UrlOf(call->server), call->engine_request),
      [this, id = call->id, error](const http::Reply& reply) {
        Outcome<std::optional<EngineStream>> stream = ReadStreamSearch(reply);
        loop_->Post([this, id, error, stream = std::move(stream)] {
          CallPtr found = Find(id);
          if (found == nullptr) return;
          if (!stream.ok()) {
            Resume(found, error);
            return;
          }
          if (!stream.value().has_value()) {
            // The engine was restarted, or never began: nothing to be read.
            found->resumes = kMaxResumes;
            Resume(found, error);
            return;
          }
          found->stream = stream.value()->id;
          recorder_->Record(EventKind::kRequestResumed, id.str(),
                            "server=" + found->server.str());
          StartTransfer(found, MakeResume(UrlOf(found->server), found->stream,
                                          found->relay->next_offset()));
        });
      });
}

void Calls::OnServerHealth(const ServerId& server,
                           schedule::ServerHealth health) {
  if (health != schedule::ServerHealth::kDead) return;
  std::vector<CallPtr> affected;
  for (const auto& [id, call] : calls_) {
    bool there =
        call->server == server && (call->phase == Call::Phase::kRunning ||
                                   call->phase == Call::Phase::kReading);
    if (there) affected.push_back(call);
  }
  for (const CallPtr& call : affected) {
    Stop(call, {{Code::kServerBroke, "server " + server.str() + " is dead"},
                absl::ZeroDuration()});
  }
}

void Calls::Stop(const CallPtr& call, GivenUp why) {
  if (call->stop.has_value()) return;
  switch (call->phase) {
    case Call::Phase::kWaiting:
      GiveUp(call, std::move(why));
      return;
    case Call::Phase::kGranted:
      Tell(*call, schedule::RequestFinished{
                      call->id, schedule::RequestOutcome::kCancelled});
      GiveUp(call, std::move(why));
      return;
    case Call::Phase::kSending:
      // Ends when the claim has answered.
      call->stop = std::move(why);
      return;
    case Call::Phase::kRunning:
    case Call::Phase::kReading:
      break;
  }
  call->stop = std::move(why);
  metrics_->CountCancelled(call->stop->error.code);
  recorder_->Record(
      EventKind::kRequestCancelled, call->id.str(),
      "code=" + std::to_string(static_cast<int>(call->stop->error.code)));
  if (call->phase == Call::Phase::kRunning) CancelAtServer(*call);
  // Without a transfer, a resume is about to begin and sees `stop`.
  if (call->transfer != 0) client_->Cancel(call->transfer);
}

// Closing the connection does not stop an engine's stream.
void Calls::CancelAtServer(const Call& call) {
  if (call.request.kind != config::ServiceKind::kModel) return;
  std::string base = UrlOf(call.server);
  if (!call.stream.empty()) {
    client_->Fetch(MakeCancel(base, call.stream), [](const http::Reply&) {});
    return;
  }
  client_->Fetch(MakeStreamSearch(base, call.engine_request),
                 [this, base](const http::Reply& reply) {
                   auto stream = ReadStreamSearch(reply);
                   if (!stream.ok() || !stream.value().has_value()) return;
                   client_->Fetch(MakeCancel(base, stream.value()->id),
                                  [](const http::Reply&) {});
                 });
}

std::string Calls::UrlOf(const ServerId& server) const {
  const config::ServerConfig* found = config_->Server(server);
  return "http://" + (found == nullptr ? "" : found->address);
}

}  // namespace gentianlb::entry
