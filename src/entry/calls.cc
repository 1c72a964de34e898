#include "entry/calls.h"

#include <algorithm>
#include <utility>

namespace gentianlb::entry {
namespace {

using timeline::EventKind;

// When no dispatcher is known for this long, the zone has no living host that
// could be one; membership and the settling of roles take less.
constexpr absl::Duration kUnservedLimit = absl::Seconds(8);

// When a caller that was turned away by a drain or a missing dispatcher may
// come again: the balancer has taken this host out by then, or a role moved.
constexpr absl::Duration kComeBackSoon = absl::Seconds(2);

// The dispatcher refuses what can't meet its deadline; this is for what no
// dispatcher or claim has answered by then, because a message was lost with the
// host that had it. The caller would wait for an answer that never comes.
constexpr absl::Duration kOverdueGrace = absl::Seconds(1);

// Whether another zone may still be able to serve what one has refused.
bool MaySpill(Code code) {
  switch (code) {
    case Code::kDeadlineUnreachable:
    case Code::kQueueFull:
    case Code::kShedForHigherTier:
    case Code::kPowerShort:
    case Code::kNoServer:
    case Code::kServerUnreachable:
      return true;
    default:
      return false;
  }
}

}  // namespace

Calls::Calls(CallOptions options, ControlLoop* loop, http::Client* client,
             timeline::Recorder* recorder, DispatchBoard* board, Claims* claims,
             Peers* peers, metrics::Metrics* metrics)
    : options_(std::move(options)),
      loop_(loop),
      client_(client),
      recorder_(recorder),
      board_(board),
      claims_(claims),
      peers_(peers),
      metrics_(metrics) {}

void Calls::Configure(ConfigIndexPtr config) { config_ = std::move(config); }

void Calls::Accept(CallerRequest request,
                   std::shared_ptr<http::Responder> responder) {
  if (refusing_) {
    metrics_->CountRefused(request.tier, Code::kDraining);
    http::RespondProblem(*responder, {Code::kDraining, options_.host.str()},
                         kComeBackSoon);
    return;
  }
  auto call = std::make_shared<Call>();
  call->id = RequestId(options_.host.str() + "-" +
                       std::to_string(options_.incarnation) + "-" +
                       std::to_string(next_id_++));
  call->request = std::move(request);
  call->arrival = loop_->now();
  call->deadline = call->arrival + call->request.deadline;
  bool keyed = !call->request.key.empty();
  call->engine_request =
      keyed ? claim::DigestKey(call->request.workspace, call->request.key).str()
            : call->id.str();
  call->origin = std::make_shared<AnswerOrigin>(
      AnswerOrigin{call->id, ServerId(), call->request.model});
  call->log = std::make_shared<AnswerLog>(keyed);
  call->log->Attach(call->request.stream
                        ? MakeStreamReader(responder, call->origin)
                        : MakeWholeReader(responder, call->origin));
  calls_[call->id] = call;
  responder->OnDisconnect(
      [this, id = call->id] { loop_->Post([this, id] { OnCallerGone(id); }); });
  metrics_->CountAccepted(call->request.tier);
  recorder_->Record(EventKind::kRequestAccepted, call->id.str(),
                    "workspace=" + call->request.workspace.str() +
                        " service=" + call->request.service.str() +
                        " tier=" + std::to_string(call->request.tier.rank) +
                        (keyed ? " key=" + call->engine_request : ""));
  if (keyed) {
    call->body_digest = claim::DigestBody(
        call->request.method + " " + call->request.path, call->request.body);
    if (AnswerFromKept(call)) return;
  }
  call->domains = DomainsFor(call->request);
  if (call->domains.empty()) {
    GiveUp(call, {{Code::kNoServer, "no zone has one"}, kComeBackSoon});
    return;
  }
  ChooseDomain(*call);
  call->unserved_timer =
      loop_->timers().At(loop_->now() + kUnservedLimit,
                         [this, id = call->id](absl::Time) { OnUnserved(id); });
  call->deadline_timer =
      loop_->timers().At(call->deadline + kOverdueGrace,
                         [this, id = call->id](absl::Time) { OnOverdue(id); });
  if (keyed) OpenClaim(call);
  Announce(call);
}

// The own zone first; the others in an order that differs from request to
// request, so that what spills over spreads.
std::vector<Domain> Calls::DomainsFor(const CallerRequest& request) const {
  std::vector<Domain> domains;
  for (Domain& domain : board_->Domains()) {
    if (domain.service == request.service) domains.push_back(std::move(domain));
  }
  if (domains.empty()) return domains;
  auto turn = static_cast<std::ptrdiff_t>(next_id_ % domains.size());
  std::rotate(domains.begin(), domains.begin() + turn, domains.end());
  std::stable_partition(
      domains.begin(), domains.end(),
      [&](const Domain& domain) { return domain.zone == options_.zone; });
  return domains;
}

// The first that has a dispatcher; else the first of all, which may get one.
void Calls::ChooseDomain(Call& call) {
  auto found = std::find_if(
      call.domains.begin(), call.domains.end(),
      [&](const Domain& domain) { return !board_->HolderOf(domain).empty(); });
  if (found == call.domains.end()) found = call.domains.begin();
  call.domain = *found;
  call.domains.erase(found);
}

void Calls::Announce(const CallPtr& call) {
  call->dispatcher = board_->HolderOf(call->domain);
  if (call->dispatcher.empty()) return;
  switch (call->phase) {
    case Call::Phase::kWaiting:
      Tell(*call, schedule::RequestArrived{Describe(*call)});
      break;
    case Call::Phase::kGranted:
    case Call::Phase::kSending:
    case Call::Phase::kRunning:
      Tell(*call, schedule::RequestRunning{Describe(*call), call->server,
                                           call->tokens});
      break;
    case Call::Phase::kReading:
      break;
  }
}

void Calls::Tell(const Call& call, decltype(DispatchEvent::event) event) {
  board_->Tell(call.domain, {call.domain, std::move(event)}, loop_->now());
}

schedule::Request Calls::Describe(const Call& call) const {
  schedule::Request request;
  request.id = call.id;
  request.host = options_.host;
  request.workspace = call.request.workspace;
  request.model = call.request.model;
  request.tier = call.request.tier;
  request.arrival = call.arrival;
  request.deadline = call.deadline;
  request.prompt_tokens = call.request.prompt_tokens;
  request.max_output_tokens = call.request.max_output_tokens;
  request.body_bytes = static_cast<std::int64_t>(call.request.body.size());
  request.prefix = call.request.prefix;
  return request;
}

void Calls::OnDecision(const EntryHostId& from, const Domain& domain,
                       const schedule::Decision& decision) {
  if (const auto* grant = std::get_if<schedule::Grant>(&decision)) {
    OnGrant(from, domain, *grant);
    return;
  }
  if (const auto* refuse = std::get_if<schedule::Refuse>(&decision)) {
    CallPtr call = Find(refuse->id);
    if (call != nullptr && call->domain == domain) OnRefuse(call, *refuse);
    return;
  }
  const auto& cancel = std::get<schedule::Cancel>(decision);
  CallPtr call = Find(cancel.id);
  if (call != nullptr && call->domain == domain) OnCancel(call, cancel);
}

void Calls::OnGrant(const EntryHostId& from, const Domain& domain,
                    const schedule::Grant& grant) {
  CallPtr call = Find(grant.id);
  bool wanted = call != nullptr && call->phase == Call::Phase::kWaiting &&
                call->domain == domain && call->dispatcher == from;
  if (!wanted) {
    // The request has ended, or has another dispatcher by now. The one that
    // granted must not count a running request that nobody sends.
    board_->TellHost(from,
                     {domain,
                      schedule::RequestFinished{
                          grant.id, schedule::RequestOutcome::kCancelled}},
                     loop_->now());
    return;
  }
  call->phase = Call::Phase::kGranted;
  call->server = grant.server;
  recorder_->Record(EventKind::kRequestGranted, call->id.str(),
                    "server=" + grant.server.str() + " by=" + from.str());
  if (call->claim == 0 || call->claimed) Dispatch(call);
}

void Calls::OnRefuse(const CallPtr& call, const schedule::Refuse& refuse) {
  if (call->phase != Call::Phase::kWaiting) return;
  if (MaySpill(refuse.code) && !call->domains.empty()) {
    ChooseDomain(*call);
    Announce(call);
    return;
  }
  // Another sending of the key may be running; only the claim can tell whether
  // "not run" would be true.
  if (call->claim != 0 && !call->judged) {
    call->refusal = refuse;
    return;
  }
  GiveUp(call, {{refuse.code, "service " + call->request.service.str()},
                refuse.retry_after});
}

void Calls::OnCancel(const CallPtr& call, const schedule::Cancel& cancel) {
  Stop(call, {{cancel.code, "stopped by the dispatcher"}, cancel.retry_after});
}

void Calls::OnHolderChanged(const Domain& domain) {
  std::vector<CallPtr> affected;
  for (const auto& [id, call] : calls_) {
    if (call->domain == domain) affected.push_back(call);
  }
  for (const CallPtr& call : affected) Announce(call);
}

void Calls::OnUnserved(const RequestId& id) {
  CallPtr call = Find(id);
  if (call == nullptr) return;
  call->unserved_timer = 0;
  bool unserved =
      call->phase == Call::Phase::kWaiting && call->dispatcher.empty();
  if (!unserved) return;
  GiveUp(call, {{Code::kNoServer, "no dispatcher is known"}, kComeBackSoon});
}

void Calls::OnOverdue(const RequestId& id) {
  CallPtr call = Find(id);
  if (call == nullptr) return;
  call->deadline_timer = 0;
  bool stuck = call->phase != Call::Phase::kRunning && call->transfer == 0;
  if (!stuck) return;
  if (call->phase != Call::Phase::kReading) {
    Tell(*call, schedule::CallerDisconnected{id});
  }
  GiveUp(call, {{Code::kDeadlinePassed, "nobody has answered for it"},
                kComeBackSoon});
}

// Without a key nobody can ask for the answer again, so its work is stopped.
// With one the caller is likely to send it again; it keeps its place.
void Calls::OnCallerGone(const RequestId& id) {
  CallPtr call = Find(id);
  if (call == nullptr || !call->request.key.empty()) return;
  if (call->phase == Call::Phase::kWaiting) {
    Tell(*call, schedule::CallerDisconnected{id});
    GiveUp(call, {{Code::kCallerGone, ""}, absl::ZeroDuration()});
    return;
  }
  Stop(call, {{Code::kCallerGone, ""}, absl::ZeroDuration()});
}

void Calls::GiveUp(const CallPtr& call, GivenUp why) {
  // A call that was sent may have run, whatever the code's own row says.
  bool sent = call->phase == Call::Phase::kRunning ||
              call->phase == Call::Phase::kReading;
  bool claims_no_run = gentianlb::Describe(why.error.code).run == RunState::kNo;
  if (sent && claims_no_run && why.error.code != Code::kCallerGone) {
    why.error = {Code::kCancelledRunning, why.error.detail};
  }
  if (!sent && call->claim != 0 && !call->judged) {
    why.error = {Code::kClaimInDoubt, why.error.detail};
  }
  metrics_->CountRefused(call->request.tier, why.error.code);
  recorder_->Record(EventKind::kRequestRefused, call->id.str(),
                    "code=" + std::to_string(static_cast<int>(why.error.code)) +
                        " detail=" + why.error.detail);
  if (call->claim != 0 && !sent) claims_->Abandon(call->claim);
  call->log->GiveUp(std::move(why));
  Remove(call);
}

void Calls::Remove(const CallPtr& call) {
  loop_->timers().Cancel(call->unserved_timer);
  loop_->timers().Cancel(call->deadline_timer);
  calls_.erase(call->id);
  KeepAnswer(*call);
}

CallPtr Calls::Find(const RequestId& id) const {
  auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : found->second;
}

std::vector<RequestId> Calls::OpenIds() const {
  std::vector<RequestId> ids;
  for (const auto& [id, call] : calls_) ids.push_back(id);
  return ids;
}

}  // namespace gentianlb::entry
