// Orders to backend servers and the replies of their engines. The wire format
// is described in docs/PROTOCOLS.md.

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

// A fencing number. It increases with every new holder of the lease; an engine
// that checks it refuses numbers below the highest that it has seen.
using Fence = std::int64_t;

struct Order {
  std::string id;  // The engine executes each id once.
  Fence fence = 0;
  config::OrderKind kind = config::OrderKind::kLoad;
  ModelId model;  // For loads and unloads.
  schedule::ServerRole role = schedule::ServerRole::kMixed;
  bool operator==(const Order&) const = default;
};

// The models and the role of an engine.
struct EngineState {
  std::vector<ModelId> models;
  schedule::ServerRole role = schedule::ServerRole::kMixed;
  bool operator==(const EngineState&) const = default;
};

// The reply of an engine to an order.
enum class OrderReply {
  kAccepted,
  kStaleFence,  // The engine has seen a higher fencing number.
  kRefused,     // Certainly not accepted, for another reason.
  kUnknown,     // The reply was lost; the order may have been accepted.
};

enum class OrderProgress { kRunning, kDone, kFailed, kUnknownOrder };

// Calls to the engines. Each call runs its callback once, later, on the control
// thread. If the engine does not respond in time, ReadState and ReadProgress
// give an error and SendOrder gives kUnknown.
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
