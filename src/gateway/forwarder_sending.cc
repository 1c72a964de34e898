// The forwarder's part about one sending of a request to a server: what comes
// back, and whether another server is tried.

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "gateway/forwarder.h"
#include "gateway/forwarding.h"

namespace gentianlb::gateway {
namespace {

using schedule::EndKind;

// A server that had no room is one of many; a third that has none either says
// that they are all full, and each try costs the servers something.
constexpr int kMostSheds = 2;

// With less time left no other server can answer, as a round trip and its queue
// take about that.
constexpr absl::Duration kLeastTimeToResend = absl::Milliseconds(20);

// Progress is told to the dispatcher once in so many events: it learns the pace
// of a server as well from a few samples, and each costs some microseconds.
constexpr int kEventsPerProgress = 16;

}  // namespace

void Forwarder::Send(Exchange& exchange, const ServerEntry& server) {
  const absl::Time now = clock_();
  ++exchange.sendings;
  exchange.tokens_taken = 0;  // From now on they are used.
  exchange.attempt.server = server;
  LOG(INFO) << "event=sent request=" << exchange.request->id
            << " server=" << server.id
            << " address=" << settings::Format(server.address)
            << " zone=" << server.zone << " sending=" << exchange.sendings
            << " waited_ms=" << Milliseconds(now - exchange.arrival)
            << " left_ms=" << Milliseconds(exchange.deadline - now)
            << " version=" << exchange.index->configuration().version;
  ServerCall call;
  call.request = exchange.request;
  call.server = server;
  if (exchange.workspace != nullptr) call.workspace = exchange.workspace->id;
  call.time_left = exchange.deadline - now;
  call.last_event = exchange.events.last_event();
  const ExchangeId id = exchange.id;
  const int sending = exchange.sendings;
  // What comes of a sending that was given up is of no use to the next one.
  auto current = [this, id, sending]() -> Exchange* {
    Exchange* found = Find(id);
    return found != nullptr && found->sendings == sending ? found : nullptr;
  };
  CallSink sink;
  sink.on_head = [this, current](AnswerHead head) {
    Exchange* found = current();
    return found == nullptr ? http::ReadAction::kStop
                            : TakeHead(*found, std::move(head));
  };
  sink.on_data = [this, current](std::string_view bytes) {
    if (Exchange* found = current()) TakeBytes(*found, bytes);
  };
  sink.on_end = [this, current](http::TransferEnd end, std::string detail) {
    if (Exchange* found = current()) TakeEnd(*found, end, detail);
  };
  exchange.attempt.transfer = servers_.send(std::move(call), std::move(sink));
  ++running_[server.id];
}

void Forwarder::EndTransfer(Exchange& exchange) {
  if (exchange.attempt.transfer == 0) return;
  exchange.attempt.transfer = 0;
  const auto found = running_.find(exchange.attempt.server->id);
  if (found == running_.end()) return;
  if (--found->second <= 0) running_.erase(found);
}

std::vector<ServerUse> Forwarder::Uses() const {
  std::vector<ServerUse> uses;
  if (index_ == nullptr) return uses;
  for (const auto& [service, queue] : queues_) {
    for (const ServerEntry& server : directory_->ServersOf(service)) {
      ServerUse use;
      use.server = HashName(server.id.str());
      const auto running = running_.find(server.id);
      if (running != running_.end()) {
        use.running = static_cast<std::uint16_t>(running->second);
      }
      if (groups_ != nullptr) {
        use.alone = static_cast<std::uint16_t>(
            std::max(0, use.running - groups_->GrantedOn(server.id)));
      }
      if (const auto pace = queue.dispatcher().PaceOf(server.id)) {
        use.prefill = static_cast<float>(pace->prefill);
        use.decode = static_cast<float>(pace->decode);
      }
      if (use.running > 0 || use.decode > 0) uses.push_back(use);
    }
  }
  return uses;
}

void Forwarder::UsedElsewhere(
    const absl::flat_hash_map<NameHash, ServerUse>& uses) {
  if (index_ == nullptr) return;
  for (const Service& service : index_->configuration().services) {
    for (const ServerEntry& server : directory_->ServersOf(service.id)) {
      const auto found = uses.find(HashName(server.id.str()));
      const ServerUse use = found == uses.end() ? ServerUse{} : found->second;
      ServerUse& told = told_elsewhere_[server.id];
      if (told.running != use.running) {
        Tell(service.id, schedule::LoadElsewhere{server.id, use.running});
      }
      const bool paced = use.decode > 0 && service.engine;
      if (paced && (told.decode != use.decode || told.prefill != use.prefill)) {
        Tell(service.id,
             schedule::PaceElsewhere{server.id, use.prefill, use.decode});
      }
      told = use;
    }
  }
}

http::ReadAction Forwarder::TakeHead(Exchange& exchange, AnswerHead head) {
  if (!head.is_own) {
    LOG(WARNING) << "event=foreign-answer request=" << exchange.request->id
                 << " server=" << exchange.attempt.server->id;
    return http::ReadAction::kStop;
  }
  const std::optional<ServerLoad> load = head.load;
  exchange.attempt.head_seen = true;
  exchange.attempt.head = std::move(head);
  if (!load) return http::ReadAction::kContinue;
  // Carrying out what follows from it may end this request too.
  const ExchangeId id = exchange.id;
  Tell(exchange.service->id,
       schedule::LoadAnswered{exchange.attempt.server->id, load->running,
                              load->waiting});
  return Find(id) == nullptr ? http::ReadAction::kStop
                             : http::ReadAction::kContinue;
}

void Forwarder::TakeBytes(Exchange& exchange, std::string_view bytes) {
  const AnswerHead& head = exchange.attempt.head;
  const bool relayed = exchange.is_stream() && IsSuccess(head.status);
  if (!relayed) {
    exchange.body.append(bytes);
    return;
  }
  const std::string events = exchange.events.Feed(bytes);
  if (events.empty()) return;
  BeginStream(exchange);
  exchange.responder->Write(events);
  TellProgress(exchange);
}

void Forwarder::BeginStream(Exchange& exchange) {
  if (exchange.answering) return;
  exchange.answering = true;
  exchange.first_event = clock_();
  metrics_->ObserveFirstToken(exchange.tier,
                              exchange.first_event - exchange.arrival);
  exchange.responder->Begin(exchange.attempt.head.status,
                            AnswerHeaders(exchange.attempt.head));
}

void Forwarder::TellProgress(Exchange& exchange) {
  if (!exchange.service->engine) return;
  const int events = exchange.events.events();
  const bool first = !exchange.attempt.first_event_told;
  if (!first && events % kEventsPerProgress != 0) return;
  exchange.attempt.first_event_told = true;
  const int tokens = events * exchange.service->engine->tokens_per_event;
  Tell(exchange.service->id,
       schedule::TokensStreamed{exchange.attempt.dispatch_id, tokens});
}

void Forwarder::TakeEnd(Exchange& exchange, http::TransferEnd end,
                        const std::string& detail) {
  Attempt& attempt = exchange.attempt;
  EndTransfer(exchange);
  if (end == http::TransferEnd::kNotSent) {
    LOG(WARNING) << "event=not-sent request=" << exchange.request->id
                 << " server=" << attempt.server->id << " cause=\"" << detail
                 << "\"";
    --exchange.sendings;
    return Tell(
        exchange.service->id,
        schedule::RequestEnded{attempt.dispatch_id, EndKind::kNotSent, 0, 0});
  }
  if (attempt.head_seen && attempt.head.not_run) return Shed(exchange);
  if (end != http::TransferEnd::kComplete) return Failed(exchange, detail);
  const bool failed = IsServerFailure(attempt.head.status);
  if (failed && exchange.repeatable()) {
    return Failed(exchange, absl::StrCat("status ", attempt.head.status));
  }
  Complete(exchange);
}

void Forwarder::EndAttempt(Exchange& exchange, EndKind kind) {
  const RequestId dispatch_id = exchange.attempt.dispatch_id;
  if (dispatch_id.empty()) return;
  exchange.attempt.dispatch_id = RequestId();
  by_dispatch_.erase(dispatch_id);
  int tokens = 0;
  if (exchange.service->engine) {
    tokens =
        exchange.events.events() * exchange.service->engine->tokens_per_event;
  }
  Tell(exchange.service->id,
       schedule::RequestEnded{dispatch_id, kind, tokens, 0});
}

void Forwarder::Complete(Exchange& exchange) {
  // A server that fails quickly must not pass for a quick one.
  const bool failed = IsServerFailure(exchange.attempt.head.status);
  EndAttempt(exchange, failed ? EndKind::kBroken : EndKind::kComplete);
  Answer(exchange);
}

// Certain: it was not run there.
void Forwarder::Shed(Exchange& exchange) {
  const ServerId server = exchange.attempt.server->id;
  const bool wrong = exchange.attempt.head.wrong_server;
  LOG(INFO) << "event=shed request=" << exchange.request->id
            << " server=" << server
            << " status=" << exchange.attempt.head.status
            << " wrong_server=" << wrong;
  ++exchange.sheds;
  const ExchangeId id = exchange.id;
  EndAttempt(exchange, EndKind::kShed);
  if (wrong && on_wrong_server_) on_wrong_server_(server);
  if (Find(id) == nullptr) return;
  if (exchange.sheds <= kMostSheds && Resend(exchange, "not run")) return;
  Refuse(exchange, {Code::kQueueFull, "the servers have no room"},
         kComeBackSoon);
}

// It may have run there.
void Forwarder::Failed(Exchange& exchange, const std::string& detail) {
  LOG(WARNING) << "event=sending-failed request=" << exchange.request->id
               << " server=" << exchange.attempt.server->id << " cause=\""
               << detail << "\" events=" << exchange.events.events()
               << " head=" << exchange.attempt.head_seen;
  exchange.may_have_run = true;
  const AnswerHead head = exchange.attempt.head;
  const bool whole_failure =
      exchange.attempt.head_seen && IsServerFailure(head.status);
  std::string body = std::move(exchange.body);
  EndAttempt(exchange, EndKind::kBroken);
  const int runs = exchange.sendings - exchange.sheds;
  if (exchange.repeatable() && runs < exchange.route->max_attempts &&
      Resend(exchange, "may have run")) {
    return;
  }
  if (whole_failure && !exchange.answering) {
    exchange.attempt.head = head;
    exchange.body = std::move(body);
    return Answer(exchange);
  }
  GiveUp(exchange, {Code::kServerBroke, detail});
}

bool Forwarder::Resend(Exchange& exchange, std::string_view why) {
  if (exchange.deadline - clock_() < kLeastTimeToResend) return false;
  if (!QueueOf(exchange.service->id).retries().Take()) {
    LOG(INFO) << "event=no-retry-budget request=" << exchange.request->id;
    return false;
  }
  const ServerId avoid = exchange.attempt.server->id;
  LOG(INFO) << "event=resend request=" << exchange.request->id
            << " after=" << avoid << " why=\"" << why
            << "\" last_event=" << exchange.events.last_event();
  if (exchange.answering) metrics_->CountResumed();
  Enqueue(exchange, avoid);
  return true;
}

}  // namespace gentianlb::gateway
