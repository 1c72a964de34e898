// What the parts of an entry host tell each other.

#include <glog/logging.h>

#include <set>
#include <utility>

#include "entry/entry_host.h"
#include "power/shares.h"

namespace gentianlb::entry {
namespace {

using timeline::EventKind;

// The pace of what is driven by time and has no timer of its own: dispatchers'
// wake-ups, claims, the follower.
constexpr absl::Duration kTick = absl::Milliseconds(20);

// Dispatchers must know of a leaving server within 3 s of the platform's list.
constexpr absl::Duration kLongestListPeriod = absl::Seconds(2);

// For a host that holds no dispatcher; at 350 hosts the list is some 130 KB.
constexpr absl::Duration kIdleListPeriod = absl::Seconds(30);

EventKind KindOf(schedule::ServerHealth health) {
  switch (health) {
    case schedule::ServerHealth::kAlive:
      return EventKind::kServerAlive;
    case schedule::ServerHealth::kLeaving:
      return EventKind::kServerLeaving;
    default:
      return EventKind::kServerSuspected;
  }
}

}  // namespace

void EntryHost::StartParts() {
  peers_->Start();
  loop_.timers().Every(loop_.now(), kTick, [this](absl::Time) { Tick(); });
  absl::Duration list_period =
      std::min(settings_.platform.list_period, kLongestListPeriod);
  loop_.timers().Every(loop_.now(), list_period,
                       [this](absl::Time) { ReadHostList(); });
}

void EntryHost::Tick() {
  absl::Time now = loop_.now();
  board_->Advance(now);
  if (claims_->NextWakeup() <= now) claims_->OnTimer();
  if (follower_->NextDue() <= now) follower_->Tick(now);
  // Not before membership has had time to find the others.
  if (ready_logged_) sweeper_->Tick(now);
  // A host that drains lets its lease on orders lapse.
  if (!draining_.load() && orders_->NextDue() <= now) orders_->Tick();
  bool ready = follower_->ready() && follower_->current_version() > 0;
  if (ready && !ready_logged_) {
    ready_logged_ = true;
    recorder_.Record(EventKind::kHostReady, settings_.id.str());
    LOG(INFO) << "event=ready host=" << settings_.id
              << " version=" << follower_->current_version();
  }
  ready_ = ready;
}

PeerHooks EntryHost::MakePeerHooks() {
  PeerHooks hooks;
  hooks.on_item = [this](const EntryHostId& sender, PeerItem item) {
    OnItem(sender, std::move(item));
  };
  hooks.on_member = [this](const member::MemberChange& change) {
    OnMember(change);
  };
  hooks.on_role = [this](const member::RoleBoard::Change& change) {
    OnRole(change);
  };
  hooks.on_config_news = [this](std::int64_t version, const EntryHostId& peer) {
    follower_->OnNews(version, peer, loop_.now());
  };
  return hooks;
}

BoardHooks EntryHost::MakeBoardHooks() {
  BoardHooks hooks;
  hooks.send = [this](const EntryHostId& host, PeerItem item) {
    peers_->Send(host, std::move(item));
  };
  hooks.decide = [this](const EntryHostId& from, const Domain& domain,
                        const schedule::Decision& decision) {
    calls_->OnDecision(from, domain, decision);
  };
  hooks.holder_changed = [this](const Domain& domain) {
    calls_->OnHolderChanged(domain);
  };
  return hooks;
}

PollerHooks EntryHost::MakePollerHooks() {
  PollerHooks hooks;
  hooks.on_event = [this](const Domain& domain, const schedule::Event& event) {
    board_->OnServer(domain, event, loop_.now());
  };
  hooks.on_health = [this](const ServerId& server,
                           schedule::ServerHealth health) {
    recorder_.Record(KindOf(health), server.str(),
                     "health=" + std::string(HealthName(health)));
    LOG(INFO) << "event=server-health server=" << server
              << " health=" << HealthName(health);
    calls_->OnServerHealth(server, health);
    peers_->Broadcast(HealthNews{server, health});
  };
  return hooks;
}

void EntryHost::OnItem(const EntryHostId& sender, PeerItem item) {
  if (const auto* event = std::get_if<DispatchEvent>(&item)) {
    board_->OnEvent(*event, loop_.now());
  } else if (const auto* decision = std::get_if<DispatchDecision>(&item)) {
    calls_->OnDecision(sender, decision->domain, decision->decision);
  } else {
    const auto& news = std::get<HealthNews>(item);
    calls_->OnServerHealth(news.server, news.health);
  }
}

void EntryHost::OnMember(const member::MemberChange& change) {
  using member::MemberState;
  const EntryHostId& id = change.member.id;
  switch (change.member.state) {
    case MemberState::kAlive:
      recorder_.Record(EventKind::kHostJoined, id.str());
      break;
    case MemberState::kSuspect:
      recorder_.Record(EventKind::kHostSuspected, id.str());
      break;
    case MemberState::kDead:
    case MemberState::kLeaving:
      recorder_.Record(EventKind::kHostLeft, id.str());
      break;
  }
  if (change.member.state == MemberState::kDead) {
    board_->OnHostGone(id, loop_.now());
  }
  UpdatePeers();
}

// Claims need to know who else may take requests; the platform's rate is shared
// among all.
void EntryHost::UpdatePeers() {
  std::vector<EntryHostId> others;
  std::vector<EntryHostId> living;
  for (const member::Member& member : peers_->membership().Peers()) {
    others.push_back(member.id);
    bool lives = member.state != member::MemberState::kDead;
    if (lives) living.push_back(member.id);
  }
  platform_->SetLiveHosts(static_cast<int>(living.size()) + 1);
  claims_->SetPeers(std::move(others));
  sweeper_->SetPeers(std::move(living));
}

void EntryHost::OnRole(const member::RoleBoard::Change& change) {
  auto found = domain_by_role_.find(change.role);
  if (found == domain_by_role_.end()) return;
  bool own = change.holder.host == settings_.id;
  bool was_own = board_->HolderOf(found->second) == settings_.id;
  if (own != was_own) {
    EventKind kind = own ? EventKind::kRoleTaken : EventKind::kRoleGivenUp;
    recorder_.Record(kind, change.role);
    LOG(INFO) << "event=" << timeline::KindName(kind)
              << " role=" << change.role;
  }
  board_->SetHolder(found->second, change.holder.host, loop_.now());
  UpdatePolled();
}

void EntryHost::UpdatePolled() {
  poller_->SetDomains(config(), board_->Held());
}

void EntryHost::OnConfiguration(const config::InForcePtr& in_force) {
  auto index = std::make_shared<const ConfigIndex>(in_force->configuration);
  {
    absl::MutexLock lock(&config_mutex_);
    config_ = index;
  }
  std::string version = std::to_string(in_force->configuration.version);
  recorder_.Record(EventKind::kConfigurationInForce, version);
  LOG(INFO) << "event=configuration-in-force version=" << version;
  peers_->SetConfigVersion(in_force->configuration.version);
  calls_->Configure(index);
  engines_->Configure(index);
  orders_->SetConfig(std::shared_ptr<const config::Configuration>(
      in_force, &in_force->configuration));
  board_->Configure(index, loop_.now());
  for (const power::Share& share : power::DivideCap(in_force->configuration)) {
    if (share.zone != settings_.zone) continue;
    recorder_.Record(EventKind::kPowerShareChanged,
                     RoleName({share.service, share.zone}),
                     "watts=" + std::to_string(share.watts));
  }
  domain_by_role_.clear();
  std::vector<member::RoleSpec> roles;
  for (const Domain& domain : board_->Domains()) {
    domain_by_role_[RoleName(domain)] = domain;
    roles.push_back({RoleName(domain), domain.zone});
  }
  peers_->SetRoles(std::move(roles));
  UpdatePolled();
}

void EntryHost::OnPlatformState(bool up) {
  recorder_.Record(up ? EventKind::kPlatformUp : EventKind::kPlatformDown,
                   "platform");
  LOG(INFO) << "event=" << (up ? "platform-up" : "platform-down");
}

// The list tells dispatchers of leaving servers; the others only learn from it
// of hosts that the settings don't name, which is seldom worth its bytes.
void EntryHost::ReadHostList() {
  bool due =
      !board_->Held().empty() || loop_.now() - list_read_ >= kIdleListPeriod;
  if (!due) return;
  list_read_ = loop_.now();
  platform_->ListHosts([this](Outcome<std::vector<store::ListedHost>> list) {
    // An outage says nothing about the servers; the last list stays.
    if (!list.ok()) return;
    std::set<ServerId> leaving;
    for (const store::ListedHost& host : list.value()) {
      if (host.is_entry_host) {
        peers_->AddSeed({EntryHostId(host.id), host.address});
      } else if (host.leaving) {
        leaving.insert(ServerId(host.id));
      }
    }
    poller_->SetLeaving(std::move(leaving));
  });
}

}  // namespace gentianlb::entry
