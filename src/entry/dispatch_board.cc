#include "entry/dispatch_board.h"

#include <xxhash.h>

#include <algorithm>

#include "power/shares.h"

namespace gentianlb::entry {
namespace {

// What an entry host left running ends by itself; when no report has shown the
// end by then, the server's reports are not to be relied on.
constexpr absl::Duration kOrphanLimit = absl::Minutes(5);

schedule::Event Widen(const DispatchEvent& event) {
  return std::visit([](const auto& one) { return schedule::Event(one); },
                    event.event);
}

const EntryHostId& HostOf(const schedule::Decision& decision) {
  return std::visit(
      [](const auto& one) -> const EntryHostId& { return one.host; }, decision);
}

std::uint64_t SeedOf(const Domain& domain) {
  std::string name = RoleName(domain);
  return XXH3_64bits(name.data(), name.size());
}

}  // namespace

DispatchBoard::DispatchBoard(EntryHostId self, BoardHooks hooks)
    : self_(std::move(self)), hooks_(std::move(hooks)) {}

void DispatchBoard::Configure(ConfigIndexPtr config, absl::Time now) {
  config_ = std::move(config);
  watts_.clear();
  for (const power::Share& share : power::DivideCap(config_->configuration())) {
    watts_[{share.service, share.zone}] = share.watts;
  }
  for (const auto& [domain, local] : locals_) ConfigureLocal(domain, now);
}

std::vector<Domain> DispatchBoard::Domains() const {
  std::vector<Domain> domains;
  if (config_ == nullptr) return domains;
  for (auto& [service, zone] : config_->Domains()) {
    domains.push_back({service, zone});
  }
  return domains;
}

void DispatchBoard::SetHolder(const Domain& domain, const EntryHostId& holder,
                              absl::Time now) {
  holders_[domain] = holder;
  if (holder != self_) {
    locals_.erase(domain);
  } else {
    schedule::DispatcherOptions options;
    options.weights = config_->configuration().weights;
    options.seed = SeedOf(domain);
    options.initial_share_watts = 0;  // The share follows at once.
    locals_[domain] = {std::make_unique<schedule::Dispatcher>(options), {}};
    ConfigureLocal(domain, now);
  }
  hooks_.holder_changed(domain);
}

EntryHostId DispatchBoard::HolderOf(const Domain& domain) const {
  auto found = holders_.find(domain);
  return found == holders_.end() ? EntryHostId() : found->second;
}

std::vector<Domain> DispatchBoard::Held() const {
  std::vector<Domain> held;
  for (const auto& [domain, local] : locals_) held.push_back(domain);
  return held;
}

void DispatchBoard::ConfigureLocal(const Domain& domain, absl::Time now) {
  std::vector<schedule::WorkspaceSpec> workspaces;
  for (const auto& workspace : config_->configuration().workspaces) {
    workspaces.push_back(workspace.limits);
  }
  Take(domain, schedule::WorkspacesConfigured{std::move(workspaces)}, now);
  Take(domain, schedule::PowerShareChanged{watts_[domain]}, now);
  Take(domain,
       schedule::ServersConfigured{
           config_->Servers(domain.service, domain.zone)},
       now);
}

void DispatchBoard::Tell(const Domain& domain, DispatchEvent event,
                         absl::Time now) {
  EntryHostId holder = HolderOf(domain);
  if (!holder.empty()) TellHost(holder, std::move(event), now);
}

void DispatchBoard::TellHost(const EntryHostId& host, DispatchEvent event,
                             absl::Time now) {
  if (host != self_) {
    hooks_.send(host, std::move(event));
  } else if (locals_.contains(event.domain)) {
    Take(event.domain, Widen(event), now);
  }
}

void DispatchBoard::OnEvent(const DispatchEvent& event, absl::Time now) {
  // A sender that still takes this host for the dispatcher learns better from
  // membership, and announces its requests again then.
  if (locals_.contains(event.domain)) Take(event.domain, Widen(event), now);
}

void DispatchBoard::OnServer(const Domain& domain, const schedule::Event& event,
                             absl::Time now) {
  if (!locals_.contains(domain)) return;
  Take(domain, event, now);
  if (const auto* report = std::get_if<schedule::LoadReported>(&event)) {
    EndOrphans(domain, *report, now);
  }
}

void DispatchBoard::Take(const Domain& domain, const schedule::Event& event,
                         absl::Time now) {
  Local& local = locals_.at(domain);
  Track(local, event);
  std::vector<schedule::Decision> decisions;
  local.dispatcher->Handle(event, now, &decisions);
  for (const schedule::Decision& decision : decisions) {
    Deliver(domain, local, decision);
  }
}

void DispatchBoard::Track(Local& local, const schedule::Event& event) {
  if (const auto* arrived = std::get_if<schedule::RequestArrived>(&event)) {
    local.tracked[arrived->request.id] = {arrived->request.host, {}, {}};
    local.tracked[arrived->request.id].orphaned = absl::InfiniteFuture();
  } else if (const auto* running =
                 std::get_if<schedule::RequestRunning>(&event)) {
    Tracked& tracked = local.tracked[running->request.id];
    tracked.host = running->request.host;
    tracked.server = running->server;
  } else if (const auto* ended =
                 std::get_if<schedule::RequestFinished>(&event)) {
    // What was not sent goes back to the queue under the same name.
    if (ended->kind != schedule::RequestOutcome::kNotSent) {
      local.tracked.erase(ended->id);
    }
  } else if (const auto* gone =
                 std::get_if<schedule::CallerDisconnected>(&event)) {
    auto found = local.tracked.find(gone->id);
    if (found != local.tracked.end() && found->second.server.empty()) {
      local.tracked.erase(found);
    }
  }
}

void DispatchBoard::Deliver(const Domain& domain, Local& local,
                            const schedule::Decision& decision) {
  if (const auto* grant = std::get_if<schedule::Grant>(&decision)) {
    local.tracked[grant->id].server = grant->server;
  } else if (const auto* refuse = std::get_if<schedule::Refuse>(&decision)) {
    local.tracked.erase(refuse->id);
  }
  const EntryHostId& host = HostOf(decision);
  if (host == self_) {
    hooks_.decide(self_, domain, decision);
  } else {
    hooks_.send(host, DispatchDecision{domain, decision});
  }
}

void DispatchBoard::OnHostGone(const EntryHostId& host, absl::Time now) {
  for (auto& [domain, local] : locals_) {
    std::vector<RequestId> waiting;
    for (auto& [id, tracked] : local.tracked) {
      if (tracked.host != host) continue;
      if (tracked.server.empty()) {
        waiting.push_back(id);
      } else {
        tracked.orphaned = std::min(tracked.orphaned, now);
      }
    }
    // The order of a hash table differs from run to run; decisions must not.
    std::sort(waiting.begin(), waiting.end());
    for (RequestId& id : waiting) {
      Take(domain, schedule::CallerDisconnected{std::move(id)}, now);
    }
  }
}

void DispatchBoard::EndOrphans(const Domain& domain,
                               const schedule::LoadReported& report,
                               absl::Time now) {
  Local& local = locals_.at(domain);
  int known = 0;
  std::vector<RequestId> orphans;
  bool fresh = true;
  bool overdue = false;
  for (const auto& [id, tracked] : local.tracked) {
    if (tracked.server != report.server) continue;
    if (tracked.orphaned == absl::InfiniteFuture()) {
      ++known;
      continue;
    }
    orphans.push_back(id);
    fresh = fresh && report.measured > tracked.orphaned;
    overdue = overdue || now - tracked.orphaned > kOrphanLimit;
  }
  if (orphans.empty()) return;
  bool gone = fresh && report.running + report.queued <= known;
  if (!gone && !overdue) return;
  std::sort(orphans.begin(), orphans.end());
  for (RequestId& id : orphans) {
    Take(domain,
         schedule::RequestFinished{std::move(id),
                                   schedule::RequestOutcome::kFailed, 0, 0},
         now);
  }
}

void DispatchBoard::Advance(absl::Time now) {
  for (const auto& [domain, local] : locals_) {
    if (local.dispatcher->NextWakeup() <= now) {
      Take(domain, schedule::TimePassed{}, now);
    }
  }
}

absl::Time DispatchBoard::NextWakeup() const {
  absl::Time next = absl::InfiniteFuture();
  for (const auto& [domain, local] : locals_) {
    next = std::min(next, local.dispatcher->NextWakeup());
  }
  return next;
}

const schedule::Dispatcher* DispatchBoard::DispatcherOf(
    const Domain& domain) const {
  auto found = locals_.find(domain);
  return found == locals_.end() ? nullptr : found->second.dispatcher.get();
}

}  // namespace gentianlb::entry
