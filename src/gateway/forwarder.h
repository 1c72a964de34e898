// Takes callers' requests, has them ordered and placed by the dispatcher of
// their service, sends them to backend servers and relays the answers.
//
// What must hold, whatever fails: a request that may not be repeated is sent
// once unless the first server said that it has not run it; a refusal says the
// truth about that; an answer is whole or is visibly broken off; a caller that
// leaves stops the work that is done for it.

#ifndef GENTIANLB_GATEWAY_FORWARDER_H_
#define GENTIANLB_GATEWAY_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/node_hash_map.h"
#include "absl/time/time.h"
#include "base/timer_service.h"
#include "gateway/configuration.h"
#include "gateway/demand.h"
#include "gateway/directory.h"
#include "gateway/drain_plan.h"
#include "gateway/exchange.h"
#include "gateway/fleet_messages.h"
#include "gateway/group_link.h"
#include "gateway/messages.h"
#include "gateway/quota.h"
#include "gateway/route_index.h"
#include "gateway/service_queue.h"
#include "metrics/metrics.h"

namespace gentianlb::gateway {

struct ForwarderOptions {
  EntryHostId host;
  ServiceQueueOptions queue;
  // Retries that all hosts together may save up; each has an equal part.
  double retry_burst = 10;
  double limit_tolerance_tokens = 0;  // Of workspaces, over all hosts.
};

// Not thread-safe: owned by the loop's thread.
class Forwarder {
 public:
  // The pointers outlive this object.
  Forwarder(ForwarderOptions options, ServerPort servers, TimerService* timers,
            std::function<absl::Time()> clock, const Directory* directory,
            Demand* demand, metrics::Metrics* metrics);
  ~Forwarder();
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  // An older version than the one in force is ignored.
  void SetConfiguration(Configuration configuration);

  // The directory has changed.
  void ServersChanged();

  void Accept(CallerRequest request,
              std::shared_ptr<http::Responder> responder);

  // From now on every answer asks its caller to close the connection.
  void Drain(const DrainPlan& plan);

  // Called with a server whose address another one has taken over.
  void OnWrongServer(std::function<void(const ServerId&)> callback) {
    on_wrong_server_ = std::move(callback);
  }

  // From now on requests are ordered by the dispatchers of groups where these
  // answer; null: by this host's own.
  void UseGroups(GroupLink* groups) { groups_ = groups; }
  // Tells this host's own dispatcher of the service, and carries out what it
  // decides.
  void TellOwn(const ServiceId& service, const schedule::Event& event);
  // Carries out what the dispatcher of a group has decided.
  void Decide(const schedule::Decision& decision);

  // What this host has running on each server, and knows of its pace.
  std::vector<ServerUse> Uses() const;
  // What all others have and know.
  void UsedElsewhere(const absl::flat_hash_map<NameHash, ServerUse>& uses);

  // Some configuration is in force.
  bool configured() const { return index_ != nullptr; }
  std::int64_t version() const;
  std::size_t open_requests() const { return exchanges_.size(); }
  Quotas& quotas() { return quotas_; }

 private:
  // The verdict on a request before it is queued; none when it may go on.
  std::optional<Error> Check(const Exchange& exchange) const;
  std::optional<absl::Duration> TakeQuota(Exchange& exchange);
  // What was taken for a request that was not sent.
  void GiveBackQuota(Exchange& exchange);

  // Hands the request to the dispatcher, again after a failed sending.
  void Enqueue(Exchange& exchange, const ServerId& avoid);
  schedule::Request Describe(const Exchange& exchange,
                             const ServerId& avoid) const;

  // Tells the dispatchers that have to know.
  void Tell(const ServiceId& service, const schedule::Event& event);
  void CarryOut(const std::vector<schedule::Decision>& decisions);
  void On(const schedule::Grant& grant);
  void On(const schedule::Refuse& refusal);
  void On(const schedule::Cancel& cancel);
  void ArmWakeup(const ServiceId& service, ServiceQueue& queue);

  // One sending, in order.
  void Send(Exchange& exchange, const ServerEntry& server);
  http::ReadAction TakeHead(Exchange& exchange, AnswerHead head);
  void TakeBytes(Exchange& exchange, std::string_view bytes);
  void TakeEnd(Exchange& exchange, http::TransferEnd end,
               const std::string& detail);

  // How a sending may end.
  void Complete(Exchange& exchange);
  void Shed(Exchange& exchange);
  void Failed(Exchange& exchange, const std::string& detail);
  // True when it is sent to another server.
  bool Resend(Exchange& exchange, std::string_view why);
  // The server has no more to do with the sending that was under way.
  void EndTransfer(Exchange& exchange);
  void EndAttempt(Exchange& exchange, schedule::EndKind kind);

  // How a request may end.
  void Answer(Exchange& exchange);
  void Refuse(Exchange& exchange, const Error& error,
              absl::Duration retry_after);
  void GiveUp(Exchange& exchange, const Error& error);
  void DeadlinePassed(Exchange& exchange);
  void CallerGone(Exchange& exchange);
  void Remove(ExchangeId id);
  // Stops what a server does for it and takes it out of the queue.
  void Withdraw(Exchange& exchange);

  void BeginStream(Exchange& exchange);
  void TellProgress(Exchange& exchange);
  std::vector<http::Header> AnswerHeaders(const AnswerHead& head) const;
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

  std::shared_ptr<const RouteIndex> index_;
  Quotas quotas_;
  absl::node_hash_map<ServiceId, ServiceQueue> queues_;
  ExchangeId next_id_ = 1;
  std::uint64_t next_dispatch_;
  absl::flat_hash_map<ExchangeId, std::unique_ptr<Exchange>> exchanges_;
  absl::flat_hash_map<RequestId, ExchangeId> by_dispatch_;
  absl::flat_hash_map<ServerId, int> running_;
  absl::flat_hash_map<ServerId, ServerUse> told_elsewhere_;
  GroupLink* groups_ = nullptr;
  bool draining_ = false;
  DrainPlan drain_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_FORWARDER_H_
