// One entry host: its threads, its two HTTP servers, and the parts that the
// control thread owns, wired together.

#ifndef GENTIANLB_ENTRY_ENTRY_HOST_H_
#define GENTIANLB_ENTRY_ENTRY_HOST_H_

#include <atomic>
#include <memory>
#include <string>

#include "base/result.h"
#include "claim/sweeper.h"
#include "config/service.h"
#include "entry/calls.h"
#include "entry/claims.h"
#include "entry/config_link.h"
#include "entry/control_loop.h"
#include "entry/dispatch_board.h"
#include "entry/engine_client.h"
#include "entry/peers.h"
#include "entry/server_poller.h"
#include "http/client.h"
#include "http/server.h"
#include "metrics/metrics.h"
#include "rpc/codec.h"
#include "settings/host_settings.h"
#include "store/client.h"
#include "timeline/recorder.h"

namespace gentianlb::entry {

class EntryHost {
 public:
  // Listens and starts all threads; an error when it can't listen.
  static Outcome<std::unique_ptr<EntryHost>> Start(
      const settings::HostSettings& settings);
  ~EntryHost();
  EntryHost(const EntryHost&) = delete;
  EntryHost& operator=(const EntryHost&) = delete;

  std::uint16_t callers_port() const { return callers_->port(); }
  std::uint16_t control_port() const { return control_->port(); }

  // Begins the graceful shutdown: not ready first, then no new requests; roles
  // go over to others; what is in progress is finished.
  void Drain();

  // True when a drain has nothing left to finish. Thread-safe.
  bool drained() const { return drained_.load(); }

  // The requests that are still in progress, for the log.
  std::vector<RequestId> OpenRequests();

 private:
  explicit EntryHost(const settings::HostSettings& settings);

  // entry_host.cc: start, servers, drain.
  Outcome<bool> Listen();
  void Build();
  void StartParts();
  void OnCallerMessage(const http::Request& request,
                       const std::shared_ptr<http::Responder>& responder);
  void OnControlMessage(const http::Request& request,
                        const std::shared_ptr<http::Responder>& responder);
  void OnRpc(rpc::AsyncMethodTable* methods, std::string body,
             std::shared_ptr<http::Responder> responder);
  ConfigIndexPtr config() const;
  void CheckDrained();
  // From its return on the control thread doesn't ask the servers.
  void StopDrainChecks();

  // entry_host_parts.cc: what the parts tell each other.
  PeerHooks MakePeerHooks();
  BoardHooks MakeBoardHooks();
  PollerHooks MakePollerHooks();
  void OnItem(const EntryHostId& sender, PeerItem item);
  void OnMember(const member::MemberChange& change);
  void OnRole(const member::RoleBoard::Change& change);
  void OnConfiguration(const config::InForcePtr& in_force);
  void OnPlatformState(bool up);
  void ReadHostList();
  void UpdatePolled();
  void UpdatePeers();
  void Tick();

  // entry_host_rpc.cc: what operators ask.
  void RegisterOperatorMethods();
  Json::Value Status() const;
  Json::Value StatusOfHosts() const;
  Json::Value StatusOfDomains() const;
  Json::Value StatusOfServers(const Domain& domain,
                              const schedule::Dispatcher& dispatcher) const;
  config::PlanState PlanState() const;
  void CollectGauges();
  void CollectDispatcher(const Domain& domain,
                         const schedule::Dispatcher& dispatcher);

  const settings::HostSettings settings_;
  const Incarnation incarnation_;
  timeline::Recorder recorder_;
  metrics::Metrics metrics_;
  ControlLoop loop_;
  http::Client traffic_client_;  // To backend servers.
  http::Client control_client_;  // To peers, the platform, and for polls.

  // Of the control thread.
  std::unique_ptr<Peers> peers_;
  std::unique_ptr<DispatchBoard> board_;
  std::unique_ptr<ServerPoller> poller_;
  std::unique_ptr<store::Client> platform_;
  std::unique_ptr<PeerAsker> asker_;
  std::unique_ptr<Claims> claims_;
  std::unique_ptr<claim::Sweeper<store::Client>> sweeper_;
  std::unique_ptr<Calls> calls_;
  std::unique_ptr<ConfigLink> config_link_;
  std::unique_ptr<Follower> follower_;
  std::unique_ptr<config::Service<store::Client>> config_service_;
  std::unique_ptr<EngineClient> engines_;
  std::unique_ptr<Orders> orders_;
  rpc::AsyncMethodTable peer_methods_;
  rpc::AsyncMethodTable operator_methods_;
  bool ready_logged_ = false;
  bool checks_drain_ = true;
  absl::Time list_read_ = absl::InfinitePast();
  std::map<std::string, Domain> domain_by_role_;

  // Read by server threads.
  mutable absl::Mutex config_mutex_;
  ConfigIndexPtr config_ ABSL_GUARDED_BY(config_mutex_);
  std::atomic<bool> ready_ = false;
  std::atomic<bool> draining_ = false;
  std::atomic<bool> refusing_ = false;
  std::atomic<bool> drained_ = false;

  std::unique_ptr<http::Server> callers_;
  std::unique_ptr<http::Server> control_;
};

}  // namespace gentianlb::entry

#endif  // GENTIANLB_ENTRY_ENTRY_HOST_H_
