// What passes between the gateway and the wire: a caller's request, what is
// sent to a backend server, and what comes back. Whoever speaks a platform's
// protocol fills these in; nothing here knows how they look on the wire.

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
#include "base/ids.h"
#include "base/result.h"
#include "http/client.h"
#include "schedule/messages.h"
#include "settings/units.h"

namespace gentianlb::gateway {

// What a request asks of a model.
struct Prompt {
  ModelId model;
  int prompt_tokens = 0;
  int max_output_tokens = 0;       // 0: not told.
  int expected_output_tokens = 0;  // The caller's estimate; 0: none.
  // The prompt's parts in order, as depths: each hash stands for its part and
  // all before it.
  std::vector<schedule::PrefixMark> parts;
  bool operator==(const Prompt&) const = default;
};

// A request as its caller sent it, decoded.
struct CallerRequest {
  RequestId id;  // The caller's own; each of its tries has another.
  std::string method;
  std::string target;                 // Path and query, byte for byte.
  std::string host;                   // Without a port.
  std::string path;                   // Of `target`, not decoded.
  std::vector<http::Header> headers;  // To be passed on as they are.
  std::string body;
  std::string key;  // The workspace's; empty when none was sent.
  absl::Duration time_left = absl::InfiniteDuration();  // By the caller.
  std::optional<Prompt> prompt;
  std::int64_t last_event = 0;  // A resumed stream goes on after it; 0: whole.
};

// A backend server that can be sent to. `started` tells a restarted one from
// the one before under the same id.
struct ServerEntry {
  ServerId id;
  ServiceId service;
  ZoneId zone;
  settings::Endpoint address;
  int streams = 1;           // Requests that it runs at once.
  bool draining = false;     // Takes nothing new.
  std::int64_t started = 0;  // Milliseconds since the epoch; 0: not told.
  bool operator==(const ServerEntry&) const = default;
};

// One sending of a request to one server.
struct ServerCall {
  std::shared_ptr<const CallerRequest> request;
  ServerEntry server;
  WorkspaceId workspace;
  absl::Duration time_left;
  std::int64_t last_event = 0;  // As in CallerRequest, of this sending.
};

// The load of a server as it stood when it answered.
struct ServerLoad {
  int running = 0;
  int waiting = 0;
  auto operator<=>(const ServerLoad&) const = default;
};

// The head of a server's answer.
struct AnswerHead {
  int status = 0;
  std::vector<http::Header> headers;  // To be passed on to the caller.
  bool is_own = true;                 // False: it answers another request.
  bool signed_ = false;               // A server of the platform made it.
  bool not_run = false;  // The server has not run the request, and never will.
  bool wrong_server = false;  // Another server has this address now.
  bool closing = false;       // The server is about to leave.
  std::optional<ServerLoad> load;
  bool operator==(const AnswerHead&) const = default;
};

// What comes back from one sending, in this order. After a head that is not
// wanted nothing but the end follows.
struct CallSink {
  std::function<http::ReadAction(AnswerHead head)> on_head;
  std::function<void(std::string_view bytes)> on_data;
  std::function<void(http::TransferEnd end, std::string detail)> on_end;
};

// Sends requests to backend servers; fulfilled by the platform's adapter over
// HTTP, and by fakes in tests.
struct ServerPort {
  std::function<http::TransferId(ServerCall call, CallSink sink)> send;
  // Closes the connection, which stops the server's work.
  std::function<void(http::TransferId id)> cancel;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_MESSAGES_H_
