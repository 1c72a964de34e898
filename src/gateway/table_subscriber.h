// Subscription to one table of the platform's table service: reads the whole
// table once and then receives its changes.
//
// Failures: the service is unavailable for seconds or minutes, answers slowly,
// or has dropped the history that a host still needs. A host that only waited
// would use an old copy for ever; hosts that all retried at once when the
// service returns would be refused for their rate. So failed calls are retried
// with a growing, randomized delay, a lost history makes the host read the
// table again, and the present copy stays in use meanwhile.
//
// An unresponsive service accepts a call and never answers it, while the
// connection stays open. A call that waits for half a minute then hides every
// change for that time: hosts stay on an old configuration, and the log doesn't
// show it. So a host polls with short waits while the service may be
// unresponsive, and soon requests a change that a peer has and it lacks.
//
// If hundreds of hosts polled for changes, each change would cost as many
// calls. So one host of a zone polls and propagates changes; the others apply
// them, and call the service only when a message was lost.
//
// The service may refuse one host while it answers others. So a host queries
// peers too for data that it lacks.

#ifndef GENTIANLB_GATEWAY_TABLE_SUBSCRIBER_H_
#define GENTIANLB_GATEWAY_TABLE_SUBSCRIBER_H_

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "base/retry.h"
#include "base/timer_service.h"
#include "gateway/table_availability.h"
#include "gateway/table_copy.h"
#include "gateway/table_page.h"

namespace gentianlb::gateway {

enum class TableFailure {
  kUnavailable,  // No answer, or an error.
  kHistoryGone,  // The service has dropped the changes since that version.
};

using TableAnswer = std::variant<TablePage, TableFailure>;
using TableDone = std::function<void(TableAnswer answer)>;
using TransactionDone = std::function<void(const TransactionResult& result)>;

// Interface to the table service, implemented by the platform's adapter and by
// fakes. Each call invokes its callback once.
struct TablePort {
  // Reads rows in key order, starting at key `from`.
  std::function<void(const std::string& table, const std::string& from,
                     TableDone done)>
      read;
  // Reads the changes after `since`. The service waits up to `wait` for a
  // change.
  std::function<void(const std::string& table, std::uint64_t since,
                     absl::Duration wait, TableDone done)>
      poll_changes;
  // Sets a row unconditionally. False means that the write may have failed.
  std::function<void(const std::string& table, const std::string& key,
                     const std::string& value, std::function<void(bool)> done)>
      write;
  // The same if the row has version `expected`; 0: if there is no such row.
  std::function<void(const std::string& table, const std::string& key,
                     std::uint64_t expected, const std::string& value,
                     std::function<void(bool)> done)>
      write_if;
  // Sets and drops rows unconditionally, all or none.
  std::function<void(const std::string& table, const RowChanges& changes,
                     TransactionDone done)>
      transact;
};

struct TableSubscriberOptions {
  std::string table;
  // How long a call waits for a change: as long as the service allows, since
  // each call costs it as much as a read. Keepalive probes detect a dead
  // connection.
  absl::Duration wait = absl::Seconds(29);
  // The wait while the service may be unresponsive. With the one second that an
  // answer may take, the outage is detected after two seconds, within the three
  // that hosts have after an outage.
  absl::Duration short_wait = absl::Seconds(1);
  // How much later an answer may come while this host monitors the service for
  // its peers. Then other hosts probe the service, and have the rest of the two
  // seconds to find a change and to propagate it.
  absl::Duration monitor_tolerance = absl::Milliseconds(100);
  // How much later than its peers this host may receive a change, before it
  // requests it. Messages and answers of the service take some milliseconds.
  absl::Duration lag_tolerance = absl::Milliseconds(200);
  // Minimum interval between calls. Changes come in series, as when servers are
  // replaced one after the other, so one call then returns several. Short
  // against the two seconds in which a change must be in force.
  absl::Duration interval = absl::Milliseconds(300);
  // The same for a standby.
  absl::Duration standby_interval = absl::Seconds(1);
  // Short against the two seconds in which a new version must be in force.
  RetryOptions retry = {.first_delay = absl::Milliseconds(50),
                        .max_delay = absl::Milliseconds(800)};
};

// How a host subscribes to a table.
enum class SubscriptionMode {
  kAlways,  // A call to the service always waits for changes.
  // The same with a longer interval between calls, as peers normally propagate
  // the changes.
  kStandby,
  // Peers propagate the changes. The host calls the service only for changes
  // that did not arrive.
  kPassive,
  // No live peer reaches the service. Each host probes it at random intervals,
  // and polls for its peers once it is answered.
  kProbing,
};

std::string_view NameOf(SubscriptionMode mode);

// Keeps a copy of one table and reports its changes to the owner.
class TableSubscriber {
 public:
  // Called with changed rows, or if `whole` with all rows of the table.
  using OnRows = std::function<void(const std::vector<TableRow>& rows,
                                    bool whole, absl::Time now)>;
  // Called when the service stops answering or answers again.
  using OnState = std::function<void(bool up, absl::Time now)>;
  // Called with all changes after `since` that the service returned, to
  // propagate them.
  using OnChanges =
      std::function<void(std::uint64_t since, const TablePage& page)>;

