#include "gateway/table_subscriber.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "absl/random/distributions.h"

namespace gentianlb::gateway {

std::string_view NameOf(SubscriptionMode following) {
  switch (following) {
    case SubscriptionMode::kAlways:
      return "always";
    case SubscriptionMode::kStandby:
      return "standby";
    case SubscriptionMode::kPassive:
      return "when-told";
    case SubscriptionMode::kProbing:
      return "probing";
  }
  return "unknown";
}

TableSubscriber::TableSubscriber(TableSubscriberOptions options, TablePort port,
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

TableSubscriber::~TableSubscriber() {
  timers_->Cancel(retry_);
  timers_->Cancel(behind_);
}

void TableSubscriber::Start() { Read(""); }

TableDone TableSubscriber::Guard(std::function<void(TableAnswer)> done) {
  return [this, alive = std::weak_ptr<int>(alive_), call = ++call_,
          done = std::move(done)](TableAnswer answer) {
    if (alive.lock() != nullptr && call == call_) done(std::move(answer));
  };
}

void TableSubscriber::Read(const std::string& from) {
  if (from.empty()) rows_.clear();
  port_.read(options_.table, from, Guard([this, from](TableAnswer answer) {
               TakeRead(from, std::move(answer));
             }));
}

void TableSubscriber::TakeRead(const std::string& from, TableAnswer answer) {
  if (const auto* failure = std::get_if<TableFailure>(&answer)) {
    Failed(*failure);
    return Again([this, from] { Read(from); });
  }
  Answered();
  auto& page = std::get<TablePage>(answer);
  // The pages have different versions. Reading changes from the version of the
  // first page returns those between the pages again.
  if (from.empty()) read_from_ = page.version;
  for (TableRow& row : page.rows) rows_.push_back(std::move(row));
  if (page.more && !rows_.empty()) {
    // The smallest key after the last one.
    return Read(rows_.back().key + '\0');
  }
  if (complete_ && read_from_ < version_) {
    // The read is older than the copy: removed servers would reappear.
    LOG(WARNING) << "event=table-read-old table=" << options_.table
                 << " version=" << version_ << " read=" << read_from_;
    return Again([this] { Read(""); });
  }
  TakeWhole(std::exchange(rows_, {}), read_from_);
  if (FollowsAlways()) return Follow();
  GoOn();
}

void TableSubscriber::TakeWhole(const std::vector<TableRow>& rows,
                                std::uint64_t version) {
  version_ = version;
  complete_ = true;
  copy_.Replace(rows, version);
  NoteCaughtUp();
  NoteVersions(rows);
  on_rows_(rows, /*whole=*/true, clock_());
}

bool TableSubscriber::MayFollow() const {
  return FollowsAlways() || heard_of_ > version_ ||
         (mode_ == SubscriptionMode::kProbing && probe_answered_);
}

void TableSubscriber::GoOn() {
  if (MayFollow()) return FollowSoon();
  idle_ = true;
  if (mode_ == SubscriptionMode::kProbing) ProbeLater();
}

absl::Duration TableSubscriber::UntilProbe() {
  // Hosts that lost the service together must not all probe at once. The first
  // probes spread over the whole period, because with many hosts half a period
  // without any probe would be seconds.
  const double draw = std::exchange(probed_, true)
                          ? absl::Uniform(random_, 0.5, 1.5)
                          : absl::Uniform(random_, 0.0, 1.0);
  return draw * probe_period_;
}

void TableSubscriber::ProbeLater() {
  retry_ =
      timers_->At(clock_() + UntilProbe(), [this](absl::Time) { Follow(); });
}

void TableSubscriber::SetMode(SubscriptionMode following,
                              absl::Duration probe_period) {
  probe_period_ = probe_period;
  if (mode_ == following) return;
  LOG(INFO) << "event=following table=" << options_.table
            << " how=" << NameOf(following) << " before=" << NameOf(mode_)
            << " version=" << version_ << " up=" << up_;
  mode_ = following;
  probed_ = false;
  probe_answered_ = false;
  if (!complete_ || !idle_) return;
  timers_->Cancel(retry_);
  GoOn();
}

void TableSubscriber::FollowSoon() {
  idle_ = false;
  const absl::Time due = followed_ + (mode_ == SubscriptionMode::kStandby
                                          ? options_.standby_interval
                                          : options_.interval);
  if (due <= clock_()) return Follow();
  retry_ = timers_->At(due, [this](absl::Time) { Follow(); });
}

void TableSubscriber::Follow() {
  timers_->Cancel(retry_);
  followed_ = clock_();
  following_ = true;
  idle_ = false;
  const bool doubtful = watching_ || !up_ || heard_of_ > version_ ||
                        mode_ == SubscriptionMode::kProbing;
  follow_wait_ = doubtful ? options_.short_wait : options_.wait;
  port_.poll_changes(
      options_.table, version_, follow_wait_,
      Guard([this](TableAnswer answer) { TakeChanges(std::move(answer)); }));
}

void TableSubscriber::AskAnew() {
  LOG(INFO) << "event=table-asked-anew table=" << options_.table
            << " version=" << version_ << " heard_of=" << heard_of_
            << " watching=" << watching_;
  Follow();
}

void TableSubscriber::SetMonitoring(bool watching) {
  if (watching_ == watching) return;
  watching_ = watching;
  if (watching && following_ && follow_wait_ > options_.short_wait) AskAnew();
}

void TableSubscriber::RecordPeerHistory(const TableHistory& known) {
  // Nothing changed after this host's version. Peers can vouch for that only if
  // they have the history since then: they don't know of removals before they
  // read the table.
  const bool vouched =
      known.since <= version_ && known.newest_change <= version_;
  if (complete_ && vouched) version_ = std::max(version_, known.version);
  if (known.newest_change <= heard_of_) return;
  heard_of_ = known.newest_change;
  if (heard_of_ <= version_ || behind_ != 0) return;
  behind_ = timers_->At(clock_() + options_.behind, [this](absl::Time) {
    behind_ = 0;
    if (heard_of_ <= version_ || !complete_) return;
    NoteBehind();
    AskOthers();
    if (following_) AskAnew();
    if (idle_) FollowSoon();
  });
}

bool TableSubscriber::ApplyPropagated(std::uint64_t since,
                                      const TablePage& page) {
  if (complete_ && page.version <= version_) return false;
  if (since == 0) {
    TakeWhole(page.rows, page.version);
    return true;
  }
  if (!complete_) return false;
  if (since > version_) {
    // An earlier message was lost.
    for (const TableRow& row : page.rows) {
      RecordPeerHistory({row.version, /*since=*/since, page.version});
    }
    return false;
  }
  Apply(page);
  return true;
}

void TableSubscriber::AskOthers() {
  if (!Lacks() || !on_missing_) return;
  on_missing_(complete_ ? version_ : 0, asked_others_++);
}

void TableSubscriber::NoteBehind() {
  if (behind_since_ != absl::InfiniteFuture()) return;
  behind_since_ = clock_();
  LOG(INFO) << "event=table-behind table=" << options_.table
            << " version=" << version_ << " heard_of=" << heard_of_
            << " how=" << NameOf(mode_) << " up=" << up_;
}

void TableSubscriber::NoteCaughtUp() {
  if (!Lacks()) asked_others_ = 0;
  if (behind_since_ == absl::InfiniteFuture() || version_ < heard_of_) return;
  LOG(INFO) << "event=table-caught-up table=" << options_.table
            << " version=" << version_ << " behind_ms="
            << absl::ToInt64Milliseconds(clock_() - behind_since_);
  behind_since_ = absl::InfiniteFuture();
}

absl::Duration TableSubscriber::Lag() const {
  return std::max(absl::ZeroDuration(), clock_() - behind_since_);
}

void TableSubscriber::Apply(const TablePage& page) {
  version_ = page.version;
  copy_.Apply(page.rows, page.version);
  NoteCaughtUp();
  NoteVersions(page.rows);
  if (!page.rows.empty()) on_rows_(page.rows, /*whole=*/false, clock_());
}

void TableSubscriber::NoteVersions(const std::vector<TableRow>& rows) {
  for (const TableRow& row : rows) {
    newest_change_ = std::max(newest_change_, row.version);
  }
}

void TableSubscriber::TakeChanges(TableAnswer answer) {
  following_ = false;
  if (const auto* failure = std::get_if<TableFailure>(&answer)) {
    if (*failure == TableFailure::kHistoryGone) {
      LOG(INFO) << "event=history-gone table=" << options_.table
                << " version=" << version_;
      return Again([this] { Read(""); });
    }
    Failed(*failure);
    if (!MayFollow()) return GoOn();
    return Again([this] { Follow(); });
  }
  Answered();
  const auto& page = std::get<TablePage>(answer);
  const std::uint64_t since = version_;
  // A newer change may have been propagated meanwhile.
  if (page.version >= version_) Apply(page);
  // Sends each row once, though the service returns each change of a row.
  if (on_changes_ && !page.rows.empty()) {
    on_changes_(since, ChangesSince(since));
  }
  GoOn();
}

void TableSubscriber::Failed(TableFailure /*failure*/) {
  ++failures_;
  probe_answered_ = false;
  AskOthers();
  if (!up_) return;
  up_ = false;
  LOG(WARNING) << "event=table-lost table=" << options_.table
               << " version=" << version_;
  on_state_(false, clock_());
}

void TableSubscriber::Answered() {
  failures_ = 0;
  probe_answered_ = true;
  if (up_) return;
  up_ = true;
  LOG(INFO) << "event=table-back table=" << options_.table
            << " version=" << version_;
  on_state_(true, clock_());
}

void TableSubscriber::Again(std::function<void()> call) {
  constexpr double kSteps = 1 << 20;
  const double draw = static_cast<double>(random_() % (1 << 20)) / kSteps;
  const absl::Duration delay = RetryDelay(options_.retry, failures_, draw);
  retry_ = timers_->At(clock_() + delay,
                       [call = std::move(call)](absl::Time) { call(); });
}

}  // namespace gentianlb::gateway
