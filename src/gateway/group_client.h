// Submits the requests of this host to the dispatchers of groups and tracks
// them.
//
// The host of a dispatcher may be killed, freeze, become slow or be
// partitioned, and datagrams may be lost. Callers would then wait for a
// decision that never arrives. A request that has no answer after some
// milliseconds, or that is queued at an unresponsive host, is therefore
// reclaimed and dispatched locally, based on the state updates of all hosts.
// The unresponsive host is not selected as a dispatcher for a while. If a
// dispatcher grants a reclaimed request, the client reports it as finished, so
// that the dispatcher doesn't count it forever.
//
// The class has no access to the network or a clock; it sends through its
// hooks.

#ifndef GENTIANLB_GATEWAY_GROUP_CLIENT_H_
#define GENTIANLB_GATEWAY_GROUP_CLIENT_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gateway/group_messages.h"
#include "gateway/groups.h"
#include "gateway/messages.h"

namespace gentianlb::gateway {

struct GroupClientHooks {
  // Sends an event to the dispatcher of a group, on another host or on this
  // one.
  std::function<void(const EntryHostId& host, AddressedEvent item)> send;
  // Passes an event to the local dispatcher of the service, so that it knows
  // all requests that run on this host.
  std::function<void(const ServiceId& service, const schedule::Event& event)>
      notify_local_dispatcher;
  // Executes a decision on a request of this host.
  std::function<void(const schedule::Decision& decision)> decide;
};

class GroupClient {
 public:
  GroupClient(EntryHostId self, DispatcherSelector* selector,
              GroupClientHooks hooks)
      : self_(std::move(self)), selector_(selector), hooks_(std::move(hooks)) {}

  void SetServers(const ServiceId& service,
                  const std::vector<ServerEntry>& servers);

  // Handles an event of a request of this host. Returns true if the dispatcher
  // of a group handles it and the local dispatcher must not receive it.
  bool OnEvent(const ServiceId& service, const schedule::Event& event,
               absl::Time now);

  // Handles an answer of a dispatcher on another host or on this one.
  void HandleAnswer(const EntryHostId& from, const GroupAnswer& answer,
                    absl::Time now);
  void SetCapacity(const GroupCapacity& capacity);
  // Records that a message of any kind arrived from `host`.
  void RecordContact(const EntryHostId& host, absl::Time now);

  // Reclaims requests without an answer and moves requests to new dispatchers.
  // The caller invokes this every few milliseconds while Pending().
  void Tick(absl::Time now);
  // Returns whether any request waits for the decision of a dispatcher.
  bool Pending() const { return pending_ > 0; }

  // Returns how many requests of this host on `server` a dispatcher has
  // granted.
  int GrantedOn(const ServerId& server) const;

 private:
  enum class Stage { kSubmitted, kQueued, kRunning };
  struct OpenRequest {
    ServiceId service;
    GroupKey group;
    EntryHostId dispatcher;
    schedule::Request request;
    Stage stage = Stage::kSubmitted;
    absl::Time submitted;
    absl::Time answer_deadline;
    ServerId server;  // Set once it is granted.
    int output_tokens = 0;
  };
  struct ServiceGroups {
    std::vector<std::uint16_t> groups;  // Empty: the service has no servers.
    // Of these, those with a server of a software version.
    std::map<std::string, std::vector<std::uint16_t>> groups_by_version;
    NameHash name = 0;
  };

  GroupKey ChooseGroup(NameHash service,
                       const std::vector<std::uint16_t>& groups,
                       const RequestId& id) const;
  // Returns the groups with a server that may run the request; null if there
  // are none.
  const std::vector<std::uint16_t>* GroupsFor(
      const ServiceId& service, const schedule::Request& request) const;
  bool Submit(const ServiceId& service, const schedule::Request& request,
              absl::Time now);
  void Send(const OpenRequest& open, GroupEvent event);
  bool OnFinished(const schedule::RequestFinished& event, absl::Time now);
  void HandleGrant(const EntryHostId& from, const schedule::Grant& grant);
  void HandleRefusal(const EntryHostId& from, const schedule::Refuse& refusal);
  void HandleQueued(const EntryHostId& from, const RequestQueued& queued);
  void Reclaim(const RequestId& id);
  void ReportOpenRequests(absl::Time now);
  void MoveToNewDispatchers(absl::Time now);
  void SetStage(OpenRequest* open, Stage stage);
  void Erase(const RequestId& id);

  const EntryHostId self_;
  DispatcherSelector* const selector_;
  const GroupClientHooks hooks_;
  absl::flat_hash_map<ServiceId, ServiceGroups> services_;
  absl::flat_hash_map<ServerId, GroupKey> group_of_;
  absl::flat_hash_map<RequestId, OpenRequest> open_;
  absl::flat_hash_map<ServerId, int> granted_on_;
  absl::flat_hash_map<EntryHostId, absl::Time> last_contact_;
  // Free capacity as last reported, minus the requests submitted since.
  std::map<GroupKey, int> capacities_;
  int pending_ = 0;
  absl::Time last_move_ = absl::InfinitePast();
  absl::Time last_report_ = absl::InfinitePast();
  // Dispatchers that received a request or a list of open ones, and how many
  // empty lists each still receives once it has none.
  std::map<std::pair<EntryHostId, GroupKey>, int> empty_lists_left_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_GROUP_CLIENT_H_
