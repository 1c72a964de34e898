// Keeps up with one table of the platform's table service: reads it whole once,
// and then waits for its changes.
//
// What goes wrong: the service is away for seconds or minutes, answers slowly,
// or has dropped the history that a host still needs. A host that only waited
// would act on an old list for ever; hosts that all ask again at once when the
// service is back would be refused for their rate. So a failed call is made
// again after a delay that grows and is spread, a lost history means reading
// the table again, and what is known stays in use meanwhile.
//
// A service that is silent for a while takes a call in and never answers it,
// while the connection stays well: a call that waits for half a minute then
// hides every change for as long. One would see hosts on an old configuration,
// with no line that says so. So a host that has reason to doubt asks with short
// waits, and a change that another host has heard of is asked for at once.
//
// Hundreds of hosts that all wait for changes cost as many calls for each. So
// one host of a zone follows and hands changes on; the others take them, and
// ask the service only when one was lost on the way.
//
// The service may turn a host away while it answers others. So what a host
// lacks it asks of other hosts too.

#ifndef GENTIANLB_GATEWAY_TABLE_FOLLOWER_H_
#define GENTIANLB_GATEWAY_TABLE_FOLLOWER_H_

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
#include "gateway/table_copy.h"
#include "gateway/table_page.h"

namespace gentianlb::gateway {

enum class TableFailure {
  kUnavailable,  // No answer, or one that says so.
  kHistoryGone,  // The changes since that version are no longer known.
};

using TableAnswer = std::variant<TablePage, TableFailure>;
using TableDone = std::function<void(TableAnswer answer)>;

// The table service; fulfilled by the platform's adapter and by fakes. Each
// call is answered once, later, and never after Cancel.
struct TablePort {
  // Rows from key `from` on, in order.
  std::function<void(const std::string& table, const std::string& from,
                     TableDone done)>
      read;
  // What changed after `since`; waits up to `wait` until there is something.
  std::function<void(const std::string& table, std::uint64_t since,
                     absl::Duration wait, TableDone done)>
      follow;
  // Sets one row, whatever stands there. False: it may not have been done.
  std::function<void(const std::string& table, const std::string& key,
                     const std::string& value, std::function<void(bool)> done)>
      write;
};

struct TableFollowerOptions {
  std::string table;
  // How long one call waits for a change: as long as the service allows, since
  // each costs it as much as a read, and a dead connection shows by its probes.
  absl::Duration wait = absl::Seconds(29);
  // The same while the service may be silent. With the second that the answer
  // may take it is noticed after two, within the three that hosts have after an
  // outage.
  absl::Duration short_wait = absl::Seconds(1);
  // How much later than others this host may hear of a change: their messages
  // and the service's answers both take some milliseconds.
  absl::Duration behind = absl::Milliseconds(200);
  // Changes come in series, as when servers are replaced one after the other.
  // The next call is made this long after the last one at the earliest, so that
  // one brings several; short against the two seconds in which a change must
  // be in force.
  absl::Duration interval = absl::Milliseconds(300);
  // The same of a standby.
  absl::Duration standby_interval = absl::Seconds(1);
  // Short against the two seconds in which a new version must be in force.
  RetryOptions retry = {.first_delay = absl::Milliseconds(50),
                        .max_delay = absl::Milliseconds(800)};
};

enum class Following {
  kAlways,  // A call waits for changes all the time.
  // The same, but others are likely to hand changes on: no hurry between calls.
  kStandby,
  kWhenTold,  // Others hand changes on; asked for is what they couldn't.
  // No host that is heard reaches the service. Each tries now and then whether
  // it does itself, and follows for the others then.
  kProbing,
};

std::string_view NameOf(Following following);

class TableFollower {
 public:
  // `whole`: the rows are the table, and what is missing is not in it.
  using OnRows = std::function<void(const std::vector<TableRow>& rows,
                                    bool whole, absl::Time now)>;
  // The service has stopped answering, or answers again.
  using OnState = std::function<void(bool up, absl::Time now)>;
  // Changes that were asked for, all after `since`, to be handed on.
  using OnChanges =
      std::function<void(std::uint64_t since, const TablePage& page)>;

  // Others should be asked for what changed after `since`; 0: for all. `tries`
  // counts from 0 until this host has it.
  using OnLacking = std::function<void(std::uint64_t since, int tries)>;

