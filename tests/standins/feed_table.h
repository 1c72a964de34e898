// Stands in for the users' table service, as platform/ speaks to it: rows with
// a common version, whole reads, and a feed that waits for changes.

#ifndef GENTIANLB_STANDINS_FEED_TABLE_H_
#define GENTIANLB_STANDINS_FEED_TABLE_H_

#include <json/json.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "http/server.h"
#include "standins/timer_queue.h"

namespace gentianlb::standins {

class FeedTable {
 public:
  // Listens on a port that the kernel picks.
  FeedTable();

  std::uint16_t port() const { return server_->port(); }

  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);

  // While down, every call gets a 503 and nothing takes effect.
  void SetDown(bool down);
  // Changes up to now are no longer told; whoever asks for them gets a 410.
  void DropHistory();

  // Rows of one response to a read; the rest takes further calls.
  void SetPageRows(int rows);

  // Rows of a table, for the test to look at.
  std::vector<std::string> Keys(const std::string& table) const;

 private:
  using Answer = std::shared_ptr<http::Responder>;
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };
  struct Waiter {
    std::string table;
    std::uint64_t since = 0;
    Answer answer;
  };

  void Handle(const http::Request& request, const Answer& answer);
  void Read(const http::Request& request, const Answer& answer);
  void Follow(const http::Request& request, const Answer& answer);
  void Write(const http::Request& request, const Answer& answer);
  void Set(const std::string& table, const std::string& key, Row row)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns the fields of all responses about rows.
  Json::Value Body() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void RespondUnchanged(http::Responder& answer) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // True when there was a change to tell.
  bool Tell(const Waiter& waiter) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  mutable absl::Mutex mutex_;
  std::map<std::pair<std::string, std::string>, Row> rows_
      ABSL_GUARDED_BY(mutex_);
  std::vector<Waiter> waiters_ ABSL_GUARDED_BY(mutex_);
  std::uint64_t version_ ABSL_GUARDED_BY(mutex_) = 1;
  std::uint64_t oldest_ ABSL_GUARDED_BY(mutex_) = 0;
  int page_rows_ ABSL_GUARDED_BY(mutex_) = 500;
  bool down_ ABSL_GUARDED_BY(mutex_) = false;
  TimerQueue timers_;
  std::unique_ptr<http::Server> server_;  // Ends first.
};

}  // namespace gentianlb::standins

#endif  // GENTIANLB_STANDINS_FEED_TABLE_H_
