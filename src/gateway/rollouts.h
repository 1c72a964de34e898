// The roll-outs of all services on one entry host: which servers receive a
// request, what this host reports of their answers, and the status that it
// writes, as an aggregator or while no aggregator can.
//
// A host sends requests to a new version only while it knows that the status
// which allows that is the newest one. It stops by itself as soon as the counts
// of all hosts show a bad version; the status follows. A host writes it on the
// condition that the row is the one that it decided on, so that one that was
// frozen or cut off can't restore an old status.
//
// Has no network and no clock of its own.

#ifndef GENTIANLB_GATEWAY_ROLLOUTS_H_
#define GENTIANLB_GATEWAY_ROLLOUTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gateway/configuration.h"
#include "gateway/messages.h"
#include "gateway/rollout_evidence.h"
#include "gateway/rollout_judge.h"
#include "gateway/rollout_plan.h"
#include "gateway/version_pools.h"

namespace gentianlb::gateway {

struct RolloutHooks {
  // Writes a status if its row still has version `expected` (0: no row).
  // Calls back with whether it was written.
  std::function<void(const ServiceId& service, const RolloutStatus& status,
                     std::uint64_t expected, std::function<void(bool)> done)>
      write;
  // Called when the pools of a service have changed.
  std::function<void()> on_pools;
  // Returns the number of unfinished requests of a pool on this host.
  std::function<std::uint32_t(const ServiceId& pool)> open_requests;
};

// What the rest of the host knows, once per period.
struct RolloutContext {
  bool status_is_current = false;  // The status rows here are the newest ones.
  bool is_aggregator = false;
  // From 0 to below 1, differs by host: hosts that are not aggregators write in
  // this order.
  double turn = 0;
  bool all_reachable = false;  // No known host is missing.
  int hosts = 1;               // Reachable hosts, including this one.
};

// How a server answered one request, or what is known of that so far.
struct ServerAnswer {
  enum class Kind { kUnfinished, kAnswered, kFailed, kBroken };
  Kind kind = Kind::kUnfinished;
  // Time to the answer, or to a stream's first event.
  std::optional<absl::Duration> first;
  std::optional<absl::Duration> pace;  // Between the events of a stream.
};

// A roll-out as operators see it.
struct RolloutView {
  ServiceId service;
  std::string target;
  RolloutState state = RolloutState::kRunning;
  RolloutStage stage = RolloutStage::kNone;  // On this host.
  VersionVerdict verdict = VersionVerdict::kSound;
  double share = 0;  // Of the requests of this host.
};

class Rollouts {
 public:
  // `max_exposure`: the fraction of the requests until the deadline that
  // operators allow a bad version.
  Rollouts(double max_exposure, RolloutHooks hooks);
  ~Rollouts();
  Rollouts(const Rollouts&) = delete;
  Rollouts& operator=(const Rollouts&) = delete;

  // From now on servers of any version serve without an order.
  void AllowAllVersions() { allows_all_versions_ = true; }

  // Handle rows of orders and statuses. nullopt: there is no such row, or it
  // can't be read. `version` is that of the status' row; 0: it was removed.
  void SetOrder(const ServiceId& service,
                const std::optional<RolloutOrder>& order, absl::Time now);
  void SetStatus(const ServiceId& service,
                 const std::optional<RolloutStatus>& status,
                 std::uint64_t version, absl::Time now);
  // Returns the services with a status here.
  std::vector<ServiceId> ServicesWithStatus() const;
  bool has_orders() const;

  // Returns the pools of a service that has `servers`, those without servers
  // included.
  std::vector<ServerPool> PoolsOf(const ServiceId& service,
                                  const std::vector<ServerEntry>& servers,
                                  absl::Time now);
  // Returns the pool for a request.
  ServiceId ChoosePool(const ServiceId& service, const RequestId& id) const;
  // Returns the pool for a request that a server of `pool` did not complete.
  ServiceId ChooseOtherPool(const ServiceId& service, const ServiceId& pool,
                            const RequestId& id) const;
  // Returns the pool whose servers have `version`.
  ServiceId PoolOfVersion(const ServiceId& service,
                          const std::string& version) const;
  // Returns whether requests may still be sent to servers of `pool`.
  bool MaySend(const ServiceId& service, const ServiceId& pool) const;

  void RecordAnswer(const ServerEntry& server, const std::string& route,
                    const ServerAnswer& answer, absl::Time now);

  // Returns this host's reports, to be published.
  std::vector<RolloutReport> Reports() const;
  // Handles the merged reports of all hosts, this one included.
  void OnReports(const std::vector<RolloutReport>& merged, absl::Time now);
  // To be called once per period.
  void Tick(const RolloutContext& context, absl::Time now);

  std::vector<RolloutView> Views() const;

 private:
  struct ServiceState {
    std::optional<RolloutOrder> order;
    absl::Time order_at;
    std::optional<RolloutStatus> status;
    std::uint64_t status_version = 0;
    absl::Time status_at;
    KnownVersions known;
    std::set<std::string> targets;  // Of all orders so far.
    int old_servers = 0;
    int new_servers = 0;
    std::set<ServerId> selected;  // New servers that receive requests.
    absl::flat_hash_map<ServerId, absl::Time> warm_at;
    RolloutStage stage = RolloutStage::kNone;
    std::vector<RouteEvidence> evidence;  // Of this host.
    RolloutReport merged;                 // Of all hosts.
    absl::Time merged_at = absl::InfinitePast();
    RolloutJudge judge;
    // Since when the row of this version should have been replaced.
    absl::Time due_at = absl::InfiniteFuture();
    std::uint64_t due_version = 0;
    bool writing = false;
    absl::Time write_from = absl::InfinitePast();
  };

  bool IsRunning(const ServiceState& state) const;
  RolloutStage StageOf(const ServiceState& state) const;
  void UpdateStages(absl::Time now);
  static void SetSelected(const std::vector<ServerEntry>& servers,
                          ServiceState* state, absl::Time now);
  void Lead(const ServiceId& service, ServiceState* state,
            const RolloutContext& context, absl::Time now);
  // Records since when the row should have been replaced, and returns whether
  // it is this host's turn to do so.
  static bool IsTurn(ServiceState* state, const RolloutContext& context,
                     absl::Time now);
  void Write(const ServiceId& service, ServiceState* state,
             const RolloutDecision& decision, const RolloutInputs& inputs,
             absl::Time now);

  const double max_exposure_;
  bool allows_all_versions_ = false;
  const RolloutHooks hooks_;
  std::map<ServiceId, ServiceState> services_;
  absl::Time now_ = absl::InfinitePast();  // Of the last call with a time.
  absl::Time current_at_ = absl::InfinitePast();  // Statuses were the newest.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_ROLLOUTS_H_
