// The messages between the gateway and a platform's adapter: a caller's
// request, a call of a backend server and the server's response. The adapter
// translates them to and from the platform's protocol.

#ifndef GENTIANLB_GATEWAY_MESSAGES_H_
#define GENTIANLB_GATEWAY_MESSAGES_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "base/byte_budget.h"
#include "base/ids.h"
#include "base/result.h"
#include "http/client.h"
#include "schedule/messages.h"
#include "settings/units.h"

namespace gentianlb::gateway {

// The fields of a request that concern a model.
struct Prompt {
  ModelId model;
  int prompt_tokens = 0;
  int max_output_tokens = 0;       // 0: not stated.
  int expected_output_tokens = 0;  // The caller's estimate; 0: none.
  // In order. Requests share parts; the last one is the request's own, or its
  // session's.
  std::vector<schedule::PromptPart> parts;
  bool operator==(const Prompt&) const = default;
};

// A caller's request, decoded.
struct CallerRequest {
  RequestId id;  // From the caller; each retry by the caller has another id.
  std::string method;
  std::string target;                 // Path and query, byte for byte.
  std::string host;                   // Without a port.
  std::string path;                   // Of `target`, not decoded.
  std::vector<http::Header> headers;  // Forwarded unchanged.
  std::string body;
  std::shared_ptr<HeldBytes> held;  // What the body takes of the budget.
  std::string key;  // The workspace's API key; empty if none was sent.
  absl::Duration time_left = absl::InfiniteDuration();  // Set by the caller.
  std::optional<Prompt> prompt;
  std::int64_t last_event = 0;  // A stream resumes after this event; 0: start.
  // The caller's attempt that got the first event of that stream; empty: not
  // stated.
  RequestId first_attempt;

  // Returns whether it takes up a stream of which the caller got a part.
  bool takes_up_stream() const {
    return last_event > 0 && !first_attempt.empty();
  }
};

// A registered backend server. `started` distinguishes a restarted server from
// its predecessor with the same id.
struct ServerEntry {
  ServerId id;
  ServiceId service;
  ZoneId zone;
  settings::Endpoint address;
  int streams = 1;           // Requests that it runs concurrently.
  bool draining = false;     // Accepts no new requests.
  std::int64_t started = 0;  // Milliseconds since the epoch; 0: not stated.
  std::string version;       // Of its software.
  absl::Duration cold_left;  // How long it stays slow after its registration.
  bool operator==(const ServerEntry&) const = default;
};

// Returns whether a server has started anew between two registrations. If one
// of them doesn't state when it started, it is taken for the same: to forget
// what a server that runs on has asked for would send it more than it takes.
inline bool IsRestart(std::int64_t started_before, std::int64_t started_now) {
  const bool stated = started_before != 0 && started_now != 0;
  return stated && started_before != started_now;
}
inline bool IsRestart(const ServerEntry& before, const ServerEntry& now) {
  return IsRestart(before.started, now.started);
}

// A server that has said in a response that it is about to leave.
struct LeavingServer {
  ServerId server;
  std::int64_t started = 0;  // As in ServerEntry.
  absl::Duration age;        // Since it said so first.
  bool operator==(const LeavingServer&) const = default;
};

// A cooldown that a server has asked of a host through whose tunnel the
// response went to a peer.
struct TunnelledCooldown {
  ServerId server;
  std::int64_t started = 0;  // As in ServerEntry.
  absl::Duration left;
  bool operator==(const TunnelledCooldown&) const = default;
};

// How a request gets to a server.
struct ServerPath {
  EntryHostId peer;          // Tunnels the connection; empty: a direct path.
  std::string peer_address;  // IP:PORT.
  bool direct() const { return peer.empty(); }
  // Returns the peer's name for log lines, "-" if there is none.
  std::string_view peer_name() const {
    if (direct()) return "-";
    return peer.str();
  }
  bool operator==(const ServerPath&) const = default;
};

// One attempt of a request at one server.
struct ServerCall {
  std::shared_ptr<const CallerRequest> request;
  ServerEntry server;
  ServerPath path;
  WorkspaceId workspace;
  absl::Duration time_left;
  std::int64_t last_event = 0;  // As in CallerRequest, for this attempt.
  // Sent on a connection that carries no other request.
  bool new_connection = false;
  // Asked once the connection is made, just before the request is sent.
  std::function<bool()> may_send;
};

// A server's load at the time of its response.
struct ServerLoad {
  int running = 0;
  int waiting = 0;
  // How long work takes on the server's machine at this moment, relative to its
  // usual time. Changes many times a second. Nullopt: not stated.
  std::optional<double> machine_slowdown;
  auto operator<=>(const ServerLoad&) const = default;
};

// The head of a server's response.
struct ResponseHead {
  int status = 0;
  std::vector<http::Header> headers;  // Forwarded to the caller.
  bool matches_request = true;        // False: it must not be forwarded.
  // It states the id of another request: a late response to that one.
  bool names_other_request = false;
  bool names_request = false;  // It states the id of its request.
  // Other responses have come on its connection before.
  bool kept_connection = false;
  int connection_port = 0;  // On this host; 0: not known.
  bool signed_ = false;     // Made by a server of the platform.
  bool not_run = false;  // The server has not run the request and never will.
  bool wrong_server = false;  // The address belongs to another server now.
  bool closing = false;       // The server is about to leave.
  // The body has neither a length nor chunks and ends with the connection.
  bool ends_with_connection = false;
  std::string content_length;  // As stated; empty: none is.
  std::optional<ServerLoad> load;
  // Requests a second that the server takes from all hosts together;
  // schedule::kNoRequestLimit if it names no limit. Nullopt: not known.
  std::optional<double> request_limit;
  // For so long the server, which has refused the request, wants no other from
  // this host. Nullopt: it doesn't say so.
  std::optional<absl::Duration> cooldown;
  bool leaving = false;  // The server says that it is about to leave.
  bool operator==(const ResponseHead&) const = default;
};

// Receives the response to one attempt, in this order. If the receiver rejects
// the head, only on_end follows.
struct CallSink {
  std::function<http::ReadAction(ResponseHead head)> on_head;
  std::function<void(std::string_view bytes)> on_data;
  std::function<void(http::TransferEnd end, std::string detail)> on_end;
  // The first byte of the head arrived. Comes before the others.
  std::function<void()> on_first_byte;
};

// Sends requests to backend servers. Implemented by the platform's adapter over
// HTTP, and by fakes in tests.
struct ServerPort {
  std::function<http::TransferId(ServerCall call, CallSink sink)> send;
  // Closes the connection, which stops the server's work on the request.
  std::function<void(http::TransferId id)> cancel;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_MESSAGES_H_
