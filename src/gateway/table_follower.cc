#include "gateway/table_follower.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace gentianlb::gateway {

TableFollower::TableFollower(TableFollowerOptions options, TablePort port,
                             TimerService* timers,
                             std::function<absl::Time()> clock,
                             std::uint64_t seed, OnRows on_rows,
                             OnState on_state)
    : options_(std::move(options)),
      port_(std::move(port)),
      timers_(timers),
      clock_(std::move(clock)),
      on_rows_(std::move(on_rows)),
      on_state_(std::move(on_state)),
      random_(seed) {}

TableFollower::~TableFollower() {
  timers_->Cancel(retry_);
  timers_->Cancel(behind_);
}

void TableFollower::Start() { Read(""); }

TableDone TableFollower::Guard(std::function<void(TableAnswer)> done) {
  return [this, alive = std::weak_ptr<int>(alive_), call = ++call_,
          done = std::move(done)](TableAnswer answer) {
    if (alive.lock() != nullptr && call == call_) done(std::move(answer));
  };
}

void TableFollower::Read(const std::string& from) {
  if (from.empty()) rows_.clear();
  port_.read(options_.table, from, Guard([this, from](TableAnswer answer) {
               TakeRead(from, std::move(answer));
             }));
}

void TableFollower::TakeRead(const std::string& from, TableAnswer answer) {
  if (const auto* failure = std::get_if<TableFailure>(&answer)) {
    Failed(*failure);
    return Again([this, from] { Read(from); });
  }
  Answered();
  auto& page = std::get<TablePage>(answer);
  // Pages are of different moments: what changed in between comes again with
  // the changes since the first.
  if (from.empty()) read_from_ = page.version;
  for (TableRow& row : page.rows) rows_.push_back(std::move(row));
  if (page.more && !rows_.empty()) {
    // The least key after the last one.
    return Read(rows_.back().key + '\0');
  }
  version_ = read_from_;
  complete_ = true;
  NoteVersions(rows_);
  on_rows_(rows_, /*whole=*/true, clock_());
  rows_.clear();
  Follow();
}

void TableFollower::FollowSoon() {
  const absl::Time due = followed_ + options_.interval;
  if (due <= clock_()) return Follow();
  retry_ = timers_->At(due, [this](absl::Time) { Follow(); });
}

void TableFollower::Follow() {
  followed_ = clock_();
  following_ = true;
  const bool doubtful = watching_ || !up_ || heard_of_ > version_;
  follow_wait_ = doubtful ? options_.short_wait : options_.wait;
  port_.follow(
      options_.table, version_, follow_wait_,
      Guard([this](TableAnswer answer) { TakeChanges(std::move(answer)); }));
}

void TableFollower::AskAnew() {
  LOG(INFO) << "event=table-asked-anew table=" << options_.table
            << " version=" << version_ << " heard_of=" << heard_of_
            << " watching=" << watching_;
  timers_->Cancel(retry_);
  Follow();
}

void TableFollower::SetWatching(bool watching) {
  if (watching_ == watching) return;
  watching_ = watching;
  if (watching && following_ && follow_wait_ > options_.short_wait) AskAnew();
}

void TableFollower::HeardOf(std::uint64_t change) {
  if (change <= heard_of_) return;
  heard_of_ = change;
  if (heard_of_ <= version_ || behind_ != 0) return;
  behind_ = timers_->At(clock_() + options_.behind, [this](absl::Time) {
    behind_ = 0;
    if (heard_of_ > version_ && following_) AskAnew();
  });
}

void TableFollower::NoteVersions(const std::vector<TableRow>& rows) {
  for (const TableRow& row : rows) {
    newest_change_ = std::max(newest_change_, row.version);
  }
}

void TableFollower::TakeChanges(TableAnswer answer) {
  following_ = false;
  if (const auto* failure = std::get_if<TableFailure>(&answer)) {
    if (*failure == TableFailure::kHistoryGone) {
      LOG(INFO) << "event=history-gone table=" << options_.table
                << " version=" << version_;
      return Again([this] { Read(""); });
    }
    Failed(*failure);
    return Again([this] { Follow(); });
  }
  Answered();
  const auto& page = std::get<TablePage>(answer);
  version_ = std::max(version_, page.version);
  NoteVersions(page.rows);
  if (!page.rows.empty()) on_rows_(page.rows, /*whole=*/false, clock_());
  FollowSoon();
}

void TableFollower::Failed(TableFailure /*failure*/) {
  ++failures_;
  if (!up_) return;
  up_ = false;
  LOG(WARNING) << "event=table-lost table=" << options_.table
               << " version=" << version_;
  on_state_(false, clock_());
}

void TableFollower::Answered() {
  failures_ = 0;
  if (up_) return;
  up_ = true;
  LOG(INFO) << "event=table-back table=" << options_.table
            << " version=" << version_;
  on_state_(true, clock_());
}

void TableFollower::Again(std::function<void()> call) {
  constexpr double kSteps = 1 << 20;
  const double draw = static_cast<double>(random_() % (1 << 20)) / kSteps;
  const absl::Duration delay = RetryDelay(options_.retry, failures_, draw);
  retry_ = timers_->At(clock_() + delay,
                       [call = std::move(call)](absl::Time) { call(); });
}

}  // namespace gentianlb::gateway
