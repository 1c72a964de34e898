// Events and decisions of a Dispatcher, which orders the waiting requests of
// one service in one availability zone. A Dispatcher uses no network, thread or
// clock: it receives events with the current time and returns decisions, and
// the same events always give the same decisions.

#ifndef GENTIANLB_SCHEDULE_MESSAGES_H_
#define GENTIANLB_SCHEDULE_MESSAGES_H_

#include <compare>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "base/result.h"
#include "schedule/request_limit.h"

namespace gentianlb::schedule {

// Power consumption of one backend server, as configured by operators.
struct PowerModel {
  double idle_watts = 0;                // While it is on.
  double watts_per_stream = 0;          // Per running stream.
  double joules_per_prefill_token = 0;  // For computing a prompt.
  auto operator<=>(const PowerModel&) const = default;
};

enum class ServerRole { kMixed, kPrefill, kDecode };

// A backend server according to the configuration. The speeds are initial
// values that measured speeds replace.
struct ServerSpec {
  ServerId id;
  int generation = 1;
  ServerRole role = ServerRole::kMixed;
  std::vector<ModelId> models;  // Loaded models, adapters and versions.
  std::string version;          // Of its software; empty: not stated.
  double prefill_tokens_per_second = 0;
  double decode_tokens_per_second = 0;  // Of one stream on an idle server.
  // The speeds are mere estimates, which the first responses replace.
  bool speeds_estimated = false;
  int max_streams = 0;            // Upper bound of the window.
  std::int64_t kv_tokens = 0;     // Memory for running streams.
  std::int64_t cache_tokens = 0;  // Memory for cached prompt prefixes.
  PowerModel power;
  // Factor on the server's predicted cost when a server is chosen; at least 1.
  // Different factors keep dispatchers that see the same servers from all
  // choosing the same one before they receive each other's updates.
  double cost_factor = 1;
  // Number of peer dispatchers that are likely to choose this server at the
  // same time as this one, before their updates arrive.
  double expected_competitors = 0;
  // Part of the server's request limit that this dispatcher may use.
  double limit_share = 1;
  ZoneId zone;               // Empty: unknown.
  int tokens_per_event = 1;  // Of its streams.
  bool operator==(const ServerSpec&) const = default;
};

// Share and limits of a workspace.
struct WorkspaceSpec {
  WorkspaceId id;
  double weight = 1;
  int max_waiting = 1000;
  std::int64_t max_waiting_bytes = 64 << 20;
  double tokens_per_second = 0;  // 0: no limit.
  int max_concurrent = 0;        // 0: no limit.
  bool operator==(const WorkspaceSpec&) const = default;
};

// Weights of a deployment's two objectives. Both are at least 0 and one is
// positive.
struct Weights {
  double goodput = 1;
  double wasted_prefill = 1;
  auto operator<=>(const Weights&) const = default;
};

// --- Events -----------------------------------------------------------------

// Hash of one block of a prompt and of all blocks before it, as computed by the
// engines. A block has kPrefixBlockTokens tokens.
using PrefixHash = std::uint64_t;
inline constexpr int kPrefixBlockTokens = 64;

// A depth at which a prompt's prefix is looked up in the cache tracker: the
// hash of the prefix, and its length in tokens.
struct PrefixMark {
  PrefixHash hash = 0;
  int tokens = 0;
  auto operator<=>(const PrefixMark&) const = default;
};

// Hash of one part of a prompt, wherever it stands.
using PartHash = std::uint64_t;

// A part of a prompt, as its caller splits it.
struct PromptPart {
  PartHash hash = 0;
  int tokens = 0;
  auto operator<=>(const PromptPart&) const = default;
};

// Hash of what a request asks for. All attempts of its caller have the same.
using ContentHash = std::uint64_t;
inline constexpr ContentHash kNoContent = 0;

// A request as described by its entry host, which keeps the body.
struct Request {
  RequestId id;
  EntryHostId host;
  WorkspaceId workspace;
  ModelId model;  // Empty for a plain service.
  Tier tier;
  absl::Time arrival;
  absl::Time deadline;
  int prompt_tokens = 0;
  int max_output_tokens = 0;  // The caller's limit; 0: none.
  std::int64_t body_bytes = 0;
  std::vector<PrefixHash> prefix;  // Empty if unknown.
  // Used instead of `prefix` by callers that split their prompts themselves.
  std::vector<PromptPart> parts;
  // Deadline of the first token; InfiniteFuture() if there is none.
  absl::Time first_token_due = absl::InfiniteFuture();
  int expected_output_tokens = 0;    // The caller's estimate; 0: none.
  ServerId avoid;                    // Server of a failed attempt; empty: none.
  ContentHash content = kNoContent;  // kNoContent: unknown.
  // Version of the software of the servers that may run it; empty: any.
  std::string version;
  ZoneId zone;  // Of its entry host; empty: unknown.
  // Longest pause between two events with which its stream is in time.
  absl::Duration max_pause = absl::InfiniteDuration();
  bool operator==(const Request&) const = default;
};

struct RequestArrived {
  Request request;
};

// The caller closed its connection, or its entry host is unavailable.
struct CallerDisconnected {
  RequestId id;
};

// Reports a request that already runs on a server. Entry hosts send it to a new
// dispatcher.
struct RequestRunning {
  Request request;
  ServerId server;
  int output_tokens = 0;
  // Another dispatcher granted it just now, so its response times are valid
  // samples for this dispatcher too.
  bool just_sent = false;
};

// The request was sent later than it was granted, after connections on other
// paths had failed. Its times are not the server's.
struct RequestDelayed {
  RequestId id;
};

// The pauses between the events of one attempt's stream; zero: fewer than two
// events.
struct EventPauses {
  absl::Duration longest;
  absl::Duration typical;  // The mean without the longest one.
  bool operator==(const EventPauses&) const = default;
};

// Reports the number of tokens streamed so far. Sent for the first token, then
// from time to time.
struct TokensStreamed {
  RequestId id;
  int output_tokens = 0;
  // With the first token: the limit that the response named, or
  // kNoRequestLimit. Nullopt: not known.
  std::optional<double> request_limit;
  EventPauses pauses;
  // How long work takes on the server's machine at the moment of the response,
  // relative to its usual time. With the first token, if the response states
  // it.
  std::optional<double> machine_slowdown;
};

enum class RequestOutcome {
  kComplete,
  kFailed,     // The server aborted the response or returned an error.
  kNotSent,    // The server certainly didn't receive it.
  kShed,       // The server certainly didn't run it, for lack of capacity.
  kCancelled,  // After a Cancel decision or a CallerDisconnected.
  // The connection was lost while the server had the request: the server may
  // have ended.
  kConnectionLost,
  // Its host doesn't send it to the server that was granted, since the server
  // has asked the host for a cooldown, or leaves, unknown to the dispatcher.
  kWithheld,
};

// How far the response of one attempt had come.
enum class ResponseProgress {
  kNone,      // No byte of it had arrived.
  kBegun,     // Its head had, or its first events.
  kUnderWay,  // More had, so the server had not ended as it began to write.
};

// For so long `server` wants no request from a host.
struct ServerCooldown {
  ServerId server;
  absl::Duration left;
  bool operator==(const ServerCooldown&) const = default;
};

struct RequestFinished {
  RequestId id;
  RequestOutcome kind = RequestOutcome::kComplete;
  int output_tokens = 0;
  int cached_prompt_tokens = 0;         // From the engine; 0 if not reported.
  std::optional<double> request_limit;  // As in TokensStreamed.
  ResponseProgress progress = ResponseProgress::kNone;  // If it was lost.
  EventPauses pauses;
  std::optional<double> machine_slowdown;  // If the response states it.
  // The cooldown that the response asks for; of kWithheld, all servers to which
  // the host sends nothing for now.
  std::vector<ServerCooldown> cooldowns;
};

// Load reported by a server when polled; outdated on arrival.
struct LoadReported {
  ServerId server;
  absl::Time measured;
  int running = 0;
  int queued = 0;
  std::int64_t kv_used_tokens = 0;
};

// Load reported by a server with one of its responses; current but for the
// transit time.
struct ResponseLoadReported {
  ServerId server;
  int running = 0;
  int queued = 0;
  std::optional<double> machine_slowdown;
};

// Prefix blocks were added to a server's cache or removed from it. `sequence`
// counts the server's events; a gap means that events were lost.
struct CacheChanged {
  ServerId server;
  std::uint64_t sequence = 0;
  std::vector<PrefixHash> added;
  std::vector<PrefixHash> removed;
  bool cleared = false;
};

// Number of requests that peer dispatchers run on a server, as they publish it
// several times a second.
struct PeerLoadReported {
  ServerId server;
  int running = 0;
};

// Slowdown of a server as measured by peers: measured time over expected time.
struct PeerSlowdownReported {
  ServerId server;
  double prefill = 1;
  double decode = 1;
};

// A limit in requests a second that responses of a server named to peers.
struct PeerLimitReported {
  ServerId server;
  double per_second = kNoRequestLimit;
};

enum class ServerHealth { kAlive, kSuspect, kDead, kLeaving };

struct ServerHealthChanged {
  ServerId server;
  ServerHealth health = ServerHealth::kAlive;
};

// The servers of this service and zone, after a change of the configuration.
// Servers that are missing get no new requests; running requests go on.
struct ServersConfigured {
  std::vector<ServerSpec> servers;
};

struct WorkspacesConfigured {
  std::vector<WorkspaceSpec> workspaces;
};

// Power that this dispatcher's servers may consume together from now on.
struct PowerShareChanged {
  double watts = 0;
};

// Only time has passed.
struct TimePassed {};

using Event =
    std::variant<RequestArrived, CallerDisconnected, RequestRunning,
                 TokensStreamed, RequestFinished, LoadReported,
                 ResponseLoadReported, PeerLoadReported, PeerSlowdownReported,
                 CacheChanged, ServerHealthChanged, ServersConfigured,
                 WorkspacesConfigured, PowerShareChanged, TimePassed,
                 RequestDelayed, PeerLimitReported>;

// --- Decisions --------------------------------------------------------------

// The predicted effect of a grant on the streams of its server. All zero:
// nothing is known.
struct PauseForecast {
  int streams = 0;            // Running streams that it makes late by a pause.
  bool itself = false;        // Whether its own stream becomes late by one.
  double weight = 0;          // Of all of these, by their tiers.
  double prompt_work = 0;     // Tokens that are not computed, with its own.
  absl::Duration event_time;  // Between two events without prompts.
  absl::Duration pause;       // The longest of running streams.
  double event_work = 0;      // Prompt tokens that fit into one event.
  absl::Duration age;         // Of the last measurement.
  absl::Duration held;        // How long it waited for a better server.
  bool operator==(const PauseForecast&) const = default;
};

// `host` sends request `id` to `server` now.
struct Grant {
  RequestId id;
  EntryHostId host;
  ServerId server;
  PauseForecast pauses;  // Not sent to `host`.
  bool operator==(const Grant&) const = default;
};

// The inputs and outcome of the decision when a refused caller should retry, in
// units of work (see work.h).
struct ReturnForecast {
  bool reserved = false;    // Capacity is reserved for the retry.
  double drain_rate = 0;    // Of the pool, per second.
  double backlog = 0;       // Of the lane and of higher tiers.
  double present_rate = 0;  // Arrivals per second in the lane and in higher
  double usual_rate = 0;    // tiers, now and between bursts.
  double room = 0;          // Capacity forecast to be left within the reach.
  auto operator<=>(const ReturnForecast&) const = default;
};

// Final refusal of a request that was not run. The caller may retry after
// `retry_after`.
struct Refuse {
  RequestId id;
  EntryHostId host;
  Code code = Code::kInternal;
  absl::Duration retry_after;
  // Set by a decision of ReturnTimes. Only logged, and not sent to other hosts.
  std::optional<ReturnForecast> forecast = std::nullopt;
  bool operator==(const Refuse&) const = default;
};

// Cancels a running request; RequestFinished follows.
struct Cancel {
  RequestId id;
  EntryHostId host;
  Code code = Code::kInternal;
  absl::Duration retry_after;
  bool operator==(const Cancel&) const = default;
};

using Decision = std::variant<Grant, Refuse, Cancel>;

// A policy driven by events: Dispatcher, or one of the replay's baselines.
template <typename P>
concept DispatchPolicy = requires(P policy, const Event& event, absl::Time now,
                                  std::vector<Decision>* decisions,
                                  const P& const_policy) {
  // Appends the decisions on `event`, in order.
  policy.Handle(event, now, decisions);
  // Returns the latest time at which TimePassed is due; InfiniteFuture() if
  // never.
  { const_policy.NextWakeup() } -> std::same_as<absl::Time>;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_MESSAGES_H_
