// Orders to backend servers, and what their engines say; the wire form stands
// in docs/PROTOCOLS.md.

#ifndef GENTIANLB_ORDERS_MESSAGES_H_
#define GENTIANLB_ORDERS_MESSAGES_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "config/plan.h"

namespace gentianlb::orders {

// Grows with every holder of the lease; an engine that checks refuses a lower
// one than the highest that it has seen.
using Fence = std::int64_t;

struct Order {
  std::string id;  // The engine carries out the same id once.
  Fence fence = 0;
  config::OrderKind kind = config::OrderKind::kLoad;
  ModelId model;  // Of a load or unload.
  schedule::ServerRole role = schedule::ServerRole::kMixed;
  bool operator==(const Order&) const = default;
};

// What an engine has loaded.
struct EngineState {
  std::vector<ModelId> models;
  schedule::ServerRole role = schedule::ServerRole::kMixed;
  bool operator==(const EngineState&) const = default;
};

enum class OrderReply {
  kAccepted,
  kStaleFence,  // The engine has seen a later holder.
  kRefused,     // Certainly not taken, for another reason.
  kUnknown,     // The answer was lost; it may have been taken.
};

enum class OrderProgress { kRunning, kDone, kFailed, kUnknownOrder };

// Each call answers once, later, on the control thread; with an error when the
// engine gave no answer in time.
template <typename E>
concept EngineService =
    requires(E engine, ServerId server, Order order, std::string id,
             std::function<void(Outcome<EngineState>)> state,
             std::function<void(OrderReply)> reply,
             std::function<void(Outcome<OrderProgress>)> progress) {
  engine.ReadState(server, state);
  engine.SendOrder(server, order, reply);
  engine.ReadProgress(server, id, progress);
};

}  // namespace gentianlb::orders

#endif  // GENTIANLB_ORDERS_MESSAGES_H_
