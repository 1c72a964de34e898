#include "schedule/dispatcher.h"

#include <algorithm>
#include <variant>

namespace gentianlb::schedule {
namespace {

absl::Duration ServiceTime(const ServerSpec& spec, int running,
                           const Request& request) {
  const double prefill =
      request.prompt_tokens / std::max(1.0, spec.prefill_tokens_per_second);
  const double decode = request.max_output_tokens * (1.0 + 0.1 * running) /
                        std::max(1.0, spec.decode_tokens_per_second);
  return absl::Seconds(prefill + decode);
}

bool Serves(const ServerSpec& spec, const ModelId& model) {
  return model.empty() || std::find(spec.models.begin(), spec.models.end(),
                                    model) != spec.models.end();
}

template <typename... F>
struct Overloaded : F... {
  using F::operator()...;
};
template <typename... F>
Overloaded(F...) -> Overloaded<F...>;

}  // namespace

Dispatcher::Dispatcher(const DispatcherOptions& options) : options_(options) {}

void Dispatcher::Handle(const Event& event, absl::Time now,
                        std::vector<Decision>* decisions) {
  std::visit(
      Overloaded{
          [&](const RequestArrived& e) { Arrive(e.request, now, decisions); },
          [&](const CallerGone& e) { Gone(e.id, decisions); },
          [&](const RequestRunning& e) {
            running_[e.request.id] = {e.request, e.server};
            ++servers_[e.server].running;
          },
          [&](const RequestEnded& e) {
            const auto found = running_.find(e.id);
            if (found == running_.end()) return;
            --servers_[found->second.server].running;
            const Request request = found->second.request;
            running_.erase(found);
            if (e.kind == EndKind::kNotSent) Arrive(request, now, decisions);
          },
          [&](const ServerHealthChanged& e) {
            servers_[e.server].health = e.health;
          },
          [&](const ServersConfigured& e) { Configure(e.servers); },
          [](const auto&) {},
      },
      event);
  GrantWaiting(now, decisions);
}

void Dispatcher::Arrive(const Request& request, absl::Time now,
                        std::vector<Decision>* decisions) {
  if (waiting_by_id_.contains(request.id) || running_.contains(request.id)) {
    return;
  }
  bool reachable = false;
  bool served = false;
  for (const auto& [id, server] : servers_) {
    if (!server.configured || !Serves(server.spec, request.model)) continue;
    served = true;
    reachable |= now + ServiceTime(server.spec, 0, request) <= request.deadline;
  }
  if (!reachable) {
    decisions->push_back(
        Refuse{request.id, request.host,
               served ? Code::kDeadlineUnreachable : Code::kNoServer,
               absl::Seconds(1)});
    return;
  }
  const WaitKey key{{request.tier.rank, request.deadline}, next_sequence_++};
  waiting_.emplace(key, request);
  waiting_by_id_.emplace(request.id, key);
}

void Dispatcher::Gone(const RequestId& id, std::vector<Decision>* decisions) {
  if (const auto found = waiting_by_id_.find(id);
      found != waiting_by_id_.end()) {
    const Request& request = waiting_.at(found->second);
    decisions->push_back(Refuse{id, request.host, Code::kCallerGone, {}});
    waiting_.erase(found->second);
    waiting_by_id_.erase(found);
  } else if (const auto run = running_.find(id); run != running_.end()) {
    decisions->push_back(
        Cancel{id, run->second.request.host, Code::kCallerGone, {}});
  }
}

void Dispatcher::Configure(const std::vector<ServerSpec>& specs) {
  for (auto& [id, server] : servers_) server.configured = false;
  for (const ServerSpec& spec : specs) {
    Server& server = servers_[spec.id];
    server.spec = spec;
    server.configured = true;
  }
}

void Dispatcher::GrantWaiting(absl::Time now,
                              std::vector<Decision>* decisions) {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const Request& request = it->second;
    Server* server = Choose(request);
    if (request.deadline <= now) {
      decisions->push_back(Refuse{request.id, request.host,
                                  Code::kDeadlinePassed, absl::Seconds(1)});
    } else if (server != nullptr) {
      decisions->push_back(Grant{request.id, request.host, server->spec.id});
      ++server->running;
      running_[request.id] = {request, server->spec.id};
    } else {
      ++it;
      continue;
    }
    waiting_by_id_.erase(request.id);
    it = waiting_.erase(it);
  }
}

Dispatcher::Server* Dispatcher::Choose(const Request& request) {
  Server* best = nullptr;
  absl::Duration best_time = absl::InfiniteDuration();
  for (auto& [id, server] : servers_) {
    if (!server.configured || server.health != ServerHealth::kAlive) continue;
    if (server.running >= server.spec.max_streams) continue;
    if (!Serves(server.spec, request.model)) continue;
    const auto time = ServiceTime(server.spec, server.running, request);
    if (time < best_time) {
      best = &server;
      best_time = time;
    }
  }
  return best;
}

absl::Time Dispatcher::NextWakeup() const {
  absl::Time next = absl::InfiniteFuture();
  for (const auto& [key, request] : waiting_) {
    next = std::min(next, request.deadline);
  }
  return next;
}

}  // namespace gentianlb::schedule
