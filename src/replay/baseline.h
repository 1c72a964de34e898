// The policies that the product is compared with: ordinary balancers, which
// know no tiers, deadlines or prefixes and send each request on as it comes.
// So that the comparison is fair, they keep to the power cap by the plain
// power model, hold back what does not fit in order of arrival, and drop what
// is out of time. How a server is chosen is the `Choice`.

#ifndef GENTIANLB_REPLAY_BASELINE_H_
#define GENTIANLB_REPLAY_BASELINE_H_

#include <concepts>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "schedule/messages.h"

namespace gentianlb::replay {

// What a baseline knows of one server.
struct BaselineServer {
  schedule::ServerSpec spec;
  schedule::ServerHealth health = schedule::ServerHealth::kAlive;
  int outstanding = 0;  // Granted and not ended.
  int prefilling = 0;   // Of those, without a first token yet.
  int reported = 0;     // Running and queued, by its last report.
};

// Picks one of `usable`, which is not empty and holds indices of `servers`, in
// their order.
template <typename C>
concept ServerChoice = requires(C choice, const schedule::Request& request,
                                const std::vector<BaselineServer>& servers,
                                const std::vector<int>& usable) {
  { choice.Pick(request, servers, usable) } -> std::same_as<int>;
};

// One after the other.
class RoundRobin {
 public:
  int Pick(const schedule::Request& request,
           const std::vector<BaselineServer>& servers,
           const std::vector<int>& usable);

 private:
  std::size_t next_ = 0;
};

// The one with the fewest requests outstanding.
class LeastOutstanding {
 public:
  int Pick(const schedule::Request& request,
           const std::vector<BaselineServer>& servers,
           const std::vector<int>& usable);
};

// Of two at random, the one with the lower load by its last report.
class TwoChoices {
 public:
  explicit TwoChoices(std::uint64_t seed) : random_(seed) {}
  int Pick(const schedule::Request& request,
           const std::vector<BaselineServer>& servers,
           const std::vector<int>& usable);

 private:
  std::mt19937_64 random_;
};

// The one that last got the longest part of the prompt's head, if that is half
// of the prompt and the server has a free slot, else the one with the fewest
// outstanding. Knows nothing of what caches forget.
class PrefixAffinity {
 public:
  int Pick(const schedule::Request& request,
           const std::vector<BaselineServer>& servers,
           const std::vector<int>& usable);

 private:
  absl::flat_hash_map<schedule::PrefixHash, int> last_server_;
};

// The balancer around a choice; not thread-safe.
class BaselineState {
 public:
  // Takes the event in; what became out of time or power is decided at once.
  void Take(const schedule::Event& event, absl::Time now,
            std::vector<schedule::Decision>* decisions);

  const std::vector<BaselineServer>& servers() const { return servers_; }

  // The request that is next; there must be one.
  const schedule::Request& head() const { return queue_.front(); }

  // Servers that may get the request at the head of the queue now; empty when
  // there is none, or it has to wait.
  std::vector<int> UsableForHead() const;

  // Sends the head of the queue to `server`.
  void GrantHead(int server, std::vector<schedule::Decision>* decisions);

  absl::Time NextWakeup() const;

 private:
  struct Running {
    schedule::Request request;
    int server = 0;
    bool prefilling = true;
    std::uint64_t order = 0;
  };

  void On(const schedule::RequestArrived& event);
  void On(const schedule::CallerDisconnected& event);
  void On(const schedule::RequestRunning& event);
  void On(const schedule::TokensStreamed& event);
  void On(const schedule::RequestFinished& event);
  void On(const schedule::LoadReported& event);
  void On(const schedule::ResponseLoadReported& event);
  void On(const schedule::PeerLoadReported& event);
  void On(const schedule::PeerSlowdownReported& event);
  void On(const schedule::CacheChanged& event);
  void On(const schedule::ServerHealthChanged& event);
  void On(const schedule::ServersConfigured& event);
  void On(const schedule::WorkspacesConfigured& event);
  void On(const schedule::PowerShareChanged& event);
  void On(const schedule::TimePassed& event);
  void On(const schedule::RequestDelayed& event);
  void On(const schedule::PeerLimitReported& event);

  BaselineServer* Find(const ServerId& id);
  double Watts() const;
  double WattsOfNext(const BaselineServer& server) const;
  void FirstTokenSeen(Running* running);
  void RefuseOutOfTime(absl::Time now,
                       std::vector<schedule::Decision>* decisions);
  void CancelDownToCap(std::vector<schedule::Decision>* decisions);

  std::vector<BaselineServer> servers_;
  std::deque<schedule::Request> queue_;
  absl::flat_hash_map<RequestId, Running> running_;
  std::uint64_t next_order_ = 0;
  double cap_watts_ = 0;
};

template <ServerChoice Choice>
class Baseline {
 public:
  explicit Baseline(Choice choice) : choice_(std::move(choice)) {}

  void Handle(const schedule::Event& event, absl::Time now,
              std::vector<schedule::Decision>* decisions) {
    state_.Take(event, now, decisions);
    for (std::vector<int> usable = state_.UsableForHead(); !usable.empty();
         usable = state_.UsableForHead()) {
      int server = choice_.Pick(state_.head(), state_.servers(), usable);
      state_.GrantHead(server, decisions);
    }
  }

  absl::Time NextWakeup() const { return state_.NextWakeup(); }

 private:
  Choice choice_;
  BaselineState state_;
};

}  // namespace gentianlb::replay

#endif  // GENTIANLB_REPLAY_BASELINE_H_
