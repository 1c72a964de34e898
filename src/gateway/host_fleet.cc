// The host's part about other hosts: what it tells them and hears of them, and
// who follows the platform's tables.

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "absl/hash/hash.h"
#include "gateway/host.h"

namespace gentianlb::gateway {
namespace {

// How often the number of hosts is told to what depends on it: hosts are
// started by the hundred.
constexpr absl::Duration kHostsPeriod = absl::Seconds(1);

}  // namespace

std::optional<Error> Host::MeetPeers() {
  PeersOptions options;
  options.host = settings_.id;
  options.zone = settings_.zone;
  options.processor = settings_.processor;
  options.address = settings_.peers;
  options.table = platform_.host_table;
  PeersHooks hooks;
  hooks.compose = [this](FleetNews* news) { ComposeNews(news); };
  hooks.on_others = [this](const FleetNews& others) { TakeOthers(others); };
  hooks.on_zone = [this](const FleetNews& zone) {
    sharing_.HeardZone(zone, loop_->now());
  };
  hooks.on_other = [this](std::string_view bytes) { TakeOther(bytes); };
  hooks.on_known = [this](int hosts) { demand_.RaiseHostCount(hosts); };
  hooks.on_tick = [this](absl::Time now) { UseNews(now); };
  auto started =
      Peers::Start(options, platform_.table, loop_, std::move(hooks));
  if (!started.ok()) return started.error();
  peers_ = std::move(started.value());
  return std::nullopt;
}

void Host::ComposeNews(FleetNews* news) {
  news->draining = draining_;
  news->servers = forwarder_.ServerUses();
  news->workspaces = demand_.BuildUpdate(loop_->now());
  news->tables = sharing_.Tell();
  // One that follows for nobody may have been cut off alone.
  if (!peers_->fleet().aggregates()) return;
  for (TableNews& table : news->tables) {
    table.returned_ms = table_recovery_.AgeToPublish(loop_->now());
  }
}

void Host::TakeOthers(const FleetNews& others) {
  const absl::Time now = loop_->now();
  for (const PeerUse& spent : demand_.OnPeerUpdate(others, now)) {
    forwarder_.quotas().Charge(spent.workspace, spent.tokens, now);
  }
  for (const TableNews& table : others.tables) {
    table_recovery_.OnPeerReport(table.returned_ms, now);
    directory_.OnTableRecovered(table_recovery_.latest());
  }
  sharing_.HeardOthers(others, now);
  if (others.detailed) {
    groups_.SetDispatchers(others.dispatchers);
    absl::flat_hash_map<NameHash, ServerUse> uses;
    for (const ServerUse& use : others.servers) uses[use.server] = use;
    forwarder_.SetPeerUses(uses);
    groups_.UsedElsewhere(uses);
  }
  UseNews(now);
}

void Host::TakeOther(std::string_view bytes) {
  if (IsTableQuestion(bytes)) {
    if (const auto question = DecodeTableQuestion(bytes)) {
      return sharing_.Take(*question);
    }
  } else if (IsTableChanges(bytes)) {
    if (const auto changes = DecodeTableChanges(bytes)) {
      return sharing_.Take(*changes);
    }
  } else {
    return groups_.Take(bytes);
  }
  // Cut or foreign. What it held is asked for, as the news tell of it.
  LOG(WARNING) << "event=changes-unreadable bytes=" << bytes.size();
}

void Host::SendChanges(const std::vector<std::string>& hosts,
                       const TableChanges& changes) {
  const auto bytes = Encode(changes);
  if (!bytes) {
    // The hosts hear that there is a change, and ask the service for it.
    LOG(WARNING) << "event=changes-too-long table=" << changes.table
                 << " since=" << changes.since
                 << " version=" << changes.page.version;
    return;
  }
  for (const std::string& host : hosts) peers_->Send(host, *bytes);
}

void Host::AskOthers(const TableQuestion& question, int tries) {
  // Before it is among the others, a host knows nobody to ask.
  if (peers_ == nullptr) return;
  const std::uint64_t draw =
      absl::HashOf(question.asker, question.table, tries, loop_->now());
  const std::string bytes = Encode(question);
  for (const std::string& host : peers_->fleet().WhomToAsk(tries, draw)) {
    peers_->Send(host, bytes);
  }
}

void Host::UseNews(absl::Time now) {
  sharing_.Choose({peers_->fleet().aggregates(), demand_.hosts()}, now);
  Quotas& quotas = forwarder_.quotas();
  const std::vector<NameHash> limited = quotas.LimitedWorkspaces();
  demand_.UpdateShares(limited, now);
  for (const NameHash workspace : limited) {
    quotas.SetShare(workspace, demand_.LimitShare(workspace, now), now);
    quotas.SetPeerDemand(workspace, demand_.DemandOfPeers(workspace, now), now);
  }
  if (hosts_told_ == demand_.hosts()) return;
  if (now - hosts_told_at_ < kHostsPeriod) return;
  hosts_told_ = demand_.hosts();
  hosts_told_at_ = now;
  forwarder_.OnServersChanged();
}

}  // namespace gentianlb::gateway
