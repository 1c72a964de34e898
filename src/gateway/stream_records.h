// Records of the software versions that began streams, in the platform's table
// service.
//
// The memory of a host, and of the two that it tells, ends with their
// processes: all may be killed at once, or restarted one after the other within
// a stream's life. So what must outlast them is in a table. Each host writes
// which versions it has known within a stream's life, once at its start and
// whenever that changes; streams only while that is several versions. All hosts
// together stay below the rate of the service: each writes in batches, the
// less often the more hosts there are.
//
// A host reads the table when it has started, and for a stream that neither it
// nor a peer knows.
//
// A write without an answer may be performed seconds later. So a row whose
// write failed is never written again; what it was to hold goes into another.
//
// Has no network and no clock of its own.

#ifndef GENTIANLB_GATEWAY_STREAM_RECORDS_H_
#define GENTIANLB_GATEWAY_STREAM_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/ids.h"
#include "base/timer_service.h"
#include "gateway/stream_rows.h"
#include "gateway/table_subscriber.h"

namespace gentianlb::gateway {

struct StreamRecordsHooks {
  // Reads the rows from a key on.
  std::function<void(const std::string& from, TableDone done)> read;
  std::function<void(const RowChanges& changes, TransactionDone done)> transact;
  // Returns the versions that this host has known within a stream's life, from
  // registrations.
  std::function<VersionSets()> versions;
  // Called when rows have been read that were not known.
  std::function<void()> on_read;
};

struct StreamRecordCounts {
  int writes = 0;
  int failed_writes = 0;
  int reads = 0;  // Of the whole table.
  int failed_reads = 0;
};

// One read of the whole table.
struct StreamTableReading {
  std::vector<TableRow> rows;
  int pages = 0;
  absl::Time began;
};

class StreamRecords {
 public:
  // How long a query may wait for a read. A caller waits meanwhile.
  static constexpr absl::Duration kReadWait = absl::Milliseconds(800);
  // When full, further streams of other hosts are not remembered.
  static constexpr std::size_t kMaxStreams = 1 << 17;
  // When full, further streams are not recorded.
  static constexpr std::size_t kMaxPending = 1 << 14;

  // `timers` must outlive this object.
  StreamRecords(const EntryHostId& host, Incarnation incarnation,
                TimerService* timers, std::function<absl::Time()> clock,
                StreamRecordsHooks hooks);
  ~StreamRecords();
  StreamRecords(const StreamRecords&) = delete;
  StreamRecords& operator=(const StreamRecords&) = delete;

  // Begins to read and write.
  void Start();
  // Sets the number of hosts of the site.
  void SetHosts(int hosts) { hosts_ = hosts; }
  // Records a stream that began here.
  void OnBegin(StreamId stream, const std::string& version, absl::Time until);
  // To be called when versions may have been added.
  void OnVersions();
  // Writes what is pending, and from now on at the shortest interval, as the
  // process ends soon.
  void Drain();

  // Calls `done` once, within kReadWait, with whether the table has been read
  // recently.
  void Refresh(std::function<void(bool read)> done);

  // Returns the version that began a stream, if a row that was read says so.
  std::optional<std::string> Find(StreamId stream) const;
  // Returns the versions that another host may have known at or after `from`.
  std::set<std::string> VersionsSince(NameHash service, absl::Time from) const;

  // Returns whether hosts that ran well before this one have written which
  // versions of a service they knew at or after `from`.
  bool Covers(NameHash service, absl::Time from) const;

  const StreamRecordCounts& counts() const { return counts_; }
  std::size_t pending() const { return pending_.size(); }
  // Returns how long the oldest stream that is not recorded waits.
  absl::Duration PendingAge() const;

