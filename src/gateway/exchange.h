// One request of a caller, from its arrival to the end of its answer.

#ifndef GENTIANLB_GATEWAY_EXCHANGE_H_
#define GENTIANLB_GATEWAY_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "base/timer_service.h"
#include "gateway/event_splitter.h"
#include "gateway/messages.h"
#include "gateway/route_index.h"
#include "http/server.h"

namespace gentianlb::gateway {

// Names an exchange on this host.
using ExchangeId = std::uint64_t;

// One sending of the request to a server.
struct Attempt {
  RequestId dispatch_id;  // What the dispatcher calls it; empty: none is open.
  std::optional<ServerEntry> server;  // Once granted.
  http::TransferId transfer = 0;      // While it is under way.
  ResponseHead head;
  bool head_received = false;
  bool first_event_reported = false;  // To the dispatcher.
};

struct Exchange {
  ExchangeId id = 0;
  std::shared_ptr<const CallerRequest> request;
  std::shared_ptr<http::Responder> responder;

  // The version of the configuration that holds for it to its end.
  std::shared_ptr<const RouteIndex> index;
  const Route* route = nullptr;
  const Workspace* workspace = nullptr;  // Null on a route without keys.
  const Service* service = nullptr;
  Tier tier;

  absl::Time arrival;
  absl::Time deadline;  // The caller's or the route's, whichever is sooner.
  TimerId deadline_timer = 0;

  double quota_tokens = 0;  // Of its workspace's limit, until it is sent.

  Attempt attempt;
  int attempts = 0;           // Sent to a server, whatever came of it.
  int shed_attempts = 0;      // Of them, certainly not run.
  bool may_have_run = false;  // One of the earlier ones.

  std::string body;  // Of a plain answer, until it is whole.
  EventSplitter splitter{0};
  bool response_started = false;  // The caller has got the head of the answer.
  absl::Time first_event = absl::InfinitePast();

  // 0 for a plain call.
  int prompt_tokens() const {
    return request->prompt ? request->prompt->prompt_tokens : 0;
  }

  bool is_stream() const { return route->kind == RouteKind::kStream; }

  // Whether it may be sent again although the last sending may have run.
  bool safe_to_retry() const {
    return route->kind == RouteKind::kIdempotent ||
           (is_stream() && route->resumable);
  }
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_EXCHANGE_H_
