// Accepts callers' requests, has the service's dispatcher order and place them,
// sends them to backend servers and relays the responses.
//
// Invariants under any failure: a request that must not run twice is sent once
// unless the first server reported that it did not run it; a refusal states
// correctly whether the request may have run; a response is complete or visibly
// truncated; a caller that disconnects stops the work on its request.

#ifndef GENTIANLB_GATEWAY_FORWARDER_H_
#define GENTIANLB_GATEWAY_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/byte_budget.h"
#include "base/timer_service.h"
#include "gateway/configuration.h"
#include "gateway/connection_reuse.h"
#include "gateway/demand.h"
#include "gateway/directory.h"
#include "gateway/drain_plan.h"
#include "gateway/exchange.h"
#include "gateway/fleet_messages.h"
#include "gateway/group_link.h"
#include "gateway/messages.h"
#include "gateway/quota.h"
#include "gateway/rollouts.h"
#include "gateway/route_index.h"
#include "gateway/server_cooldowns.h"
#include "gateway/server_paths.h"
#include "gateway/service_queue.h"
#include "gateway/stream_versions.h"
#include "metrics/metrics.h"

namespace gentianlb::gateway {

struct ForwarderOptions {
  EntryHostId host;
  ZoneId zone;
  ServiceQueueOptions queue;
  // Retries that all hosts together may accumulate; each has an equal share.
  double retry_burst = 10;
  double limit_tolerance_tokens = 0;  // Above a workspace's limit, all hosts.
  // Counts the answers that are held here; null: they are not counted.
  std::shared_ptr<ByteBudget> budget;
};

// Not thread-safe: used by the event loop's thread only.
class Forwarder {
 public:
  // The pointers must outlive this object.
  Forwarder(ForwarderOptions options, ServerPort servers, TimerService* timers,
            std::function<absl::Time()> clock, const Directory* directory,
            Demand* demand, metrics::Metrics* metrics);
  ~Forwarder();
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  // Ignores a version that is not newer than the one in force.
  void SetConfiguration(Configuration configuration);

  // Passes the directory's current servers on to the dispatchers.
  void OnServersChanged();

  // Checks the request and queues or refuses it.
  void Accept(CallerRequest request,
              std::shared_ptr<http::Responder> responder);

  // From now on responses tell callers to close the connection, and requests
  // are refused as planned.
  void Drain(const DrainPlan& plan);

  // Gives each request that has no answer yet its final one, since this host is
  // about to exit. Streams in progress go on.
  void AnswerAll();

  // Sets the callback for a server whose address belongs to another server now.
  void OnWrongServer(std::function<void(const ServerId&)> callback) {
    on_wrong_server_ = std::move(callback);
  }

  // Sets the callback for a server whose response says that it leaves, the
  // first time, and the path on which that arrived.
  void OnServerLeaving(
      std::function<void(const LeavingServer&, const ServerPath&)> callback) {
    on_server_leaving_ = std::move(callback);
  }

  // Sets the callback for a cooldown that a server asks of the peer through
  // whose tunnel the response came.
  void OnTunnelledCooldown(
      std::function<void(const TunnelledCooldown&, const EntryHostId& peer)>
          callback) {
    on_tunnelled_cooldown_ = std::move(callback);
  }

  // From now on the dispatchers of groups order the requests of services for
  // which they are available. Null: only this host's dispatchers do.
  void SetGroupLink(GroupLink* groups) { groups_ = groups; }
  // From now on requests are distributed among the versions of a service. Null:
  // all servers of a service are alike.
  void SetRollouts(Rollouts* rollouts) { rollouts_ = rollouts; }
  // From now on requests go through peers to servers that this host can't
  // reach. Null: all paths are direct.
  void SetPaths(ServerPaths* paths) { paths_ = paths; }
  // From now on a stream goes on only at the version that began it. Null: all
  // versions fit together.
  void SetStreamVersions(StreamVersions* streams) { streams_ = streams; }
  // Returns the number of unfinished requests of a pool.
  std::uint32_t OpenRequestsOf(const ServiceId& pool) const;
  // Notifies this host's dispatcher of the service and applies its decisions.
  void NotifyLocalDispatcher(const ServiceId& service,
                             const schedule::Event& event);
  // Applies a decision of a group's dispatcher.
  void ApplyDecision(const schedule::Decision& decision);

  // Returns, for each server, this host's running requests and the server's
  // slowdown as measured here.
  std::vector<ServerUse> ServerUses() const;
  // Sets the same for all peers together.
  void SetPeerUses(const absl::flat_hash_map<NameHash, ServerUse>& uses);

  // Returns the number of servers that name a request limit, as far as this
  // host's dispatchers know.
  int LimitedServers() const;

