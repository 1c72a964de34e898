// The outside of one dispatcher in a replay: its servers, the network's delays,
// what the trace brings, and power as it is really drawn. It hands events to
// whoever drives the policy and takes the decisions.

#ifndef GENTIANLB_REPLAY_SITE_H_
#define GENTIANLB_REPLAY_SITE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <tuple>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "replay/deployment.h"
#include "replay/figures.h"
#include "replay/ledger.h"
#include "replay/server_fake.h"
#include "replay/trace.h"
#include "schedule/messages.h"

namespace gentianlb::replay {

// Delays of the world around a dispatcher. Grounds: the brief's one to one and
// a half milliseconds between zones; for news from engines, "with a lag", "late
// and with gaps", of which no figures are published.
inline constexpr absl::Duration kHop = absl::Milliseconds(1);
inline constexpr absl::Duration kLoadPeriod = absl::Seconds(1);
inline constexpr absl::Duration kLoadLag = absl::Milliseconds(800);
inline constexpr absl::Duration kCachePeriod = absl::Milliseconds(500);
inline constexpr absl::Duration kCacheLag = absl::Milliseconds(1500);
inline constexpr double kCacheLoss = 0.05;
inline constexpr absl::Duration kProgressPeriod = absl::Seconds(1);
inline constexpr absl::Duration kSuspectAfter = absl::Seconds(1);
inline constexpr absl::Duration kDeadAfter = absl::Seconds(3);
inline constexpr absl::Duration kAliveAfter = absl::Seconds(1);

// A lower share is announced so long before it is in force.
inline constexpr absl::Duration kCapNotice = absl::Seconds(1);

class Site {
 public:
  // `trace` outlives the site. `seed` decides which cache news are lost.
  Site(const Deployment& deployment, const ServiceLoad& service,
       const Trace& trace, std::uint64_t seed);

  // When something happens next.
  absl::Time NextTime() const;

  // Moves to `now`, which is at most NextTime(), and appends what the policy
  // is told next. More may follow at the same time: the policy hears one event
  // and answers before the next one happens.
  void Advance(absl::Time now, std::vector<schedule::Event>* events);

  // Carries out one decision at the time of the last Advance().
  void Apply(const schedule::Decision& decision);

  // Reads the draw; called when all of an instant has been decided.
  void MeterPower();

  // Whether every request of the trace has come and ended.
  bool Finished() const;

  // When a request that is still open was forgotten.
  absl::Time horizon() const { return horizon_; }

  // What the policy is told before anything else.
  std::vector<schedule::Event> FirstEvents() const;

  static absl::Time Start() { return absl::UnixEpoch(); }

  Ledger& ledger() { return ledger_; }

  // The figures, but for what the policy's driver adds.
  ServiceFigures Figures() const;

 private:
  struct FromTrace {
    std::size_t index = 0;
  };
  struct AtServer {
    int server = 0;
    StreamWork work;
  };
  struct CancelAtServer {
    int server = 0;
    StreamIndex index = 0;
  };
  struct ToPolicy {
    schedule::Event event;
  };
  struct HealthNews {
    int server = 0;
    schedule::ServerHealth health = schedule::ServerHealth::kAlive;
  };
  struct CapInForce {
    double watts = 0;
  };
  enum class TickKind { kLoad, kCache, kProgress };
  struct Tick {
    TickKind kind = TickKind::kLoad;
    int server = 0;
  };
  using Action = std::variant<FromTrace, AtServer, CancelAtServer, ToPolicy,
                              HealthNews, CapInForce, Tick>;
  struct Planned {
    absl::Time when;
    std::uint64_t order = 0;
    Action action;
    bool operator>(const Planned& other) const {
      return std::tie(when, order) > std::tie(other.when, other.order);
    }
  };

  void Plan(absl::Time when, Action action);
  void Tell(schedule::Event event, absl::Duration delay);
  void PlanNextTraceEvent();
  void SettleServer(int server);
  void Changed(int server, const StreamChange& change);
  void CountRecomputed(int server, const StreamChange& change);
  void EndStopped(const StreamRemains& remains, Phase phase,
                  schedule::RequestOutcome kind);
  // A plain service answers as a whole: nothing streams before the end.
  bool plain() const { return service_.model.empty(); }

  int ServerIndex(const ServerId& id) const;
  double SecondsOnIdleServer(const Record& record) const;

  // One of each kind of action.
  void Do(const FromTrace& action);
  void Do(const AtServer& action);
  void Do(const CancelAtServer& action);
  void Do(const ToPolicy& action);
  void Do(const HealthNews& action);
  void Do(const CapInForce& action);
  void Do(const Tick& action);

  // One of each kind of trace event.
  void Happen(const TraceRequest& request);
  void Happen(const TraceCancel& cancel);
  void Happen(const TraceServerSlow& slow);
  void Happen(const TraceServerDead& dead);
  void Happen(const TraceServerBack& back);
  void Happen(const TracePowerCap& cap);

  // One of each kind of decision.
  void Carry(const schedule::Grant& grant);
  void Carry(const schedule::Refuse& refuse);
  void Carry(const schedule::Cancel& cancel);

  const Deployment deployment_;
  const ServiceLoad service_;
  const Trace& trace_;
  Ledger ledger_;
  std::mt19937_64 random_;
  absl::Time now_;
  absl::Time horizon_;
  std::size_t next_trace_event_ = 0;
  std::vector<ServerFake> servers_;
  std::vector<std::uint64_t> cache_sequence_;
  absl::flat_hash_map<ServerId, int> server_index_;
  absl::flat_hash_set<schedule::PrefixHash> computed_;
  std::priority_queue<Planned, std::vector<Planned>, std::greater<>> plan_;
  std::uint64_t next_order_ = 0;
  std::vector<schedule::Event>* events_ = nullptr;  // During Advance().
  double cap_watts_ = 0;
  double lowest_cap_watts_ = 0;
  double peak_watts_ = 0;
  double watts_ = 0;  // At the last reading.
  double joules_ = 0;
  absl::Time metered_;
  double watts_above_cap_ = 0;
};

}  // namespace gentianlb::replay

#endif  // GENTIANLB_REPLAY_SITE_H_
