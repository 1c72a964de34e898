// Dispatcher of one service in one availability zone. Driven by events, it
// orders and refuses requests, keeps a window of streams per server, chooses
// servers and limits power.

#ifndef GENTIANLB_SCHEDULE_DISPATCHER_H_
#define GENTIANLB_SCHEDULE_DISPATCHER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "schedule/counters.h"
#include "schedule/messages.h"
#include "schedule/options.h"

namespace gentianlb::schedule {

struct State;

// Not thread-safe: owned by one thread.
class Dispatcher {
 public:
  explicit Dispatcher(const DispatcherOptions& options);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  // Handles one event at time `now`, which must not decrease, and appends the
  // resulting decisions. Events about unknown requests or servers are ignored,
  // as they may arrive late.
  void Handle(const Event& event, absl::Time now,
              std::vector<Decision>* decisions);

  // Returns the latest time at which TimePassed is due; InfiniteFuture() if
  // never.
  absl::Time NextWakeup() const;

  const Counters& counters() const;

  // Returns a hash over all decisions so far.
  std::uint64_t signature() const;

  // Worst-case power of all servers, and the share that it must stay within.
  double worst_watts() const;
  double share_watts() const;

  // Returns the number of streams that may still start on all servers together.
  int FreeStreams() const;

  // Returns how many servers are configured and alive, and how many of these
  // are not closed after failures.
  struct ServerCounts {
    int usable = 0;
    int open = 0;
    int limited = 0;  // Of the usable ones, those that name a request limit.
    int slowed = 0;   // Of the usable ones, those on a slowed machine.
  };
  ServerCounts CountServers() const;

  std::size_t waiting() const;
  std::size_t running() const;

  // Returns the slowdown of a server that this dispatcher measured itself, to
  // be published to peers; nullopt if its speeds are estimates without samples,
  // or if it is unknown.
  std::optional<PeerSlowdownReported> MeasuredSlowdown(
      const ServerId& server) const;

  // Returns the request limit that responses of a server have lately named to
  // this dispatcher, to be published to peers; nullopt if none did.
  std::optional<double> ObservedLimit(const ServerId& server) const;

  // Returns a server's limit in requests a second; kNoRequestLimit if it names
  // none or is unknown.
  double request_limit(const ServerId& server) const;

  // Returns the learned window of a server, in streams; 0 if it is unknown.
  int window(const ServerId& server) const;

 private:
  std::unique_ptr<State> state_;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_DISPATCHER_H_
