#include "replay/baseline.h"

#include <algorithm>
#include <utility>

namespace gentianlb::replay {
namespace {

using schedule::Decision;
using schedule::ServerHealth;
using schedule::ServerSpec;

// Ordinary balancers answer 503 with a fixed time.
constexpr absl::Duration kRetryAfter = absl::Seconds(5);

bool Serves(const ServerSpec& spec, const ModelId& model) {
  return model.empty() || std::find(spec.models.begin(), spec.models.end(),
                                    model) != spec.models.end();
}

double PrefillWatts(const ServerSpec& spec) {
  return spec.power.joules_per_prefill_token * spec.prefill_tokens_per_second;
}

}  // namespace

int RoundRobin::Pick(const schedule::Request&,
                     const std::vector<BaselineServer>& servers,
                     const std::vector<int>& usable) {
  // The next in order that may be used.
  for (std::size_t i = 0; i < servers.size(); ++i) {
    int candidate = static_cast<int>((next_ + i) % servers.size());
    if (!std::binary_search(usable.begin(), usable.end(), candidate)) continue;
    next_ = static_cast<std::size_t>(candidate) + 1;
    return candidate;
  }
  return usable.front();
}

int LeastOutstanding::Pick(const schedule::Request&,
                           const std::vector<BaselineServer>& servers,
                           const std::vector<int>& usable) {
  return *std::min_element(usable.begin(), usable.end(), [&](int a, int b) {
    return servers[a].outstanding < servers[b].outstanding;
  });
}

int TwoChoices::Pick(const schedule::Request&,
                     const std::vector<BaselineServer>& servers,
                     const std::vector<int>& usable) {
  int a = usable[random_() % usable.size()];
  int b = usable[random_() % usable.size()];
  return servers[b].reported < servers[a].reported ? b : a;
}

int PrefixAffinity::Pick(const schedule::Request& request,
                         const std::vector<BaselineServer>& servers,
                         const std::vector<int>& usable) {
  int picked = LeastOutstanding().Pick(request, servers, usable);
  // The longest part that somebody has got counts. A short one, such as the
  // instructions that all prompts share, would bring all to one server.
  const std::size_t least = request.prefix.size() / 2;
  for (std::size_t i = request.prefix.size(); i-- > least;) {
    auto found = last_server_.find(request.prefix[i]);
    if (found == last_server_.end()) continue;
    const int holder = found->second;
    bool free = servers[holder].outstanding < servers[holder].spec.max_streams;
    bool may = std::binary_search(usable.begin(), usable.end(), holder);
    if (free && may) picked = holder;
    break;
  }
  for (schedule::PrefixHash block : request.prefix) {
    last_server_[block] = picked;
  }
  return picked;
}

void BaselineState::Take(const schedule::Event& event, absl::Time now,
                         std::vector<Decision>* decisions) {
  std::visit([this](const auto& it) { On(it); }, event);
  RefuseOutOfTime(now, decisions);
  if (std::holds_alternative<schedule::PowerShareChanged>(event)) {
    CancelDownToCap(decisions);
  }
}

std::vector<int> BaselineState::UsableForHead() const {
  std::vector<int> usable;
  if (queue_.empty()) return usable;
  const double watts = Watts();
  for (int i = 0; i < static_cast<int>(servers_.size()); ++i) {
    const BaselineServer& server = servers_[i];
    if (server.health != ServerHealth::kAlive) continue;
    if (!Serves(server.spec, queue_.front().model)) continue;
    if (watts + WattsOfNext(server) > cap_watts_) continue;
    usable.push_back(i);
  }
  return usable;
}

void BaselineState::GrantHead(int server, std::vector<Decision>* decisions) {
  schedule::Request request = std::move(queue_.front());
  queue_.pop_front();
  ++servers_[server].outstanding;
  ++servers_[server].prefilling;
  decisions->push_back(
      schedule::Grant{request.id, request.host, servers_[server].spec.id});
  RequestId id = request.id;
  running_[id] = {std::move(request), server, true, next_order_++};
}

absl::Time BaselineState::NextWakeup() const {
  absl::Time next = absl::InfiniteFuture();
  for (const auto& request : queue_) next = std::min(next, request.deadline);
  return next;
}

void BaselineState::On(const schedule::RequestArrived& event) {
  queue_.push_back(event.request);
}

void BaselineState::On(const schedule::CallerDisconnected& event) {
  std::erase_if(queue_, [&](const auto& it) { return it.id == event.id; });
}

void BaselineState::On(const schedule::RequestRunning&) {}

void BaselineState::On(const schedule::TokensStreamed& event) {
  auto found = running_.find(event.id);
  if (found != running_.end()) FirstTokenSeen(&found->second);
}

void BaselineState::On(const schedule::RequestFinished& event) {
  auto found = running_.find(event.id);
  if (found == running_.end()) return;
  FirstTokenSeen(&found->second);
  --servers_[found->second.server].outstanding;
  if (event.kind == schedule::RequestOutcome::kNotSent) {
    queue_.push_front(found->second.request);
  }
  running_.erase(found);
}

void BaselineState::On(const schedule::LoadReported& event) {
  BaselineServer* server = Find(event.server);
  if (server != nullptr) server->reported = event.running + event.queued;
}

void BaselineState::On(const schedule::ResponseLoadReported& event) {
  BaselineServer* server = Find(event.server);
  if (server != nullptr) server->reported = event.running + event.queued;
}

void BaselineState::On(const schedule::PeerLoadReported&) {}

void BaselineState::On(const schedule::PeerSlowdownReported&) {}

void BaselineState::On(const schedule::CacheChanged&) {}

void BaselineState::On(const schedule::ServerHealthChanged& event) {
  BaselineServer* server = Find(event.server);
  if (server != nullptr) server->health = event.health;
}

void BaselineState::On(const schedule::ServersConfigured& event) {
  servers_.clear();
  for (const ServerSpec& spec : event.servers) servers_.push_back({spec});
}

void BaselineState::On(const schedule::WorkspacesConfigured&) {}

void BaselineState::On(const schedule::PowerShareChanged& event) {
  cap_watts_ = event.watts;
}

void BaselineState::On(const schedule::TimePassed&) {}

void BaselineState::On(const schedule::RequestDelayed&) {}
void BaselineState::On(const schedule::PeerLimitReported&) {}

BaselineServer* BaselineState::Find(const ServerId& id) {
  auto found =
      std::find_if(servers_.begin(), servers_.end(),
                   [&](const auto& server) { return server.spec.id == id; });
  return found == servers_.end() ? nullptr : &*found;
}

double BaselineState::Watts() const {
  double watts = 0;
  for (const BaselineServer& server : servers_) {
    watts += server.spec.power.idle_watts;
    watts += server.spec.power.watts_per_stream * server.outstanding;
    if (server.prefilling > 0) watts += PrefillWatts(server.spec);
  }
  return watts;
}

double BaselineState::WattsOfNext(const BaselineServer& server) const {
  double watts = server.spec.power.watts_per_stream;
  // A server computes one prompt at a time.
  if (server.prefilling == 0) watts += PrefillWatts(server.spec);
  return watts;
}

void BaselineState::FirstTokenSeen(Running* running) {
  if (!running->prefilling) return;
  running->prefilling = false;
  --servers_[running->server].prefilling;
}

void BaselineState::RefuseOutOfTime(absl::Time now,
                                    std::vector<Decision>* decisions) {
  std::erase_if(queue_, [&](const schedule::Request& request) {
    if (request.deadline > now) return false;
    decisions->push_back(schedule::Refuse{request.id, request.host,
                                          Code::kDeadlinePassed, kRetryAfter});
    return true;
  });
}

// The newest go first: they have the least to lose.
void BaselineState::CancelDownToCap(std::vector<Decision>* decisions) {
  std::vector<const Running*> newest;
  for (const auto& [id, running] : running_) newest.push_back(&running);
  std::sort(newest.begin(), newest.end(),
            [](const auto* a, const auto* b) { return a->order > b->order; });
  double watts = Watts();
  for (const Running* running : newest) {
    if (watts <= cap_watts_) return;
    // Prefill is charged by server; a stream gives back its own draw only.
    watts -= servers_[running->server].spec.power.watts_per_stream;
    decisions->push_back(schedule::Cancel{running->request.id,
                                          running->request.host,
                                          Code::kPowerShort, kRetryAfter});
  }
}

}  // namespace gentianlb::replay