 private:
  struct Pending {
    StreamId stream = 0;
    std::string version;
    absl::Time until;
    absl::Time since;
  };
  // A row that a call has written or may have written.
  struct OwnRow {
    std::string key;
    std::vector<Pending> streams;
  };
  // What one call writes.
  struct Batch {
    std::vector<Pending> added;
    std::vector<OwnRow> rows;
    std::optional<VersionSets> versions;
    RowChanges changes;
    std::size_t bytes = 0;
    absl::Time sent_at;
  };
  struct Recorded {
    int version = 0;  // Index of names_.
    absl::Time until;
  };
  struct SeenRow {
    std::uint64_t version = 0;
    std::int64_t written_ms = 0;
    VersionSets versions;
    absl::Time ends;  // Of its last stream.
  };
  struct Waiter {
    std::function<void(bool)> done;
    TimerId timer = 0;
  };

  absl::Duration WriteInterval() const;
  absl::Duration ReadInterval() const;
  // Returns a random delay that spreads the calls of all hosts.
  absl::Duration Spread();
  double Random();
  std::string NextKey();
  // Returns the versions that this host has known within a stream's life, from
  // registrations or from the table.
  VersionSets KnownVersions() const;

  void WriteAt(absl::Time when);
  void Write();
  void AddStreams(Batch* batch, absl::Time now);
  void AddVersions(Batch* batch);
  void AddDrops(Batch* batch, absl::Time now);
  std::string EncodeRow(const OwnRow& row, absl::Time now) const;
  void OnWritten(const Batch& batch, const TransactionResult& result);
  void OnWriteFailed(const Batch& batch);

  void ReadAt(absl::Time when);
  void Read();
  void ReadPage(const std::string& from);
  void OnPage(const TableAnswer& answer);
  void OnReadFailed();
  // Merges all rows of the table. Returns the number of rows that were not
  // known.
  int Merge(const std::vector<TableRow>& rows);
  void MergeRow(const TableRow& row, const StreamRow& value);
  // Returns when the last of the streams ends.
  absl::Time MergeStreams(const StreamRow& value, absl::Time now);
  // Finds the rows of hosts that don't come back.
  void CollectAbandoned();
  void ForgetEnded(absl::Time now);
  void EndWaiting(bool read);
  void SetStoreClock(std::int64_t now_ms);
  std::int64_t StoreNow(absl::Time now) const;

  const std::string host_;
  const Incarnation incarnation_;
  TimerService* const timers_;
  const std::function<absl::Time()> clock_;
  const StreamRecordsHooks hooks_;
  std::mt19937_64 random_;
  int hosts_ = 1;
  bool draining_ = false;
  absl::Time started_at_ = absl::InfiniteFuture();
  absl::Duration store_offset_;  // Of the service's clock from clock_.

  // Writing.
  std::deque<Pending> pending_;
  OwnRow open_row_;           // Is written again with further streams.
  std::string versions_key_;  // Empty: the next write takes another row.
  VersionSets written_versions_;
  std::set<std::string> old_versions_keys_;     // Dropped by the next write.
  std::map<std::string, absl::Time> own_rows_;  // When their streams end.
  int next_number_ = 0;
  bool writing_ = false;
  absl::Time last_write_ = absl::InfinitePast();
  int write_failures_ = 0;
  absl::Time write_due_ = absl::InfiniteFuture();
  TimerId write_timer_ = 0;

  // Reading.
  std::map<std::string, SeenRow> seen_;
  absl::flat_hash_map<StreamId, Recorded> recorded_;
  std::vector<std::string> names_;  // Of versions.
  std::map<NameHash, std::map<std::string, absl::Time>> table_versions_;
  // When the first process started that has written rows.
  std::int64_t table_since_ms_ = std::numeric_limits<std::int64_t>::max();
  std::vector<std::string> abandoned_;
  std::map<int, Waiter> waiters_;
  int next_waiter_ = 0;
  std::optional<StreamTableReading> reading_;
  absl::Time last_read_ = absl::InfinitePast();  // Start of the last read.
  absl::Time next_read_ = absl::InfinitePast();  // No read begins before.
  int read_failures_ = 0;
  absl::Time read_due_ = absl::InfiniteFuture();
  TimerId read_timer_ = 0;
  TimerId cleaning_timer_ = 0;

  StreamRecordCounts counts_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_STREAM_RECORDS_H_
