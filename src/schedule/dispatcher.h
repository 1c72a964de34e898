// The dispatcher of one service in one availability zone: order, refusal,
// window per server, choice of server and power, driven by events.

#ifndef GENTIANLB_SCHEDULE_DISPATCHER_H_
#define GENTIANLB_SCHEDULE_DISPATCHER_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "schedule/messages.h"

namespace gentianlb::schedule {

// What does not change while a dispatcher lives.
struct DispatcherOptions {
  Weights weights;
  std::uint64_t seed = 1;  // Spreads the come-back times.
  bool operator==(const DispatcherOptions&) const = default;
};

// Not thread-safe: owned by one thread.
class Dispatcher {
 public:
  explicit Dispatcher(const DispatcherOptions& options);

  // Takes one event at `now`, which never goes back, and appends what it leads
  // to. Events about an unknown request or server are ignored: they come late.
  void Handle(const Event& event, absl::Time now,
              std::vector<Decision>* decisions);

  // When TimePassed is due at the latest.
  absl::Time NextWakeup() const;

 private:
  struct Server {
    ServerSpec spec;
    ServerHealth health = ServerHealth::kAlive;
    bool configured = false;
    int running = 0;
  };
  struct Running {
    Request request;
    ServerId server;
  };
  // Tier, deadline, order of arrival.
  using WaitKey = std::pair<std::pair<int, absl::Time>, std::uint64_t>;

  void Arrive(const Request& request, absl::Time now,
              std::vector<Decision>* decisions);
  void Gone(const RequestId& id, std::vector<Decision>* decisions);
  void Configure(const std::vector<ServerSpec>& specs);
  void GrantWaiting(absl::Time now, std::vector<Decision>* decisions);
  Server* Choose(const Request& request);

  DispatcherOptions options_;
  std::map<ServerId, Server> servers_;
  std::map<WaitKey, Request> waiting_;
  std::map<RequestId, WaitKey> waiting_by_id_;
  std::map<RequestId, Running> running_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_DISPATCHER_H_
