// Simulates, in virtual time, hosts that share the changes of a table of
// servers.

#ifndef GENTIANLB_GATEWAY_SHARING_SITE_TEST_H_
#define GENTIANLB_GATEWAY_SHARING_SITE_TEST_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "gateway/directory.h"
#include "gateway/fake_table_test.h"
#include "gateway/fleet_site_test.h"
#include "gateway/table_sharing.h"

namespace gentianlb::gateway {

using Message = std::variant<TableChanges, TableQuery>;

class SharingSite {
 public:
  static constexpr absl::Duration kSettlingTime = absl::Seconds(6);
  // Time within which a confirmed change must be in force.
  static constexpr absl::Duration kChangeDeadline = absl::Seconds(2);
  // Time between the failure of the service and the change.
  static constexpr absl::Duration kChangeDelay = absl::Milliseconds(80);

  SharingSite(int count, int zones, std::uint64_t seed) : fleet_(seed) {
    fleet_.Add(count, zones);
    for (int i = 0; i < count; ++i) members_.push_back(MakeMember(i));
    Pass(kSettlingTime);
  }

  const absl::Time& now() const { return fleet_.now; }
  void LoseMessages(unsigned per_thousand) {
    fleet_.lost_per_thousand = per_thousand;
  }

  void Pass(absl::Duration span) {
    for (const absl::Time end = now() + span; now() < end;) Step();
  }

  std::set<std::size_t> Aggregators() {
    std::set<std::size_t> found;
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (members_[i]->host->fleet->is_aggregator()) found.insert(i);
    }
    return found;
  }

  std::set<std::size_t> Subscribed() const {
    std::set<std::size_t> found;
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (members_[i]->subscriber->subscribed()) found.insert(i);
    }
    return found;
  }

  // Changes the table shortly after a failure of the service. Returns the
  // number of hosts that lack the change at the deadline, without those in
  // `excused`.
  int CountLaggingAfterChange(const std::set<std::size_t>& excused) {
    Pass(kChangeDelay);
    table.Change();
    Pass(kChangeDeadline);
    return CountLagging(excused);
  }

  // Restarts the host without state.
  void Restart(std::size_t host) {
    const std::string name = members_[host]->host->entry.host;
    members_[host].reset();
    fleet_.Start(name);
    members_[host] = MakeMember(static_cast<int>(host));
  }

  // Cuts hosts off from the service and from all others.
  void CutOff(const std::set<std::size_t>& hosts) {
    for (const std::size_t host : hosts) members_[host]->host->side = 1;
    table.refused.insert(hosts.begin(), hosts.end());
  }
  void Reconnect(const std::set<std::size_t>& hosts) {
    for (const std::size_t host : hosts) {
      members_[host]->host->side = 0;
      table.refused.erase(host);
    }
  }

  std::size_t count() const { return members_.size(); }
  // Returns the rows of the table as servers, as the host would use them.
  const Directory& directory(std::size_t host) const {
    return members_[host]->directory;
  }

  // Returns the number of hosts that lack the newest change, without those in
  // `excused`.
  int CountLagging(const std::set<std::size_t>& excused) const {
    int lagging = 0;
    for (std::size_t i = 0; i < members_.size(); ++i) {
      const bool up_to_date =
          members_[i]->subscriber->newest_change() >= table.version();
      if (!up_to_date && !excused.contains(i)) ++lagging;
    }
    return lagging;
  }

 private:
  struct Member {
    FleetSite::Host* host = nullptr;
    std::unique_ptr<TableSubscriber> subscriber;
    std::unique_ptr<TableSharing> sharing;
    Directory directory;

    void OnRows(const std::vector<TableRow>& rows, bool whole, absl::Time now) {
      directory.SetTableRecovered(subscriber->recovered_at());
      std::vector<std::pair<std::string, ServerEntry>> listed;
      for (const TableRow& row : rows) {
        const ServerEntry entry{.id = ServerId(row.key)};
        if (whole) listed.emplace_back(row.key, entry);
        if (whole) continue;
        directory.Update(
            row.key, row.removed ? std::nullopt : std::optional(entry), now);
      }
      if (whole) directory.Replace(listed, now);
    }
  };

  std::unique_ptr<Member> MakeMember(int number) {
    const std::string name = FleetSite::Name(number);
    auto made = std::make_unique<Member>();
    Member& member = *made;
    member.host = &fleet_.hosts.at(name);
    member.subscriber = std::make_unique<TableSubscriber>(
        TableSubscriberOptions{.table = "t"},
        table.PortFor(static_cast<std::size_t>(number)), &timers_,
        [this] { return now(); }, fleet_.random(),
        [&member](const std::vector<TableRow>& rows, bool whole,
                  absl::Time at) { member.OnRows(rows, whole, at); },
        [](bool, absl::Time) {});
    FleetSite::Host* host = member.host;
    member.sharing = std::make_unique<TableSharing>(
        name, std::vector<TableSubscriber*>{member.subscriber.get()},
        TableSharingHooks{
            .propagate =
                [this, host](const TableChanges& changes) {
                  Send(*host, host->fleet->LiveZonePeers(), changes);
                },
            .query =
                [this, host](const TableQuery& query, int tries) {
                  Send(*host, host->fleet->QueryTargets(tries, fleet_.random()),
                       query);
                },
            .reply =
                [this, host](const std::string& to,
                             const TableChanges& changes) {
                  Send(*host, {to}, changes);
                }},
        now());
    TableSharing* sharing = member.sharing.get();
    host->compose = [sharing](FleetUpdate* own) {
      own->tables = sharing->TableStates();
    };
    host->on_peers = [this, sharing](const FleetUpdate& peers) {
      sharing->OnPeersUpdate(peers, now());
    };
    host->on_zone = [this, sharing](const FleetUpdate& zone) {
      sharing->OnZoneUpdate(zone, now());
    };
    member.subscriber->Start();
    return made;
  }

  void Send(const FleetSite::Host& from, const std::vector<std::string>& hosts,
            const Message& message) {
    for (const std::string& host : hosts) {
      if (fleet_.random() % 1000 < fleet_.lost_per_thousand) continue;
      queue_.push_back({host, from.side, message});
    }
  }

  void Deliver() {
    for (const auto& [to, side, message] : std::exchange(queue_, {})) {
      for (const auto& member : members_) {
        if (member->host->entry.host != to || member->host->side != side) {
          continue;
        }
        std::visit(
            [&](const auto& content) {
              member->sharing->HandleMessage(content);
            },
            message);
      }
    }
  }

  void Step() {
    fleet_.Step();
    timers_.Advance(now());
    table.Step();
    Deliver();
    const int hosts = static_cast<int>(members_.size());
    for (const auto& member : members_) {
      member->sharing->UpdateModes(
          {member->host->fleet->is_aggregator(), hosts}, now());
      member->directory.SetTableRecovered(member->subscriber->recovered_at());
      member->directory.Expire(now());
    }
  }

  struct Datagram {
    std::string to;
    int side;
    Message message;
  };

  FleetSite fleet_;
  TimerService timers_;
  std::vector<Datagram> queue_;

 public:
  FakeTableService table{&fleet_.now};

 private:
  std::vector<std::unique_ptr<Member>> members_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_SHARING_SITE_TEST_H_
