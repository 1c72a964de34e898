// The dispatcher of one service in one availability zone: order, refusal,
// window per server, choice of server and power, driven by events.

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

  // Takes one event at `now`, which never goes back, and appends what it leads
  // to. Events about an unknown request or server are ignored: they come late.
  void Handle(const Event& event, absl::Time now,
              std::vector<Decision>* decisions);

  // When TimePassed is due at the latest.
  absl::Time NextWakeup() const;

  const Counters& counters() const;

  // Hash over all decisions so far.
  std::uint64_t signature() const;

  // What all servers may draw at worst, and the share it must stay within.
  double worst_watts() const;
  double share_watts() const;

  // Streams that may still begin on all servers together.
  int FreeStreams() const;

  std::size_t waiting() const;
  std::size_t running() const;

  // What this dispatcher has learnt of a server's pace by itself, for others.
  std::optional<PaceElsewhere> PaceOf(const ServerId& server) const;

  // Streams that a server may hold, as learnt; 0 when it is unknown.
  int window(const ServerId& server) const;

 private:
  std::unique_ptr<State> state_;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_DISPATCHER_H_
