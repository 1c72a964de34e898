#include "gateway/stream_records.h"

#include <glog/logging.h>

#include <algorithm>

#include "absl/hash/hash.h"

namespace gentianlb::gateway {
namespace {

// All hosts together write, and read, at most at the rates that these give.
constexpr absl::Duration kMinWriteInterval = absl::Milliseconds(150);
constexpr absl::Duration kWriteIntervalPerHost = absl::Milliseconds(25);
constexpr absl::Duration kDrainIntervalPerHost = absl::Milliseconds(10);
constexpr absl::Duration kMinReadInterval = absl::Milliseconds(500);
constexpr absl::Duration kReadIntervalPerHost = absl::Milliseconds(10);

// Calls that all hosts make for the same event spread over this time.
constexpr absl::Duration kSpreadPerHost = absl::Milliseconds(8);
constexpr absl::Duration kStartSpread = absl::Seconds(1);

// Delay of a call after a failed one, per host of the site.
constexpr absl::Duration kMinRetryDelay = absl::Milliseconds(200);
constexpr absl::Duration kRetryDelayPerHost = absl::Milliseconds(10);

// Later, a failed write is retried at the write interval only.
constexpr int kQuickRetries = 3;

// Rows that one call sets and drops; the service takes a hundred.
constexpr std::size_t kMaxRowsWritten = 40;
constexpr std::size_t kMaxRowsDropped = 50;

// Rows of ended streams wait so long for a call that drops them beside others.
constexpr absl::Duration kDropDelay = absl::Seconds(20);

// Hosts that start within this time may have started together.
constexpr absl::Duration kStartTime = absl::Seconds(5);

// The table service's clock is known to this precision.
constexpr absl::Duration kClockMargin = absl::Seconds(2);

// A host that has not written for so long, though what it wrote no longer
// holds, doesn't come back.
constexpr absl::Duration kAbandonedAfter = absl::Minutes(10);

std::int64_t Age(absl::Time now, absl::Time since) {
  return absl::ToInt64Milliseconds(now - since);
}

bool Includes(const VersionSets& sets, const VersionSets& subsets) {
  return std::all_of(subsets.begin(), subsets.end(), [&](const auto& subset) {
    const auto found = sets.find(subset.first);
    return subset.second.empty() ||
           (found != sets.end() &&
            std::includes(found->second.begin(), found->second.end(),
                          subset.second.begin(), subset.second.end()));
  });
}

}  // namespace

StreamRecords::StreamRecords(const EntryHostId& host, Incarnation incarnation,
                             TimerService* timers,
                             std::function<absl::Time()> clock,
                             StreamRecordsHooks hooks)
    : host_(host.str()),
      incarnation_(incarnation),
      timers_(timers),
      clock_(std::move(clock)),
      hooks_(std::move(hooks)),
      random_(absl::HashOf(host_, incarnation)) {}

StreamRecords::~StreamRecords() {
  for (const TimerId timer : {write_timer_, read_timer_, cleaning_timer_}) {
    timers_->Cancel(timer);
  }
  for (const auto& [id, waiter] : waiters_) timers_->Cancel(waiter.timer);
}

void StreamRecords::Start() {
  const absl::Time now = clock_();
  started_at_ = now;
  ReadAt(now + Random() * kStartSpread);
  cleaning_timer_ = timers_->At(now + (2 + Random()) * kMaxStreamLife,
                                [this](absl::Time at) { ReadAt(at); });
}

double StreamRecords::Random() {
  return static_cast<double>(random_() % 1024) / 1024;
}

absl::Duration StreamRecords::Spread() {
  return Random() * kSpreadPerHost * hosts_;
}

absl::Duration StreamRecords::WriteInterval() const {
  const absl::Duration per_host =
      draining_ ? kDrainIntervalPerHost : kWriteIntervalPerHost;
  return std::max(kMinWriteInterval, hosts_ * per_host);
}

absl::Duration StreamRecords::ReadInterval() const {
  return std::max(kMinReadInterval, hosts_ * kReadIntervalPerHost);
}

void StreamRecords::SetStoreClock(std::int64_t now_ms) {
  if (now_ms == 0) return;
  store_offset_ = absl::Milliseconds(now_ms) - (clock_() - absl::UnixEpoch());
}

std::int64_t StreamRecords::StoreNow(absl::Time now) const {
  return absl::ToInt64Milliseconds(now - absl::UnixEpoch() + store_offset_);
}

std::string StreamRecords::NextKey() {
  return Format({host_, incarnation_, next_number_++});
}

// --- Writing -----------------------------------------------------------------

VersionSets StreamRecords::KnownVersions() const {
  VersionSets known = hooks_.versions();
  const absl::Time from = clock_() - kMaxStreamLife;
  for (const auto& [service, versions] : table_versions_) {
    for (const std::string& version : VersionsSince(service, from)) {
      known[service].insert(version);
    }
  }
  std::erase_if(known, [](const auto& item) { return item.second.empty(); });
  return known;
}

void StreamRecords::OnBegin(StreamId stream, const std::string& version,
                            absl::Time until) {
  if (pending_.size() >= kMaxPending) {
    LOG_EVERY_N(WARNING, 1000)
        << "event=stream-records-full pending=" << pending_.size();
    return;
  }
  const absl::Time now = clock_();
  pending_.push_back({stream, version, until, now});
  WriteAt(std::max(now + Spread(), last_write_ + WriteInterval()));
}

void StreamRecords::OnVersions() {
  if (Includes(written_versions_, KnownVersions())) return;
  WriteAt(clock_() + Spread());
}

void StreamRecords::Drain() {
  draining_ = true;
  WriteAt(clock_() + Spread());
}

absl::Duration StreamRecords::PendingAge() const {
  return pending_.empty() ? absl::ZeroDuration()
                          : clock_() - pending_.front().since;
}

void StreamRecords::WriteAt(absl::Time when) {
  if (write_timer_ != 0 && write_due_ <= when) return;
  timers_->Cancel(write_timer_);
  write_due_ = when;
  write_timer_ = timers_->At(when, [this](absl::Time) {
    write_timer_ = 0;
    Write();
  });
}

void StreamRecords::Write() {
  // Before the table has been read, this host may not replace its own rows.
  if (writing_ || last_read_ == absl::InfinitePast()) return;
  const absl::Time now = clock_();
  Batch batch;
  batch.sent_at = now;
  AddStreams(&batch, now);
  AddVersions(&batch);
  AddDrops(&batch, now);
  if (batch.changes.writes.empty() && batch.changes.drops.empty()) {
    return WriteAt(now + WriteInterval());
  }
  for (const auto& [key, value] : batch.changes.writes) {
    batch.bytes += value.size();
  }
  writing_ = true;
  last_write_ = now;
  ++counts_.writes;
  const RowChanges changes = batch.changes;
  hooks_.transact(changes, [this, batch = std::move(batch),
                            alive = std::weak_ptr<int>(alive_)](
                               const TransactionResult& result) {
    if (!alive.expired()) OnWritten(batch, result);
  });
}

void StreamRecords::AddStreams(Batch* batch, absl::Time now) {
  const auto has_ended = [now](const Pending& one) { return one.until <= now; };
  OwnRow row = open_row_;
  std::erase_if(row.streams, has_ended);
  if (row.streams.empty()) row = open_row_ = {};
  while (!pending_.empty() && batch->rows.size() < kMaxRowsWritten) {
    if (has_ended(pending_.front())) {
      pending_.pop_front();
      continue;
    }
    if (row.key.empty()) row.key = NextKey();
    row.streams.push_back(pending_.front());
    batch->added.push_back(pending_.front());
    pending_.pop_front();
    if (row.streams.size() < StreamRow::kMaxStreams) continue;
    batch->rows.push_back(std::exchange(row, {}));
  }
  const bool is_changed = !batch->added.empty() && !row.key.empty();
  if (is_changed) batch->rows.push_back(std::move(row));
  for (const OwnRow& one : batch->rows) {
    absl::Time& ends = own_rows_.try_emplace(one.key, now).first->second;
    for (const Pending& stream : one.streams) {
      ends = std::max(ends, stream.until);
    }
    batch->changes.writes.emplace_back(one.key, EncodeRow(one, now));
  }
}

std::string StreamRecords::EncodeRow(const OwnRow& row, absl::Time now) const {
  StreamRow value;
  value.written_ms = StoreNow(now);
  for (const Pending& stream : row.streams) {
    value.streams[stream.version].push_back(
        {stream.stream, stream.until - now});
  }
  return Encode(value);
}

void StreamRecords::AddVersions(Batch* batch) {
  VersionSets known = KnownVersions();
  if (known == written_versions_) return;
  if (versions_key_.empty()) versions_key_ = NextKey();
  StreamRow value;
  value.written_ms = StoreNow(clock_());
  value.since_ms = std::min(table_since_ms_, StoreNow(started_at_));
  value.versions = known;
  batch->changes.writes.emplace_back(versions_key_, Encode(value));
  batch->versions = std::move(known);
}

void StreamRecords::AddDrops(Batch* batch, absl::Time now) {
  std::vector<std::string>& drops = batch->changes.drops;
  if (batch->versions || !versions_key_.empty()) {
    drops.assign(old_versions_keys_.begin(), old_versions_keys_.end());
  }
  drops.insert(drops.end(), abandoned_.begin(), abandoned_.end());
  const bool is_sent = !batch->changes.writes.empty() || !drops.empty();
  const absl::Time ended_by = is_sent ? now : now - kDropDelay;
  const bool is_due =
      std::any_of(own_rows_.begin(), own_rows_.end(),
                  [&](const auto& item) { return item.second <= ended_by; });
  for (const auto& [key, ends] : own_rows_) {
    if (is_due && ends <= now && key != open_row_.key) drops.push_back(key);
  }
  if (drops.size() > kMaxRowsDropped) drops.resize(kMaxRowsDropped);
}

void StreamRecords::OnWritten(const Batch& batch,
                              const TransactionResult& result) {
  writing_ = false;
  const absl::Time now = clock_();
  if (!result.done) {
    OnWriteFailed(batch);
  } else {
    SetStoreClock(result.now_ms);
    write_failures_ = 0;
    if (batch.versions) written_versions_ = *batch.versions;
    if (!batch.rows.empty()) open_row_ = batch.rows.back();
    if (open_row_.streams.size() >= StreamRow::kMaxStreams) open_row_ = {};
    for (const std::string& key : batch.changes.drops) {
      own_rows_.erase(key);
      old_versions_keys_.erase(key);
      std::erase(abandoned_, key);
    }
    const bool has_streams = !batch.added.empty();
    LOG(INFO) << "event=stream-records-written rows="
              << batch.changes.writes.size()
              << " streams=" << batch.added.size() << " oldest_ms="
              << (has_streams ? Age(now, batch.added.front().since) : 0)
              << " versions=" << batch.versions.has_value()
              << " dropped=" << batch.changes.drops.size()
              << " bytes=" << batch.bytes << " pending=" << pending_.size()
              << " after_ms=" << Age(now, batch.sent_at);
  }
  absl::Duration delay = WriteInterval() * (0.9 + 0.2 * Random());
  if (write_failures_ > 0 && write_failures_ <= kQuickRetries) {
    delay = std::max(kMinRetryDelay, hosts_ * kRetryDelayPerHost) *
            (0.5 + Random());
  }
  WriteAt(now + delay);
  if (result.done) OnVersions();  // More may have appeared meanwhile.
}

void StreamRecords::OnWriteFailed(const Batch& batch) {
  ++write_failures_;
  ++counts_.failed_writes;
  pending_.insert(pending_.begin(), batch.added.begin(), batch.added.end());
  // The call may yet be performed, so these rows are not written again.
  if (!batch.rows.empty()) open_row_ = {};
  if (batch.versions) {
    old_versions_keys_.insert(std::exchange(versions_key_, ""));
    written_versions_.clear();
  }
  LOG(WARNING) << "event=stream-records-unwritten rows="
               << batch.changes.writes.size()
               << " streams=" << batch.added.size()
               << " versions=" << batch.versions.has_value()
               << " dropped=" << batch.changes.drops.size()
               << " bytes=" << batch.bytes << " pending=" << pending_.size()
               << " pending_ms=" << absl::ToInt64Milliseconds(PendingAge())
               << " failures=" << write_failures_
               << " after_ms=" << Age(clock_(), batch.sent_at);
}

// --- Reading -----------------------------------------------------------------

void StreamRecords::Refresh(std::function<void(bool)> done) {
  const absl::Time now = clock_();
  const absl::Time at = std::max(now, next_read_);
  if (!reading_ && at > now + kReadWait) {
    return done(last_read_ != absl::InfinitePast() && read_failures_ == 0);
  }
  const int id = next_waiter_++;
  Waiter& waiter = waiters_[id];
  waiter.done = std::move(done);
  waiter.timer = timers_->At(now + kReadWait, [this, id](absl::Time) {
    auto node = waiters_.extract(id);
    LOG(WARNING) << "event=stream-records-late wait_ms="
                 << absl::ToInt64Milliseconds(kReadWait);
    node.mapped().done(false);
  });
  if (!reading_) ReadAt(at);
}

void StreamRecords::ReadAt(absl::Time when) {
  if (reading_ || (read_timer_ != 0 && read_due_ <= when)) return;
  timers_->Cancel(read_timer_);
  read_due_ = when;
  read_timer_ = timers_->At(when, [this](absl::Time) {
    read_timer_ = 0;
    Read();
  });
}

void StreamRecords::Read() {
  if (reading_) return;
  reading_.emplace();
  reading_->began = clock_();
  ReadPage("");
}

void StreamRecords::ReadPage(const std::string& from) {
  hooks_.read(from, [this, alive = std::weak_ptr<int>(alive_)](
                        const TableAnswer& answer) {
    if (!alive.expired()) OnPage(answer);
  });
}

void StreamRecords::OnPage(const TableAnswer& answer) {
  const auto* page = std::get_if<TablePage>(&answer);
  if (page == nullptr) return OnReadFailed();
  if (page->more && page->rows.empty()) return OnReadFailed();
  SetStoreClock(page->now_ms);
  ++reading_->pages;
  std::vector<TableRow>& rows = reading_->rows;
  rows.insert(rows.end(), page->rows.begin(), page->rows.end());
  if (page->more) {
    return ReadPage(page->rows.back().key + '\0');
  }
  const absl::Time now = clock_();
  const StreamTableReading reading = *std::exchange(reading_, std::nullopt);
  const bool is_first = last_read_ == absl::InfinitePast();
  ++counts_.reads;
  read_failures_ = 0;
  last_read_ = reading.began;
  next_read_ = reading.began + ReadInterval();
  const int added = Merge(reading.rows);
  CollectAbandoned();
  std::size_t bytes = 0;
  for (const TableRow& row : reading.rows) bytes += row.value.size();
  LOG(INFO) << "event=stream-records-read rows=" << reading.rows.size()
            << " added=" << added << " streams=" << recorded_.size()
            << " pages=" << reading.pages << " bytes=" << bytes
            << " abandoned=" << abandoned_.size()
            << " waiting=" << waiters_.size()
            << " after_ms=" << Age(now, reading.began);
  if (added > 0) hooks_.on_read();
  if (is_first) WriteAt(now + Spread());
  EndWaiting(/*read=*/true);
}

void StreamRecords::OnReadFailed() {
  const absl::Time now = clock_();
  ++counts_.failed_reads;
  ++read_failures_;
  LOG(WARNING) << "event=stream-records-unread pages=" << reading_->pages
               << " failures=" << read_failures_
               << " waiting=" << waiters_.size()
               << " after_ms=" << Age(now, reading_->began);
  reading_.reset();
  next_read_ = now + std::max(kMinRetryDelay, hosts_ * kRetryDelayPerHost) *
                         (0.5 + Random());
  if (!waiters_.empty() || last_read_ == absl::InfinitePast()) {
    ReadAt(next_read_);
  }
}

void StreamRecords::EndWaiting(bool read) {
  for (auto& [id, waiter] : std::exchange(waiters_, {})) {
    timers_->Cancel(waiter.timer);
    waiter.done(read);
  }
}

int StreamRecords::Merge(const std::vector<TableRow>& rows) {
  ForgetEnded(clock_());
  int added = 0;
  std::map<std::string, SeenRow> before = std::exchange(seen_, {});
  for (const TableRow& row : rows) {
    const auto known = before.find(row.key);
    if (known != before.end() && known->second.version == row.version) {
      seen_.insert(before.extract(known));
      continue;
    }
    const auto value = DecodeStreamRow(row.value);
    if (!value) {
      LOG(WARNING) << "event=stream-record-unreadable key=" << row.key
                   << " bytes=" << row.value.size();
      continue;
    }
    MergeRow(row, *value);
    ++added;
  }
  return added;
}

void StreamRecords::MergeRow(const TableRow& row, const StreamRow& value) {
  const absl::Time now = clock_();
  const auto key = ParseStreamRowKey(row.key);
  const bool is_own = key && key->host == host_;
  if (is_own && key->incarnation == incarnation_) {
    const bool is_known = row.key == versions_key_ ||
                          own_rows_.contains(row.key) ||
                          old_versions_keys_.contains(row.key);
    // A delayed call has written a row again that was dropped.
    if (!is_known) own_rows_[row.key] = now;
    return;
  }
  SeenRow& seen = seen_[row.key];
  seen.version = row.version;
  seen.written_ms = value.written_ms;
  seen.versions = value.versions;
  seen.ends = MergeStreams(value, now);
  if (!value.versions.empty()) {
    table_since_ms_ = std::min(table_since_ms_, value.since_ms);
  }
  for (const auto& [service, versions] : value.versions) {
    for (const std::string& version : versions) {
      table_versions_[service][version] = now;
    }
  }
  if (!is_own) return;
  if (!value.versions.empty()) {
    old_versions_keys_.insert(row.key);
  } else {
    own_rows_[row.key] = seen.ends;
  }
}

absl::Time StreamRecords::MergeStreams(const StreamRow& value, absl::Time now) {
  const absl::Duration age = std::max(
      absl::Milliseconds(StoreNow(now) - value.written_ms), absl::Duration());
  absl::Time ends = now;
  for (const auto& [version, streams] : value.streams) {
    auto name = std::find(names_.begin(), names_.end(), version);
    if (name == names_.end()) name = names_.insert(name, version);
    const int index = static_cast<int>(name - names_.begin());
    for (const RecordedStream& stream : streams) {
      const absl::Time until = now + stream.time_left - age + kClockMargin;
      if (until <= now) continue;
      ends = std::max(ends, until);
      if (recorded_.size() >= kMaxStreams) {
        LOG_EVERY_N(WARNING, 1000)
            << "event=streams-full streams=" << kMaxStreams;
        continue;
      }
      recorded_.try_emplace(stream.stream, Recorded{index, until});
    }
  }
  return ends;
}

void StreamRecords::CollectAbandoned() {
  const absl::Time now = clock_();
  abandoned_.clear();
  // Before, this host's own registrations don't show what has served.
  if (now - started_at_ < 2 * kMaxStreamLife) return;
  const VersionSets own = hooks_.versions();
  for (const auto& [key, row] : seen_) {
    if (abandoned_.size() >= kMaxRowsDropped) break;
    if (StoreNow(now) - row.written_ms <
        absl::ToInt64Milliseconds(kAbandonedAfter)) {
      continue;
    }
    const bool holds =
        row.versions.empty() ? row.ends > now : Includes(own, row.versions);
    if (!holds) abandoned_.push_back(key);
  }
}

void StreamRecords::ForgetEnded(absl::Time now) {
  absl::erase_if(recorded_,
                 [now](const auto& item) { return item.second.until <= now; });
  for (auto& [service, versions] : table_versions_) {
    std::erase_if(versions, [now](const auto& item) {
      return item.second < now - kMaxStreamLife;
    });
  }
}

std::optional<std::string> StreamRecords::Find(StreamId stream) const {
  const auto found = recorded_.find(stream);
  if (found == recorded_.end() || found->second.until <= clock_()) {
    return std::nullopt;
  }
  return names_[static_cast<std::size_t>(found->second.version)];
}

std::set<std::string> StreamRecords::VersionsSince(NameHash service,
                                                   absl::Time from) const {
  std::set<std::string> found;
  const auto versions = table_versions_.find(service);
  if (versions == table_versions_.end()) return found;
  for (const auto& [version, seen] : versions->second) {
    if (seen >= from) found.insert(version);
  }
  return found;
}

bool StreamRecords::Covers(NameHash service, absl::Time from) const {
  return table_since_ms_ <= StoreNow(started_at_ - kStartTime) &&
         !VersionsSince(service, from).empty();
}

}  // namespace gentianlb::gateway
