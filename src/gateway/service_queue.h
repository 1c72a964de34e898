// The requests that wait for one service and its servers: the dispatcher of
// this host for it, told of servers as they come, drain, restart and go.

#ifndef GENTIANLB_GATEWAY_SERVICE_QUEUE_H_
#define GENTIANLB_GATEWAY_SERVICE_QUEUE_H_

#include <functional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/retry.h"
#include "base/timer_service.h"
#include "gateway/configuration.h"
#include "gateway/messages.h"
#include "schedule/dispatcher.h"

namespace gentianlb::gateway {

struct ServerAffinity;

// What servers are taken for before their answers have shown it: the middle of
// today's engines, which compute 112 to 157 prompt tokens in a millisecond and
// need 3.4 to 3.6 ms for a step of one stream.
struct InitialServerSpeed {
  double prefill_tokens_per_second = 112000;
  double decode_tokens_per_second = 280;
  bool operator==(const InitialServerSpeed&) const = default;
};

struct ServiceQueueOptions {
  schedule::DispatcherOptions dispatcher;
  InitialServerSpeed guess;
  RetryOptions retries;
  EntryHostId host;
};

// Not thread-safe: owned by the loop's thread.
class ServiceQueue {
 public:
  explicit ServiceQueue(const ServiceQueueOptions& options);

  // All servers of the service, also those that are draining, and how many
  // hosts dispatch for them. The decisions are appended.
  void SetServers(const Service& service,
                  const std::vector<ServerEntry>& servers, int hosts,
                  absl::Time now, std::vector<schedule::Decision>* decisions);

  void Handle(const schedule::Event& event, absl::Time now,
              std::vector<schedule::Decision>* decisions) {
    dispatcher_.Handle(event, now, decisions);
  }

  // Null when it isn't known any more.
  const ServerEntry* FindServer(const ServerId& id) const;

  // Free streams of all servers, less the requests that wait.
  std::int16_t FreeCapacity() const {
    return static_cast<std::int16_t>(dispatcher_.FreeStreams() -
                                     static_cast<int>(dispatcher_.waiting()));
  }

  const schedule::Dispatcher& dispatcher() const { return dispatcher_; }
  RetryBudget& retries() { return retries_; }
  bool has_servers() const { return !servers_.empty(); }
  // For a request that names no model.
  const ModelId& default_model() const { return default_model_; }

  // The wake-up that is armed for this queue; kept here, used by the owner.
  TimerId wakeup = 0;
  absl::Time wakeup_at = absl::InfiniteFuture();

 private:
  schedule::ServerSpec SpecOf(const Service& service, const ServerEntry& entry,
                              const ServerAffinity& affinity) const;

  const InitialServerSpeed guess_;
  const EntryHostId host_;
  schedule::Dispatcher dispatcher_;
  RetryBudget retries_;
  ModelId default_model_;
  absl::flat_hash_map<ServerId, ServerEntry> servers_;
  std::vector<schedule::ServerSpec> specs_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_SERVICE_QUEUE_H_
