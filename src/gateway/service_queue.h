// The queue of requests for one service: this host's dispatcher for the
// service, which is notified when servers register, drain, restart and leave.

#ifndef GENTIANLB_GATEWAY_SERVICE_QUEUE_H_
#define GENTIANLB_GATEWAY_SERVICE_QUEUE_H_

#include <functional>
#include <vector>

#include "absl/time/time.h"
#include "base/retry.h"
#include "base/timer_service.h"
#include "gateway/configuration.h"
#include "gateway/messages.h"
#include "schedule/dispatcher.h"

namespace gentianlb::gateway {

struct ServerAffinity;

// Speeds assumed for a server until its responses show the real ones: the
// middle of current engines, which compute 112 to 157 prompt tokens per
// millisecond and need 3.4 to 3.6 ms for a step of one stream.
struct InitialServerSpeed {
  double prefill_tokens_per_second = 112000;
  double decode_tokens_per_second = 280;
  bool operator==(const InitialServerSpeed&) const = default;
};

struct ServiceQueueOptions {
  schedule::DispatcherOptions dispatcher;
  InitialServerSpeed initial_speed;
  RetryOptions retries;
  EntryHostId host;
};

// A dispatcher's part in the use of its servers.
struct DispatcherPart {
  int hosts = 1;           // That dispatch to the servers.
  double limit_share = 1;  // Of the servers' request limits.
};

// Returns the part of a server's request limit that one of `hosts` may use
// beside the primary dispatcher of the server's group, which uses the whole.
double LimitShare(std::size_t hosts);

// Returns `options` with a memory of suspects, a new one if there is none.
ServiceQueueOptions WithSuspects(ServiceQueueOptions options);

// Not thread-safe: used by the event loop's thread only.
class ServiceQueue {
 public:
  explicit ServiceQueue(const ServiceQueueOptions& options);

  // Sets all servers of the service, including draining ones, in the order of
  // their ids. Appends the decisions that follow.
  void SetServers(const Service& service,
                  const std::vector<ServerEntry>& servers,
                  const DispatcherPart& part, absl::Time now,
                  std::vector<schedule::Decision>* decisions);

  void Handle(const schedule::Event& event, absl::Time now,
              std::vector<schedule::Decision>* decisions) {
    dispatcher_.Handle(event, now, decisions);
  }

  // Returns null if the server is not registered any more.
  const ServerEntry* FindServer(const ServerId& id) const;

  // Returns the free streams of all servers, less the waiting requests.
  std::int16_t FreeCapacity() const {
    return static_cast<std::int16_t>(dispatcher_.FreeStreams() -
                                     static_cast<int>(dispatcher_.waiting()));
  }

  const schedule::Dispatcher& dispatcher() const { return dispatcher_; }
  RetryBudget& retries() { return retries_; }
  bool has_servers() const { return !servers_.empty(); }
  // The registered servers, including draining ones, in the order of their ids.
  const std::vector<ServerEntry>& servers() const { return servers_; }
  bool has_engines() const { return has_engines_; }
  // The model of requests that name none.
  const ModelId& default_model() const { return default_model_; }

  // The dispatcher's next wake-up. The owner of the queue sets the timer.
  TimerId wakeup = 0;
  absl::Time wakeup_at = absl::InfiniteFuture();

 private:
  schedule::ServerSpec SpecOf(const Service& service, const ServerEntry& entry,
                              const ServerAffinity& affinity) const;

  const InitialServerSpeed initial_speed_;
  const EntryHostId host_;
  schedule::Dispatcher dispatcher_;
  RetryBudget retries_;
  ModelId default_model_;
  bool has_engines_ = false;
  std::vector<ServerEntry> servers_;
  std::vector<schedule::ServerSpec> specs_;
};

// Logs a grant that makes streams late by a pause, or that was held back to
// avoid that; once per grant, on the host that decided.
void LogPauses(const schedule::Grant& grant);

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_SERVICE_QUEUE_H_