  // Called to query peers for the changes after `since`; 0: the whole table.
  // `tries` counts from 0 until this host has the data.
  using OnMissing = std::function<void(std::uint64_t since, int tries)>;

  // `timers` must outlive this object. `seed` randomizes delays.
  TableSubscriber(TableSubscriberOptions options, TablePort port,
                  TimerService* timers, std::function<absl::Time()> clock,
                  std::uint64_t seed, OnRows on_rows, OnState on_state);
  ~TableSubscriber();
  TableSubscriber(const TableSubscriber&) = delete;
  TableSubscriber& operator=(const TableSubscriber&) = delete;

  void Start();
  bool started() const { return started_; }

  // Sets whether this host always polls with short waits, to detect an
  // unresponsive service for its peers.
  void SetMonitoring(bool monitoring);
  // Returns whether it does so and the service answers in time.
  bool IsMonitoredHere() const;

  // Sets the mode and the mean interval between probes of kProbing.
  void SetMode(SubscriptionMode mode, absl::Duration probe_period);
  void SetOnChanges(OnChanges on_changes) {
    on_changes_ = std::move(on_changes);
  }
  void SetOnMissing(OnMissing on_missing) {
    on_missing_ = std::move(on_missing);
  }

  // Records the history that peers have, and requests changes that this host
  // still lacks after options.lag_tolerance.
  void RecordPeerHistory(const TableHistory& history);
  // Records when the service answered a peer. To be called before the changes
  // that the peer sends are applied.
  void RecordPeerAnswers(const AnswerAges& ages) {
    availability_.OnPeerReport(ages, own_calls(), clock_());
  }
  // Applies changes after `since` that a peer propagates; 0: all rows. Returns
  // whether the copy is newer than before.
  bool ApplyPropagated(std::uint64_t since, const TablePage& page);
  // Returns the version after which to send changes to a peer that has all up
  // to `since`: `since` itself, or 0 for the whole table if this copy doesn't
  // have all changes after it.
  std::uint64_t ReplySince(std::uint64_t since) const {
    return since < copy_.since() ? 0 : since;
  }
  // Returns the changes after `since` for a peer; 0: the whole table.
  TablePage ChangesSince(std::uint64_t since) const {
    return {copy_.RowsSince(since), version_};
  }

  const std::string& table() const { return options_.table; }
  // Returns when the service recovered from its last outage, as far as known.
  absl::Time recovered_at() const { return availability_.recovered_at(); }
  // Returns when the service answered this host, for all peers.
  AnswerAges OwnAnswers() const { return availability_.OwnAges(clock_()); }
  // Returns when it answered any host, to accompany changes.
  AnswerAges KnownAnswers() const { return availability_.KnownAges(clock_()); }
  bool up() const { return up_; }
  // Returns whether this host receives changes from the service itself.
  bool subscribed() const { return started_ && !idle_ && up_; }
  // Returns the history that this host publishes to its peers.
  TableHistory History() const {
    return {newest_change_, copy_.since(), version_};
  }
  std::uint64_t newest_change() const { return newest_change_; }
  // Returns whether the whole table has been received.
  bool complete() const { return complete_; }
  std::uint64_t version() const { return version_; }
  // Returns how long this host has lacked a change that a peer has.
  absl::Duration Lag() const;

