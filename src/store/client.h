// Client of the platform's table service, object store and host list. It is
// owned by the control thread. Transfers run on the HTTP client's thread, and
// no call blocks.

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
  // Entry host and incarnation. Makes the tokens of this client's groups unique
  // across restarts.
  std::string host_name;
  GateOptions gate;
  GroupOptions group;
  // Timeout of one attempt. An answer normally takes a few milliseconds. After
  // the timeout it counts as lost, and the same token is sent again to learn
  // the result.
  absl::Duration attempt_timeout = absl::Milliseconds(500);
  // Timeout of a call with all its retries. Longer than a lost answer and its
  // retry, shorter than an interactive caller waits.
  absl::Duration deadline = absl::Seconds(2);
  // Maximum number of waiting calls. Further calls fail at once and are
  // certainly not applied.
  std::size_t max_waiting = 10000;
};

struct ClientCounters {
  GateCounters gate;
  std::uint64_t transactions = 0;  // Commits requested by callers.
  std::uint64_t commits = 0;       // Commits sent for them, grouped.
  // Retries with the same token after a lost answer.
  std::uint64_t token_retries = 0;
  // The platform is down, or too many calls wait.
  std::uint64_t rejected_immediately = 0;
  auto operator<=>(const ClientCounters&) const = default;
};

// Implements TableService. A transaction without a token may be committed in a
// group with others; after kUnknown its caller reads the rows back. A
// transaction with a token is committed alone, and the caller may submit it
// again with the same token.
class Client {
 public:
  // Runs a closure on the control thread.
  using Post = std::function<void(std::function<void()>)>;

  // `http` and `timers` outlive this object.
  Client(ClientOptions options, http::Client* http, TimerService* timers,
         Post post);
  ~Client();  // Waiting callers are not called back.
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Commit(Transaction transaction, std::function<void(CommitResult)> done);
  void Read(std::vector<std::string> keys,
            std::function<void(ReadResult)> done);
  // Reads all rows whose keys start with `prefix`, page by page.
  void Scan(std::string prefix, std::function<void(ReadResult)> done);

  void PutObject(std::string_view name, std::string bytes,
                 std::function<void(std::optional<Error>)> done);
  void GetObject(std::string_view name,
                 std::function<void(Outcome<std::string>)> done);
  void ListHosts(std::function<void(Outcome<std::vector<ListedHost>>)> done);

  // Sets the number of entry hosts that share the platform's rate limits, this
  // one included.
  void SetLiveHosts(int hosts);

  // Sets the callback for an outage or recovery of the platform.
  void OnStateChange(std::function<void(bool up)> callback);
  bool up() const;
  ClientCounters counters() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace gentianlb::store

#endif  // GENTIANLB_STORE_CLIENT_H_
