// Recorded traces: what callers asked, and what befell servers and power, as
// JSON Lines (docs/TRACES.md). A trace that is misread would prove the wrong
// thing without a sign of it, so every line is checked as a whole and an error
// names the line.

#ifndef GENTIANLB_REPLAY_TRACE_H_
#define GENTIANLB_REPLAY_TRACE_H_

#include <iosfwd>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "base/result.h"
#include "replay/deployment.h"
#include "schedule/messages.h"

namespace gentianlb::replay {

// Part of a prompt's head. Segments of the same name hold the same text.
struct PrefixSegment {
  std::string name;
  int tokens = 0;  // A multiple of schedule::kPrefixBlockTokens.
  auto operator<=>(const PrefixSegment&) const = default;
};

// One request of a caller. What follows its prefix in the prompt is its own.
struct TraceRequest {
  RequestId id;
  WorkspaceId workspace;
  ServiceId service;
  Tier tier;
  absl::Duration deadline;  // After the arrival.
  int prompt_tokens = 0;
  std::vector<PrefixSegment> prefix;
  int max_output_tokens = 0;  // The caller's own bound; 0: none.
  int output_tokens = 0;      // How long the answer is.
  bool operator==(const TraceRequest&) const = default;
};

// The caller closes its connection.
struct TraceCancel {
  RequestId id;
  bool operator==(const TraceCancel&) const = default;
};

// The server goes on at `speed` times its usual speeds.
struct TraceServerSlow {
  ServerId server;
  double speed = 1;
  bool operator==(const TraceServerSlow&) const = default;
};

// The server's process dies, with its streams and its cache.
struct TraceServerDead {
  ServerId server;
  bool operator==(const TraceServerDead&) const = default;
};

// The server is whole again.
struct TraceServerBack {
  ServerId server;
  bool operator==(const TraceServerBack&) const = default;
};

// The site's cap from now on.
struct TracePowerCap {
  double watts = 0;
  bool operator==(const TracePowerCap&) const = default;
};

using TraceBody = std::variant<TraceRequest, TraceCancel, TraceServerSlow,
                               TraceServerDead, TraceServerBack, TracePowerCap>;

struct TraceEvent {
  absl::Duration at;  // After the start; whole microseconds.
  TraceBody body;
  bool operator==(const TraceEvent&) const = default;
};

struct Trace {
  std::string deployment;
  std::string note;  // Where it comes from, for people.
  std::vector<TraceEvent> events;
  bool operator==(const Trace&) const = default;
};

// Reads a whole trace of `deployment`, whose services, servers and workspaces
// are the ones it may name, or fails with kBadTrace and the number of the line.
Result<Trace> ReadTrace(std::istream& input, const Deployment& deployment);

// Reads the file at `path`; kFileUnreadable when there is none.
Result<Trace> ReadTraceFile(const std::string& path,
                            const Deployment& deployment);

void WriteTrace(const Trace& trace, std::ostream& output);

// The hashes of the prompt's whole blocks, from its segments and, for its own
// words, from its id.
std::vector<schedule::PrefixHash> PrefixChain(const TraceRequest& request);

}  // namespace gentianlb::replay

#endif  // GENTIANLB_REPLAY_TRACE_H_
