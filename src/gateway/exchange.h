// The state of one request, from its arrival to the end of its response.

#ifndef GENTIANLB_GATEWAY_EXCHANGE_H_
#define GENTIANLB_GATEWAY_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/byte_budget.h"
#include "base/timer_service.h"
#include "gateway/event_splitter.h"
#include "gateway/messages.h"
#include "gateway/pause_meter.h"
#include "gateway/quota.h"
#include "gateway/route_index.h"
#include "gateway/send_state.h"
#include "gateway/stream_messages.h"
#include "http/messages.h"

namespace gentianlb::gateway {

// Identifies an exchange on this host.
using ExchangeId = std::uint64_t;

// Identifies one sending of a request on this host.
using SendId = std::uint64_t;

// One attempt to have a server run the request.
struct Attempt {
  RequestId dispatch_id;  // The dispatcher's id; empty if not dispatched.
  std::optional<ServerEntry> server;  // Set once the dispatcher granted one.
  ServerPath path;
  int failed_paths = 0;  // Paths to the server on which nothing could be sent.
  absl::Time sent_at;
  SendId send = 0;                // 0 unless its response is awaited.
  http::TransferId transfer = 0;  // Of the last send.
  ResponseHead head;
  bool has_begun = false;  // A byte of the response has arrived.
  bool has_head = false;
  bool complete = false;        // The whole response has arrived.
  bool foreign_answer = false;  // A head came that isn't for this request.
  // The body after such a head, as long as it may be that of a server that ends
  // as it begins to write. None of it is relayed.
  std::optional<EventSplitter> unidentified;
  TimerId unidentified_timer = 0;     // When it is no longer waited for.
  bool first_event_reported = false;  // To the dispatcher.
  int events_before = 0;              // Of the stream, by earlier attempts.
  PauseMeter pauses;                  // Of the events of this attempt alone.
};

struct Exchange {
  ExchangeId id = 0;
  std::shared_ptr<const CallerRequest> request;
  std::shared_ptr<http::Responder> responder;

  // The configuration version that this request uses to its end.
  std::shared_ptr<const RouteIndex> index;
  const Route* route = nullptr;
  const Workspace* workspace = nullptr;  // Null on a route without keys.
  const Service* service = nullptr;
  ServiceId pool;  // The pool of the service's servers that runs the request.
  Tier tier;
  schedule::ContentHash content = schedule::kNoContent;
  std::vector<schedule::PromptPart> parts;  // Of its prompt.

  absl::Time arrival;
  absl::Time deadline;  // The earlier of the caller's and the route's.
  TimerId deadline_timer = 0;
  TimerId caller_check_timer = 0;  // Of a stream: the next check of its caller.
  bool caller_unresponsive = false;  // At the last check.

  double quota_tokens = 0;  // Taken from the workspace's limit; 0 once sent.
  std::optional<LimitRefusal> over_limit;

  Attempt attempt;
  int attempts = 0;          // Attempts sent to a server.
  int shed_attempts = 0;     // Attempts that the server did not run.
  bool retry_taken = false;  // From the budget, for an attempt not yet sent.
  SendState sends;

  std::string body;  // Of a plain response, until it is complete.
  // That, the answer's head, and events that are not complete.
  std::unique_ptr<HeldBytes> held;
  EventSplitter splitter{0};
  bool responding = false;  // The response's head was sent to the caller.
  // Version of the software that wrote the stream's first event, at which alone
  // it may go on; empty: not known, or none is stated.
  std::string stream_version;
  bool finds_version = false;  // It waits until the version is found.
  absl::Time first_event = absl::InfinitePast();
  // Of the events of all attempts, as the caller sees them.
  PauseMeter pauses;

  // Returns 0 for a plain call.
  int prompt_tokens() const {
    return request->prompt ? request->prompt->prompt_tokens : 0;
  }

  bool is_stream() const { return route->kind == RouteKind::kStream; }

  // Returns the id under which hosts remember the stream's version.
  StreamId stream() const {
    return StreamIdOf(request->takes_up_stream() ? request->first_attempt
                                                 : request->id);
  }

  // Returns whether its stream may go on at `server`.
  bool Fits(const ServerEntry& server) const {
    return stream_version.empty() || stream_version == server.version;
  }

  // Returns whether a retry is allowed when an earlier attempt may have run.
  bool safe_to_retry() const {
    return route->kind == RouteKind::kIdempotent ||
           (is_stream() && route->resumable);
  }
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_EXCHANGE_H_
