// The client of the platform's table service, object store and host list. It
// belongs to the control thread; transfers run on the HTTP client's thread, and
// nothing here blocks.

#ifndef GENTIANLB_STORE_CLIENT_H_
#define GENTIANLB_STORE_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/result.h"
#include "base/timer_service.h"
#include "http/client.h"
#include "store/call_gate.h"
#include "store/messages.h"
#include "store/transaction_group.h"
#include "store/wire.h"

namespace gentianlb::store {

struct ClientOptions {
  std::string address;  // IP:PORT of the platform.
  // Entry host and incarnation: makes the tokens of this client's groups
  // unique, also after a restart.
  std::string host_name;
  GateOptions gate;
  GroupOptions group;
  // One sending. A healthy answer takes a few milliseconds; after this it is
  // taken for lost, and the same token is sent again to learn what happened.
  absl::Duration attempt_timeout = absl::Milliseconds(500);
  // A call with all its retries. Longer than a lost answer and its follow-up,
  // shorter than the patience of an interactive caller.
  absl::Duration deadline = absl::Seconds(2);
  // Waiting calls beyond this fail at once, certainly not applied.
  std::size_t max_waiting = 10000;
};

struct ClientCounters {
  GateCounters gate;
  std::uint64_t transactions = 0;  // Commits asked for by callers.
  std::uint64_t commits = 0;       // Commits made of them.
  std::uint64_t follow_ups = 0;    // Same token again after a lost answer.
  std::uint64_t rejected_immediately = 0;  // Down, or too many waiting.
  auto operator<=>(const ClientCounters&) const = default;
};

// Fulfils TableService. A transaction without a token may travel in a group
// with others; after kUnknown its caller reads the rows back. One with a token
// travels alone, and may be given again with the same token.
class Client {
 public:
  // Runs a closure on the control thread.
  using Post = std::function<void(std::function<void()>)>;

  // `http` and `timers` outlive this object.
  Client(ClientOptions options, http::Client* http, TimerService* timers,
         Post post);
  ~Client();  // Callers that still wait are not called back.
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Commit(Transaction transaction, std::function<void(CommitResult)> done);
  void Read(std::vector<std::string> keys,
            std::function<void(ReadResult)> done);
  // All rows under `prefix`, page by page.
  void Scan(std::string prefix, std::function<void(ReadResult)> done);

  void PutObject(std::string_view name, std::string bytes,
                 std::function<void(std::optional<Error>)> done);
  void GetObject(std::string_view name,
                 std::function<void(Outcome<std::string>)> done);
  void ListHosts(std::function<void(Outcome<std::vector<ListedHost>>)> done);

  // How many entry hosts share the platform's rates, this one included.
  void SetLiveHosts(int hosts);

  // Called when the platform goes out or comes back.
  void OnStateChange(std::function<void(bool up)> callback);
  bool up() const;
  ClientCounters counters() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace gentianlb::store

#endif  // GENTIANLB_STORE_CLIENT_H_
