// Claims of keyed requests, and answers that another sending of the key made.

#include <algorithm>
#include <utility>

#include "entry/calls.h"

namespace gentianlb::entry {
namespace {

using timeline::EventKind;

// How long a key's answer can be had again after its end, and how much memory
// all of them may take. As long as the engines keep theirs; 32 MiB leaves room
// in the 128 MiB that control may use.
constexpr absl::Duration kKeepAnswers = absl::Seconds(60);
constexpr std::size_t kKeepBytes = 32 << 20;

// When a caller should ask again for an answer that is in doubt now.
constexpr absl::Duration kAskAgain = absl::Seconds(5);

}  // namespace

// A re-send that reaches the host which holds the key, or has just run it:
// nobody else needs to be asked.
bool Calls::AnswerFromKept(const CallPtr& call) {
  auto found = answers_.find(call->engine_request);
  if (found == answers_.end()) return false;
  if (found->second.body_digest != call->body_digest) {
    call->judged = true;
    GiveUp(call, {{Code::kKeyReused, "another body"}, absl::ZeroDuration()});
    return true;
  }
  ReadKept(call, found->second);
  return true;
}

void Calls::ReadKept(const CallPtr& call, const Kept& kept) {
  recorder_->Record(
      EventKind::kRequestResumed, call->id.str(),
      "key=" + call->engine_request + " owner=" + options_.host.str());
  call->phase = Call::Phase::kReading;
  kept.log->Attach(
      std::make_shared<LogReader>(call->log, kept.origin, call->origin));
  if (call->claim != 0) claims_->Abandon(call->claim);
  Remove(call);
}

void Calls::OpenClaim(const CallPtr& call) {
  // Known from here on: of two sendings that reach this host together only one
  // asks for the claim, and the other one reads its answer.
  answers_[call->engine_request] = {call->log, call->origin, call->body_digest,
                                    /*claimed=*/false, /*readers=*/{}};
  claim::ClaimRequest request;
  request.key = claim::ClaimKey(call->engine_request);
  request.body_digest = call->body_digest;
  request.idempotent = call->request.idempotent;
  request.attempt = call->request.attempt;
  if (call->request.keys_carry_time) {
    request.key_time = claim::TimeOfKey(call->request.key);
  }
  call->claim = claims_->Open(std::move(request), VerdictHandler(call->id));
}

void Calls::OnVerdict(const CallPtr& call, const claim::ClaimVerdict& verdict) {
  call->judged = true;
  if (std::holds_alternative<claim::Proceed>(verdict)) {
    call->claimed = true;
    OnClaimed(call->engine_request);
    recorder_->Record(EventKind::kRequestClaimed, call->id.str(),
                      "key=" + call->engine_request);
    if (call->refusal.has_value()) {
      OnRefuse(call, *call->refusal);
    } else if (call->phase == Call::Phase::kGranted) {
      Dispatch(call);
    }
    return;
  }
  LeaveQueue(call);
  if (const auto* attach = std::get_if<claim::Attach>(&verdict)) {
    Attach(call, attach->owner);
    return;
  }
  if (const auto* resume = std::get_if<claim::Resume>(&verdict)) {
    ReadElsewhere(call, *resume);
    return;
  }
  const auto& refuse = std::get<claim::Refuse>(verdict);
  call->phase = Call::Phase::kWaiting;
  GiveUp(call, {refuse.error, refuse.retry_after});
}

// Another sending of the key does the work; this one takes no room.
void Calls::LeaveQueue(const CallPtr& call) {
  // Peers that wait to read here are sent on to the one that has the claim.
  auto own = answers_.find(call->engine_request);
  if (own != answers_.end() && own->second.log == call->log) {
    DropAnswer(call->engine_request);
  }
  if (call->phase == Call::Phase::kReading) return;
  if (call->phase == Call::Phase::kWaiting) {
    Tell(*call, schedule::CallerDisconnected{call->id});
  } else {
    Tell(*call, schedule::RequestFinished{
                    call->id, schedule::RequestOutcome::kCancelled});
  }
  call->refusal.reset();
  call->phase = Call::Phase::kReading;
}

void Calls::Attach(const CallPtr& call, const EntryHostId& owner) {
  if (owner != options_.host) {
    recorder_->Record(EventKind::kRequestResumed, call->id.str(),
                      "key=" + call->engine_request + " owner=" + owner.str());
    // The owner serves its log in the engine's form, from its start.
    http::ClientRequest request;
    request.url = peers_->UrlOf(owner) + "/answers/" + call->engine_request;
    request.headers = {{"Authorization", "Bearer " + peers_->key()}};
    StartTransfer(call, std::move(request));
    return;
  }
  auto found = answers_.find(call->engine_request);
  // Reading its own log it would wait for itself.
  if (found == answers_.end() || found->second.log == call->log) {
    AttachFailed(call);
    return;
  }
  ReadKept(call, found->second);
}

void Calls::AttachFailed(const CallPtr& call) {
  claims_->OnAttachFailed(call->claim, VerdictHandler(call->id));
}

// A verdict may be given before the call that asks for it returns; posting it
// lets the caller of that finish first.
Claims::OnVerdict Calls::VerdictHandler(const RequestId& id) {
  return [this, id](claim::ClaimId, const claim::ClaimVerdict& verdict) {
    loop_->Post([this, id, verdict] {
      CallPtr found = Find(id);
      if (found != nullptr) OnVerdict(found, verdict);
    });
  };
}

void Calls::ReadElsewhere(const CallPtr& call, const claim::Resume& resume) {
  call->search_ended = resume.finished;
  call->search_again = resume.may_be_in_transit;
  if (call->request.kind == config::ServiceKind::kPlain) {
    // A plain service keeps no answers.
    Code code = resume.finished ? Code::kKeyAlreadyRun : Code::kClaimInDoubt;
    GiveUp(call, {{code, "its answer can't be read again"}, kAskAgain});
    return;
  }
  if (!resume.server.empty()) {
    call->search = {resume.server};
  } else {
    for (const auto& server : config_->configuration().servers) {
      if (server.service == call->request.service) {
        call->search.push_back(server.spec.id);
      }
    }
  }
  SearchNext(call);
}

void Calls::SearchNext(const CallPtr& call) {
  if (call->search.empty()) {
    Code code = call->search_ended ? Code::kAnswerGone : Code::kClaimInDoubt;
    GiveUp(call, {{code, "no server has its stream"},
                  call->search_again ? kAskAgain : absl::ZeroDuration()});
    return;
  }
  ServerId server = call->search.back();
  call->search.pop_back();
  client_->Fetch(
      MakeStreamSearch(UrlOf(server), call->engine_request),
      [this, id = call->id, server](const http::Reply& reply) {
        Outcome<std::optional<EngineStream>> stream = ReadStreamSearch(reply);
        loop_->Post([this, id, server, stream = std::move(stream)] {
          CallPtr found = Find(id);
          if (found == nullptr) return;
          found->search_again |= !stream.ok();
          if (!stream.ok() || !stream.value().has_value()) {
            SearchNext(found);
            return;
          }
          found->server = server;
          found->origin->server = server;
          found->stream = stream.value()->id;
          recorder_->Record(EventKind::kRequestResumed, id.str(),
                            "server=" + server.str());
          StartTransfer(found, MakeResume(UrlOf(server), found->stream, 0));
        });
      });
}

void Calls::ServeAnswer(const std::string& key,
                        std::shared_ptr<http::Responder> responder) {
  auto found = answers_.find(key);
  if (found == answers_.end()) {
    http::RespondProblem(*responder, {Code::kAnswerGone, key});
  } else if (found->second.claimed) {
    found->second.log->Attach(
        MakeStreamReader(std::move(responder), found->second.origin));
  } else {
    // Until the claim is judged, this host may come to read from the one that
    // asks, and both would wait for ever.
    found->second.readers.push_back(std::move(responder));
  }
}

void Calls::OnClaimed(const std::string& key) {
  Kept& kept = answers_[key];
  kept.claimed = true;
  for (auto& responder : kept.readers) {
    kept.log->Attach(MakeStreamReader(std::move(responder), kept.origin));
  }
  kept.readers.clear();
}

// The answer will not be made here, or is no longer had here.
void Calls::DropAnswer(const std::string& key) {
  auto node = answers_.extract(key);
  if (node.empty()) return;
  for (auto& responder : node.mapped().readers) {
    http::RespondProblem(*responder, {Code::kAnswerGone, key});
  }
}

void Calls::KeepAnswer(const Call& call) {
  auto found = answers_.find(call.engine_request);
  bool own = found != answers_.end() && found->second.log == call.log;
  if (!own) return;
  // What was given up before it was sent may be sent anew under this key; what
  // broke off may still be read at its server.
  if (call.phase != Call::Phase::kRunning || !call.log->whole()) {
    DropAnswer(call.engine_request);
    return;
  }
  std::size_t bytes = call.log->kept_bytes();
  ended_.push_back({call.engine_request, loop_->now(), bytes});
  kept_bytes_ += bytes;
  ForgetAnswers();
}

void Calls::ForgetAnswers() {
  while (!ended_.empty()) {
    const Ended& oldest = ended_.front();
    bool old = loop_->now() - oldest.when > kKeepAnswers;
    if (!old && kept_bytes_ <= kKeepBytes) return;
    auto found = answers_.find(oldest.key);
    if (found != answers_.end() && found->second.log->ended()) {
      DropAnswer(oldest.key);
    }
    kept_bytes_ -= oldest.bytes;
    ended_.pop_front();
  }
}

}  // namespace gentianlb::entry
