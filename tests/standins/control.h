// The switches and counters of a stand-in, behind its control path.

#ifndef GENTIANLB_STANDINS_CONTROL_H_
#define GENTIANLB_STANDINS_CONTROL_H_

#include <json/json.h>

#include <cstdint>
#include <deque>
#include <string>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace gentianlb::standins {

// Thread-safe.
class Control {
 public:
  // `defaults` names every switch there is, and its type by its value.
  explicit Control(Json::Value defaults);

  // Changes switches, all or none. Returns what is wrong, or an empty text.
  std::string Update(const Json::Value& changes);

  bool Flag(const std::string& name) const;
  double Number(const std::string& name) const;
  std::string Text(const std::string& name) const;
  Json::Value Value(const std::string& name) const;

  // The value that `name` had `lag` ago.
  Json::Value ValueAgo(const std::string& name, absl::Duration lag) const;

  // A switch whose value is in milliseconds.
  absl::Duration Milliseconds(const std::string& name) const;

  // Takes one from a switch that counts down; false when it is at zero.
  bool TakeOne(const std::string& name);

  void Count(const std::string& counter, std::int64_t by = 1);

  // Counts one for `key` in a table of counters. An empty key counts nothing.
  std::int64_t CountIn(const std::string& table, const std::string& key);

  // Adds to a list, such as the orders that were carried out.
  void Append(const std::string& list, const Json::Value& entry);

  // Everything, as GET /control shows it.
  Json::Value Show() const;

 private:
  // All switches as they were from `since` on.
  struct Version {
    absl::Time since;
    Json::Value switches;
  };

  mutable absl::Mutex mutex_;
  Json::Value switches_ ABSL_GUARDED_BY(mutex_);
  std::deque<Version> versions_ ABSL_GUARDED_BY(mutex_);  // Oldest first.
  Json::Value counters_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace gentianlb::standins

#endif  // GENTIANLB_STANDINS_CONTROL_H_