  // Returns whether a configuration is in force.
  bool configured() const { return index_ != nullptr; }
  // Returns the service by the configuration in force; null if there is none.
  const Service* FindService(const ServiceId& service) const {
    return configured() ? index_->FindService(service) : nullptr;
  }
  // Returns the version of the configuration in force; 0 if there is none.
  std::int64_t version() const;
  std::size_t open_requests() const { return exchanges_.size(); }
  Quotas& quotas() { return quotas_; }
  // The cooldowns that servers have asked of this host.
  ServerCooldowns& cooldowns() { return cooldowns_; }

 private:
  // Returns the reason to refuse a request before it is queued, if any.
  std::optional<Error> Check(const Exchange& exchange) const;
  // Takes the request's tokens from the workspace's limit. If there are too
  // few, returns the time after which the caller may retry.
  bool TakeQuota(Exchange& exchange);
  // Refunds the tokens of a request that was not sent.
  void RefundQuota(Exchange& exchange);

  std::vector<ServerPool> PoolsOf(const ServiceId& service);
  void SetPool(const Service& service, const ServerPool& pool);
  // Finds the version that began the stream that the request takes up, and
  // queues the request for servers of that version.
  void FindVersion(Exchange& exchange);
  void OnVersionFound(Exchange& exchange, const StreamFinding& finding);
  // Returns whether a registered server may go on with the exchange's stream.
  bool HasServerOfVersion(Exchange& exchange);
  // Remembers the version that wrote the stream's first event.
  void RecordVersion(Exchange& exchange);
  // Refuses to go on with a stream. The caller must not come back for it,
  // unless servers of its version may yet register.
  void RefuseStream(Exchange& exchange);
  // Moves the requests that wait for servers that a roll-back has closed.
  void LeaveForbiddenPools();
  // Withdraws a request that waits for a server, and queues it for the old
  // servers.
  void MoveToOldServers(Exchange& exchange);
  // Count the time to the first event or the answer, and the answer itself, for
  // the judgement of the server's version.
  void RecordFirst(const Exchange& exchange);
  void RecordAnswer(const Exchange& exchange, ServerAnswer::Kind kind);
  // Queues the request at the dispatcher, first or for a retry.
  void Enqueue(Exchange& exchange, const ServerId& avoid);
  schedule::Request MakeDispatchRequest(const Exchange& exchange,
                                        const ServerId& avoid) const;

  // Notifies the group's dispatcher, or this host's if there is none.
  void NotifyDispatcher(const ServiceId& service, const schedule::Event& event);
  void ApplyDecisions(const std::vector<schedule::Decision>& decisions);
  void Apply(const schedule::Grant& grant);
  void Apply(const schedule::Refuse& refusal);
  void Apply(const schedule::Cancel& cancel);
  // Logs a decision on a request that a server has, or may have run.
  void LogIgnored(const Exchange& exchange, std::string_view kind);
  // Sets the timer for the dispatcher's next wake-up.
  void ArmWakeup(const ServiceId& service, ServiceQueue& queue);

  // The steps of an attempt.
  // Returns null if the server must not get the exchange's request any more.
  const ServerEntry* FindGranted(const Exchange& exchange,
                                 const ServerId& server);
  // Returns whether this host must not send to a server that was granted, since
  // the server has asked for a cooldown or said that it leaves.
  bool IsWithheld(const ServerId& server) const;
  // Has the dispatcher choose another server.
  void Withhold(Exchange& exchange, const ServerId& server);
  // Sends the request on the best path. Returns false if there is none.
  bool SendOnBestPath(Exchange& exchange, const ServerEntry& server);
  // Sends a request that could not be sent to the same server on another path.
  // Returns false if it must not be tried.
  bool SendOnOtherPath(Exchange& exchange);
  void Send(Exchange& exchange, const ServerEntry& server);
  http::ReadAction OnHead(Exchange& exchange, ResponseHead head);
  // Returns whether the server of the current attempt has restarted since.
  bool HasServerRestarted(const Exchange& exchange) const;
  // Records the cooldown that a response asks for, if any.
  void RecordCooldown(const Exchange& exchange, const ResponseHead& head);
  // Records that the server of the current attempt says that it leaves.
  void RecordLeaving(const Exchange& exchange);
  // Logs a limit that differs from what this host's dispatcher knows.
  void LogLimitChange(const Exchange& exchange, const ResponseHead& head);
  // Handles a head that must not be forwarded.
  http::ReadAction OnForeignHead(Exchange& exchange, const ResponseHead& head);
  // Has the server's connections carry one request each for a while.
  void PauseConnectionReuse(const Exchange& exchange, bool kept_connection);
  void OnBytes(Exchange& exchange, std::string_view bytes);
  void TakeBytes(Exchange& exchange, std::string_view bytes);
  // Counts the blocks that are held while a plain answer's body grows. Returns
  // false if the answer gave way.
  bool MakeRoom(Exchange& exchange, std::size_t bytes);
  // Handles the body after such a head.
  void OnUnidentifiedBytes(Exchange& exchange, std::string_view bytes);
  void LeaveUnidentifiedAnswer(Exchange& exchange);
  void OnTransferEnd(Exchange& exchange, http::TransferEnd end,
                     const std::string& detail);

