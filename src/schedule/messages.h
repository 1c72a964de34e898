// What the decision modules are told and what they answer. A Dispatcher orders
// the waiting requests of one service in one availability zone. It knows no
// network, thread or clock: events go in with the time, decisions come out, and
// the same events give the same decisions.

#ifndef GENTIANLB_SCHEDULE_MESSAGES_H_
#define GENTIANLB_SCHEDULE_MESSAGES_H_

#include <compare>
#include <concepts>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "base/result.h"

namespace gentianlb::schedule {

// Electric draw of one backend server, as operators configure it.
struct PowerModel {
  double idle_watts = 0;                // While it is on.
  double watts_per_stream = 0;          // For each running stream.
  double joules_per_prefill_token = 0;  // Spent while a prompt is computed.
  auto operator<=>(const PowerModel&) const = default;
};

enum class ServerRole { kMixed, kPrefill, kDecode };

// A backend server as the configuration describes it. The speeds are a first
// guess; what the server's answers show replaces them.
struct ServerSpec {
  ServerId id;
  int generation = 1;
  ServerRole role = ServerRole::kMixed;
  std::vector<ModelId> models;  // Loaded models, adapters and versions.
  double prefill_tokens_per_second = 0;
  double decode_tokens_per_second = 0;  // Of one stream on an idle server.
  // The speeds are no more than a guess, and the first answers replace them.
  bool speeds_estimated = false;
  int max_streams = 0;            // Bound of the window.
  std::int64_t kv_tokens = 0;     // Memory for running streams.
  std::int64_t cache_tokens = 0;  // Memory for kept prompt prefixes.
  PowerModel power;
  // 1 or more: how much longer than it does this server seems to take, when one
  // is chosen. Many dispatchers that see the same servers would else all choose
  // the same one before they hear of each other.
  double cost_factor = 1;
  // How many other dispatchers are likely to choose this server whenever this
  // one does, and are heard of too late.
  double expected_competitors = 0;
  bool operator==(const ServerSpec&) const = default;
};

// A workspace's share and limits.
struct WorkspaceSpec {
  WorkspaceId id;
  double weight = 1;
  int max_waiting = 1000;
  std::int64_t max_waiting_bytes = 64 << 20;
  double tokens_per_second = 0;  // 0: no limit.
  int max_concurrent = 0;        // 0: no limit.
  bool operator==(const WorkspaceSpec&) const = default;
};

// What a deployment weighs more; both are at least 0 and one is positive.
struct Weights {
  double goodput = 1;
  double wasted_prefill = 1;
  auto operator<=>(const Weights&) const = default;
};

// --- Events -----------------------------------------------------------------

// One block of a prompt, as the engines hash it: the hash of the block and of
// all before it. Blocks have kPrefixBlockTokens tokens.
using PrefixHash = std::uint64_t;
inline constexpr int kPrefixBlockTokens = 64;

// One of the depths at which a prompt's beginning is looked up in the picture
// of a cache: the hash of all up to it, and how many tokens that is.
struct PrefixMark {
  PrefixHash hash = 0;
  int tokens = 0;
  auto operator<=>(const PrefixMark&) const = default;
};

// A request as its entry host describes it; the body stays there.
struct Request {
  RequestId id;
  EntryHostId host;
  WorkspaceId workspace;
  ModelId model;  // Empty for a plain service.
  Tier tier;
  absl::Time arrival;
  absl::Time deadline;
  int prompt_tokens = 0;
  int max_output_tokens = 0;  // The caller's own bound; 0: none.
  std::int64_t body_bytes = 0;
  std::vector<PrefixHash> prefix;  // Empty when not known.
  // In place of `prefix`, from callers that cut their prompts themselves: the
  // end of each part, shallow first.
  std::vector<PrefixMark> parts;
  // When its first token must be out to be in time.
  absl::Time first_token_deadline = absl::InfiniteFuture();
  int expected_output_tokens = 0;  // The caller's estimate; 0: none.
  ServerId avoid;                  // It failed there before; empty: none.
  bool operator==(const Request&) const = default;
};

struct RequestArrived {
  Request request;
};

// The caller closed its connection, or its entry host is gone.
struct CallerDisconnected {
  RequestId id;
};

// Sent by an entry host to a new dispatcher, for what is already on a server.
struct RequestRunning {
  Request request;
  ServerId server;
  int output_tokens = 0;
  // Another dispatcher has granted it just now: its times teach this one too.
  bool just_sent = false;
};

// Tokens have come back so far; sent for the first token and then now and then.
struct TokensStreamed {
  RequestId id;
  int output_tokens = 0;
};

enum class RequestOutcome {
  kComplete,
  kFailed,     // The server broke off, or answered an error.
  kNotSent,    // Certain: the server never received it.
  kShed,       // Certain: the server had no room and has not run it.
  kCancelled,  // After a Cancel decision or a CallerDisconnected.
};

struct RequestFinished {
  RequestId id;
  RequestOutcome kind = RequestOutcome::kComplete;
  int output_tokens = 0;
  int cached_prompt_tokens = 0;  // As the engine reports; 0 if it doesn't.
};

// A server's own report of its load; old when it arrives.
struct LoadReported {
  ServerId server;
  absl::Time measured;
  int running = 0;
  int queued = 0;
  std::int64_t kv_used_tokens = 0;
};

// A server's load as told with one of its answers: as it is now but for the
// way back.
struct ResponseLoadReported {
  ServerId server;
  int running = 0;
  int queued = 0;
};

// Prefix blocks came into a server's cache or left it. `sequence` counts a
// server's events; a gap means that some were lost.
struct CacheChanged {
  ServerId server;
  std::uint64_t sequence = 0;
  std::vector<PrefixHash> added;
  std::vector<PrefixHash> removed;
  bool cleared = false;
};

// What other dispatchers have running on a server, as they tell it themselves
// several times a second.
struct PeerLoadReported {
  ServerId server;
  int running = 0;
};

// How many times slower than expected a server is, as others have learnt it.
struct PeerSlowdownReported {
  ServerId server;
  double prefill = 1;
  double decode = 1;
};

enum class ServerHealth { kAlive, kSuspect, kDead, kLeaving };

struct ServerHealthChanged {
  ServerId server;
  ServerHealth health = ServerHealth::kAlive;
};

// The servers of this service and zone, after a change of configuration. Those
// that are missing take nothing new; what runs on them goes on.
struct ServersConfigured {
  std::vector<ServerSpec> servers;
};

struct WorkspacesConfigured {
  std::vector<WorkspaceSpec> workspaces;
};

// What this dispatcher's servers may draw together from now on.
struct PowerShareChanged {
  double watts = 0;
};

// Nothing happened but that time passed.
struct TimePassed {};

using Event =
    std::variant<RequestArrived, CallerDisconnected, RequestRunning,
                 TokensStreamed, RequestFinished, LoadReported,
                 ResponseLoadReported, PeerLoadReported, PeerSlowdownReported,
                 CacheChanged, ServerHealthChanged, ServersConfigured,
                 WorkspacesConfigured, PowerShareChanged, TimePassed>;

// --- Decisions --------------------------------------------------------------

// `host` sends request `id` to `server` now.
struct Grant {
  RequestId id;
  EntryHostId host;
  ServerId server;
  bool operator==(const Grant&) const = default;
};

// Final: the request was not run. The caller may come back after
// `retry_after`.
struct Refuse {
  RequestId id;
  EntryHostId host;
  Code code = Code::kInternal;
  absl::Duration retry_after;
  bool operator==(const Refuse&) const = default;
};

// Stops a running request on its server; RequestFinished follows.
struct Cancel {
  RequestId id;
  EntryHostId host;
  Code code = Code::kInternal;
  absl::Duration retry_after;
  bool operator==(const Cancel&) const = default;
};

using Decision = std::variant<Grant, Refuse, Cancel>;

// Anything that can be driven by events: the product's Dispatcher and, in the
// replay, its baselines.
template <typename P>
concept DispatchPolicy = requires(P policy, const Event& event, absl::Time now,
                                  std::vector<Decision>* decisions,
                                  const P& fixed) {
  // Appends the decisions that `event` leads to, in order.
  policy.Handle(event, now, decisions);
  // When TimePassed is due at the latest; InfiniteFuture() if never.
  { fixed.NextWakeup() } -> std::same_as<absl::Time>;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_MESSAGES_H_
