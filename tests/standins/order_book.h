// The orders a model engine has taken, its models and its role.

#ifndef GENTIANLB_STANDINS_ORDER_BOOK_H_
#define GENTIANLB_STANDINS_ORDER_BOOK_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace gentianlb::standins {

struct Order {
  std::int64_t fence = 0;
  std::string id;
  std::string kind;  // load, unload or role
  std::string model;
  std::string role;
  bool operator==(const Order&) const = default;
};

enum class OrderState { kUnknown, kRunning, kDone, kFailed };

enum class OrderVerdict { kTaken, kRepeated, kStale, kMalformed };

// Not thread-safe.
class OrderBook {
 public:
  // Takes an order, to be carried out by Finish(). An engine that checks
  // refuses a fencing number below the highest it has seen.
  OrderVerdict Take(const Order& order, bool check_fence);

  // Carries the order out, or gives it up.
  void Finish(const std::string& id, bool works);

  OrderState StateOf(const std::string& id) const;
  std::int64_t highest_fence() const { return highest_fence_; }
  const std::set<std::string>& models() const { return models_; }
  const std::string& role() const { return role_; }
  void AddModel(const std::string& model) { models_.insert(model); }

 private:
  struct Entry {
    Order order;
    OrderState state = OrderState::kRunning;
  };

  std::int64_t highest_fence_ = 0;
  std::map<std::string, Entry> entries_;
  std::set<std::string> models_;
  std::string role_ = "both";
};

}  // namespace gentianlb::standins

#endif  // GENTIANLB_STANDINS_ORDER_BOOK_H_
