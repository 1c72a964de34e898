// Reads a caller's HTTP message into a checked value, or says with a numbered
// error what is wrong with it. Knows the configuration, no network.

#ifndef GENTIANLB_ENTRY_CALLER_REQUEST_H_
#define GENTIANLB_ENTRY_CALLER_REQUEST_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "base/result.h"
#include "entry/config_index.h"
#include "http/server.h"
#include "schedule/messages.h"

namespace gentianlb::entry {

// Bytes of prompt text that count as one token; the engines' protocol.
inline constexpr int kBytesPerToken = 4;

struct CallerRequest {
  WorkspaceId workspace;
  ServiceId service;
  config::ServiceKind kind = config::ServiceKind::kModel;
  ModelId model;
  Tier tier;
  absl::Duration deadline;  // From the arrival.
  IdempotencyKey key;       // Empty: none was sent.
  int attempt = 0;          // The caller's count of its tries; 0: not marked.
  bool idempotent = true;   // Whether repeating it does no harm.
  bool keys_carry_time = false;
  bool stream = false;  // The caller wants server-sent events.
  int prompt_tokens = 0;
  int max_output_tokens = 0;  // 0: not bounded by the caller.
  std::vector<schedule::PrefixHash> prefix;
  std::string method;
  std::string path;                   // As the server gets it, with the query.
  std::vector<http::Header> headers;  // Passed on to the server.
  std::string body;
  bool operator==(const CallerRequest&) const = default;
};

// The hash of each whole block of `text`, as docs/PROTOCOLS.md defines it.
std::vector<schedule::PrefixHash> HashPrefix(std::string_view text);

// Checks everything; what it returns can be scheduled.
Result<CallerRequest> ReadCallerRequest(const http::Request& request,
                                        const ConfigIndex& config);

}  // namespace gentianlb::entry

#endif  // GENTIANLB_ENTRY_CALLER_REQUEST_H_
