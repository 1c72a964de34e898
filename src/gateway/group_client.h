// The requests of this host that a group's dispatcher orders.
//
// What goes wrong: the dispatcher's host is killed, freezes, is cut off or
// slow, and its datagrams are lost. Callers would wait for a decision that
// never comes. So a request that has no answer after some milliseconds, or
// waits at a host that has fallen silent, is taken back and decided here, on
// the news of all hosts; the silent one is left out for a while. What a
// dispatcher decides for a request that was taken back is answered with its
// end, so that the dispatcher doesn't count it for ever.
//
// Knows no network and no clock; the hooks carry what has to leave.

#ifndef GENTIANLB_GATEWAY_GROUP_CLIENT_H_
#define GENTIANLB_GATEWAY_GROUP_CLIENT_H_

#include <functional>
#include <map>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gateway/group_messages.h"
#include "gateway/groups.h"
#include "gateway/messages.h"

namespace gentianlb::gateway {

struct GroupClientHooks {
  // To the dispatcher of a group, on another host or on this one.
  std::function<void(const EntryHostId& host, ToGroup item)> send;
  // What this host's own dispatcher of the service has to be told, so that it
  // knows all that runs here.
  std::function<void(const ServiceId& service, const schedule::Event& event)>
      tell_own;
  // A decision on a request of this host.
  std::function<void(const schedule::Decision& decision)> decide;
};

class GroupClient {
 public:
  GroupClient(EntryHostId self, GroupHosts* hosts, GroupClientHooks hooks)
      : self_(std::move(self)), hosts_(hosts), hooks_(std::move(hooks)) {}

  void SetServers(const ServiceId& service,
                  const std::vector<ServerEntry>& servers);

  // An event of a request of this host. True when a group's dispatcher deals
  // with it and this host's own must not hear of it.
  bool Tell(const ServiceId& service, const schedule::Event& event,
            absl::Time now);

  // What another host's dispatchers, or this one's, answer.
  void Take(const EntryHostId& from, const GroupAnswer& answer, absl::Time now);
  void TakeRoom(const GroupRoom& room);
  // Anything was heard from `host`.
  void Heard(const EntryHostId& host, absl::Time now);

  // Takes back what has waited in vain, and moves to new dispatchers; to be
  // called every few milliseconds while Pending().
  void Tick(absl::Time now);
  // Something waits for a dispatcher's decision.
  bool Pending() const { return pending_ > 0; }

  // How many of this host's requests on `server` a dispatcher has granted.
  int GrantedOn(const ServerId& server) const;

 private:
  enum class Stage { kAsked, kWaits, kRuns };
  struct Open {
    ServiceId service;
    GroupKey group;
    EntryHostId dispatcher;
    schedule::Request request;
    Stage stage = Stage::kAsked;
    absl::Time asked;
    absl::Time answer_due;
    ServerId server;  // Where it runs.
    int output_tokens = 0;
  };
  struct ServiceGroups {
    int groups = 0;  // 0: the service has no servers.
    NameHash name = 0;
  };

  GroupKey ChooseGroup(const ServiceGroups& service, const RequestId& id) const;
  bool Ask(const ServiceId& service, const schedule::Request& request,
           absl::Time now);
  void Send(const Open& open, GroupEvent event);
  bool Ended(const schedule::RequestFinished& event, absl::Time now);
  void TakeGrant(const EntryHostId& from, const schedule::Grant& grant);
  void TakeRefusal(const EntryHostId& from, const schedule::Refuse& refusal);
  void TakeWaits(const EntryHostId& from, const RequestWaits& waits);
  void TakeBack(const RequestId& id);
  void TellOpen(absl::Time now);
  void MoveToNewDispatchers(absl::Time now);
  void SetStage(Open* open, Stage stage);
  void Erase(const RequestId& id);

  const EntryHostId self_;
  GroupHosts* const hosts_;
  const GroupClientHooks hooks_;
  absl::flat_hash_map<ServiceId, ServiceGroups> services_;
  absl::flat_hash_map<ServerId, GroupKey> groups_of_;
  absl::flat_hash_map<RequestId, Open> open_;
  absl::flat_hash_map<ServerId, int> granted_on_;
  absl::flat_hash_map<EntryHostId, absl::Time> heard_;
  std::map<GroupKey, int> rooms_;  // As told last, less what was asked since.
  int pending_ = 0;
  absl::Time moved_ = absl::InfinitePast();
  absl::Time told_open_ = absl::InfinitePast();
  // Dispatchers that were told of open requests; those without any are told
  // once more that there are none.
  std::map<std::pair<EntryHostId, GroupKey>, bool> told_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_GROUP_CLIENT_H_