  // `timers` outlives this object.
  TableFollower(TableFollowerOptions options, TablePort port,
                TimerService* timers, std::function<absl::Time()> clock,
                std::uint64_t seed, OnRows on_rows, OnState on_state);
  ~TableFollower();
  TableFollower(const TableFollower&) = delete;
  TableFollower& operator=(const TableFollower&) = delete;

  void Start();

  // Whether this host asks with short waits also while all seems well, to
  // notice a silent service for the others.
  void SetWatching(bool watching);

  void SetFollowing(Following following, absl::Duration probe_period);
  void HandOnTo(OnChanges on_changes) { on_changes_ = std::move(on_changes); }
  void AskOthersWith(OnLacking on_lacking) {
    on_lacking_ = std::move(on_lacking);
  }

  // What other hosts know.
  void HeardOf(const TableKnowledge& known);
  // Another host hands on what changed after `since`; 0: all rows. True: this
  // host knows more than before.
  bool TakeHandedOn(std::uint64_t since, const TablePage& page);
  // For another host that knows all up to `since`; 0: nothing.
  std::uint64_t AnswerableSince(std::uint64_t since) const {
    return since < copy_.since() ? 0 : since;
  }
  TablePage ChangesSince(std::uint64_t since) const {
    return {copy_.RowsSince(since), version_};
  }

  const std::string& table() const { return options_.table; }
  bool up() const { return up_; }
  // Whether changes come to this host from the service itself.
  bool follows() const { return !idle_ && up_; }
  // What others are told.
  TableKnowledge Known() const {
    return {newest_change_, copy_.since(), version_};
  }
  std::uint64_t newest_change() const { return newest_change_; }
  bool complete() const { return complete_; }  // Read whole at least once.
  std::uint64_t version() const { return version_; }
  // For how long this host has known of a change that it doesn't have.
  absl::Duration Behind() const;

 private:
  void Read(const std::string& from);
  bool FollowsAlways() const {
    return mode_ == Following::kAlways || mode_ == Following::kStandby;
  }
  // Once the interval is over.
  void FollowSoon();
  void Follow();
  bool MayFollow() const;
  // Follows if this host has to; else waits to be told.
  void GoOn();
  void ProbeLater();
  // How long until this host tries whether the service answers it.
  absl::Duration UntilProbe();
  void Apply(const TablePage& page);
  // `rows` are the table as of `version`.
  void TakeWhole(const std::vector<TableRow>& rows, std::uint64_t version);
  bool Lacks() const { return !complete_ || heard_of_ > version_; }
  void AskOthers();
  void NoteBehind();
  void NoteCaughtUp();
  // Leaves the call that waits, and makes another.
  void AskAnew();
  void TakeRead(const std::string& from, TableAnswer answer);
  void TakeChanges(TableAnswer answer);
  void NoteVersions(const std::vector<TableRow>& rows);
  void Failed(TableFailure failure);
  void Answered();
  // Runs `call` after the delay of the next retry.
  void Again(std::function<void()> call);
  // `done` is called only while this object lives and no later call was made.
  TableDone Guard(std::function<void(TableAnswer)> done);

  const TableFollowerOptions options_;
  const TablePort port_;
  TimerService* const timers_;
  const std::function<absl::Time()> clock_;
  const OnRows on_rows_;
  const OnState on_state_;
  OnChanges on_changes_;
  OnLacking on_lacking_;
  std::mt19937_64 random_;

  TableCopy copy_;
  std::vector<TableRow> rows_;   // Of the pages read so far.
  std::uint64_t read_from_ = 0;  // The version of the first page.
  std::uint64_t version_ = 0;
  std::uint64_t newest_change_ = 0;
  std::uint64_t heard_of_ = 0;  // By other hosts.
  bool complete_ = false;
  bool watching_ = false;
  Following mode_ = Following::kAlways;
  absl::Duration probe_period_;
  bool probed_ = false;  // Since it probes.
  bool probe_answered_ = false;
  bool idle_ = false;           // No call is made; a probe may be due.
  bool following_ = false;      // A call waits for changes,
  absl::Duration follow_wait_;  // for this long.
  std::uint64_t call_ = 0;      // Counts the calls.
  bool up_ = true;
  int failures_ = 0;
  int asked_others_ = 0;  // Since this host lacks something.
  absl::Time followed_ = absl::InfinitePast();  // The last call was made.
  TimerId retry_ = 0;
  TimerId behind_ = 0;
  absl::Time behind_since_ = absl::InfiniteFuture();
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_TABLE_FOLLOWER_H_