 private:
  void Read(const std::string& from);
  bool IsPollingMode() const {
    return mode_ == SubscriptionMode::kAlways ||
           mode_ == SubscriptionMode::kStandby;
  }
  // Polls once the minimum interval since the last call is over.
  void PollSoon();
  // Calls the service for changes.
  void Poll();
  // Returns the time that the next call waits for changes.
  absl::Duration PollWait() const;
  OwnCalls own_calls() const {
    return up_ ? OwnCalls::kAnswered : OwnCalls::kFailed;
  }
  // Returns whether the next call is to show that the service answers.
  bool IsCheck() const;
  bool MayPoll() const;
  // Polls again if the mode or a missing change requires it, else becomes idle.
  void ContinueOrIdle();
  void ScheduleProbe();
  // Returns the random delay until the next probe of the service.
  absl::Duration ProbeDelay();
  // Applies changes after version_.
  void Apply(const TablePage& page);
  // Replaces the copy by `rows`, the whole table at `version`.
  void ReplaceAll(const std::vector<TableRow>& rows, std::uint64_t version);
  bool LacksData() const { return !complete_ || peers_newest_ > version_; }
  void QueryPeers();
  void RecordLag();
  void RecordCaughtUp();
  // Abandons the waiting call and makes a new one.
  void PollAgain();
  void OnReadAnswer(const std::string& from, TableAnswer answer);
  void OnChangesAnswer(TableAnswer answer);
  void RecordVersions(const std::vector<TableRow>& rows);
  void OnFailure(TableFailure failure);
  void OnAnswer();
  // Runs `call` after the next retry delay.
  void RetryLater(std::function<void()> call);
  // Returns a callback that runs `done` unless this object is destroyed or has
  // made a later call.
  TableDone Guard(std::function<void(TableAnswer)> done);

  const TableSubscriberOptions options_;
  const TablePort port_;
  TimerService* const timers_;
  const std::function<absl::Time()> clock_;
  const OnRows on_rows_;
  const OnState on_state_;
  OnChanges on_changes_;
  OnMissing on_missing_;
  std::mt19937_64 random_;

  TableCopy copy_;
  TableAvailability availability_;
  std::vector<TableRow> rows_;            // Rows of the pages read so far.
  std::uint64_t first_page_version_ = 0;  // Version of the first page.
  std::uint64_t version_ = 0;
  std::uint64_t newest_change_ = 0;
  std::uint64_t peers_newest_ = 0;  // Newest change that a peer has.
  bool started_ = false;
  bool complete_ = false;
  bool monitoring_ = false;
  bool answered_monitor_ = false;  // Since the monitoring began.
  SubscriptionMode mode_ = SubscriptionMode::kAlways;
  absl::Duration probe_period_;
  bool probed_ = false;  // Whether a probe was scheduled in this mode.
  bool probe_answered_ = false;
  bool idle_ = false;         // No call is open; a probe may be scheduled.
  bool polling_ = false;      // A call waits for changes.
  absl::Duration poll_wait_;  // The wait of the last call for changes.
  std::uint64_t call_ = 0;    // Number of the last call.
  bool up_ = true;
  int failures_ = 0;
  int peer_queries_ = 0;  // Queries of peers since this host lacks data.
  absl::Time last_poll_ = absl::InfinitePast();  // Start of the last poll.
  TimerId retry_timer_ = 0;
  TimerId lag_timer_ = 0;
  absl::Time lag_since_ = absl::InfiniteFuture();
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_TABLE_SUBSCRIBER_H_