  // The outcomes of an attempt.
  void OnResponseComplete(Exchange& exchange);
  void OnShed(Exchange& exchange);
  // `kind`: kFailed or kConnectionLost.
  void OnFailure(Exchange& exchange, schedule::RequestOutcome kind,
                 const Error& error);
  // Ends an answer that is longer than this host can keep.
  void BreakOffAnswer(Exchange& exchange, std::string_view detail);
  // Counts the answer's head. Returns false if the attempt has ended, as this
  // host holds as much as it may.
  bool MakeRoomForHead(Exchange& exchange);
  // Counts the bytes of the answer that are held.
  void CountHeldBytes(Exchange& exchange);
  // Returns whether too many servers were lost under requests with the same
  // content, and logs it if so.
  bool EndsServers(const Exchange& exchange) const;
  // Returns the retry of a request that found no server to retry at.
  void RefundRetry(Exchange& exchange);
  // Returns true if the request was queued again.
  bool Retry(Exchange& exchange, std::string_view reason);
  // Records that the current transfer has ended, and what its end says.
  void FinishTransfer(Exchange& exchange, SendEnd end);
  void FinishAttempt(Exchange& exchange, schedule::RequestOutcome kind);

  // Returns the cooldown that the response to the current attempt asks for.
  std::vector<schedule::ServerCooldown> CooldownsOf(
      const Exchange& exchange) const;

  // The outcomes of a request.
  void FinishResponse(Exchange& exchange);
  void Refuse(Exchange& exchange, const Error& error,
              absl::Duration retry_after);
  void FailRequest(Exchange& exchange, const Error& error);
  void OnDeadlinePassed(Exchange& exchange);
  // Answers a request that this host won't finish before it exits.
  void EndForExit(Exchange& exchange);
  void OnCallerDisconnected(Exchange& exchange);
  // The answer, or the refusal, of a request was handed over, and the
  // connection ended before all of it was sent.
  void OnUndelivered(const RequestId& request, const std::string& route);
  // Check whether the caller of a stream still acknowledges what it gets. The
  // link to it may be cut, so that no end of its connection arrives, and the
  // server would work on while the caller goes on over another host.
  void ScheduleCallerCheck(Exchange& exchange, absl::Time when);
  void CheckCaller(Exchange& exchange);
  void Remove(ExchangeId id);
  // Stops the server's work on the request, or removes it from the queue.
  void CancelAttempt(Exchange& exchange);

  // Returns the hashes of the request's prompt parts for a log line.
  static std::string PartsText(const Exchange& exchange);
  // Returns the inputs that decided on a suspect, as fields of a line.
  std::string SuspectInputs(const Exchange& exchange) const;
  void BeginStream(Exchange& exchange);
  void ReportProgress(Exchange& exchange);
  std::vector<http::Header> ResponseHeaders(const ResponseHead& head) const;
  void RespondError(http::Responder& responder, const Error& error,
                    absl::Duration retry_after) const;

  Exchange* Find(ExchangeId id);
  ServiceQueue& QueueOf(const ServiceId& service);

  const ForwarderOptions options_;
  const ServerPort servers_;
  TimerService* const timers_;
  const std::function<absl::Time()> clock_;
  const Directory* const directory_;
  Demand* const demand_;
  metrics::Metrics* const metrics_;
  std::function<void(const ServerId&)> on_wrong_server_;
  std::function<void(const LeavingServer&, const ServerPath&)>
      on_server_leaving_;
  std::function<void(const TunnelledCooldown&, const EntryHostId& peer)>
      on_tunnelled_cooldown_;

  std::shared_ptr<const RouteIndex> index_;
  Quotas quotas_;
  std::map<ServiceId, ServiceQueue> queues_;  // By pool.
  ExchangeId next_id_ = 1;
  SendId next_send_ = 1;
  std::uint64_t next_dispatch_id_;
  absl::flat_hash_map<ExchangeId, std::unique_ptr<Exchange>> exchanges_;
  absl::flat_hash_map<RequestId, ExchangeId> exchange_by_dispatch_id_;
  absl::flat_hash_map<ServerId, int> running_;
  ServerCooldowns cooldowns_;
  ConnectionReuse connection_reuse_;
  absl::flat_hash_map<ServerId, ServerUse> notified_peer_uses_;
  GroupLink* groups_ = nullptr;
  Rollouts* rollouts_ = nullptr;
  ServerPaths* paths_ = nullptr;
  StreamVersions* streams_ = nullptr;
  bool draining_ = false;
  DrainPlan drain_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_FORWARDER_H_
