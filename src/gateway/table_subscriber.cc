#include "gateway/table_subscriber.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "absl/random/distributions.h"

namespace gentianlb::gateway {

std::string_view NameOf(SubscriptionMode mode) {
  switch (mode) {
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
  timers_->Cancel(retry_timer_);
  timers_->Cancel(lag_timer_);
}

void TableSubscriber::Start() {
  started_ = true;
  Read("");
}

TableDone TableSubscriber::Guard(std::function<void(TableAnswer)> done) {
  return [this, alive = std::weak_ptr<int>(alive_), call = ++call_,
          done = std::move(done)](TableAnswer answer) {
    if (alive.lock() != nullptr && call == call_) done(std::move(answer));
  };
}

void TableSubscriber::Read(const std::string& from) {
  if (from.empty()) rows_.clear();
  port_.read(options_.table, from, Guard([this, from](TableAnswer answer) {
               OnReadAnswer(from, std::move(answer));
             }));
}

void TableSubscriber::OnReadAnswer(const std::string& from,
                                   TableAnswer answer) {
  if (const auto* failure = std::get_if<TableFailure>(&answer)) {
    OnFailure(*failure);
    return RetryLater([this, from] { Read(from); });
  }
  OnAnswer();
  auto& page = std::get<TablePage>(answer);
  // The pages have different versions. Reading changes from the version of the
  // first page returns those between the pages again.
  if (from.empty()) first_page_version_ = page.version;
  for (TableRow& row : page.rows) rows_.push_back(std::move(row));
  if (page.more && !rows_.empty()) {
    // The smallest key after the last one.
    return Read(rows_.back().key + '\0');
  }
  if (complete_ && first_page_version_ < version_) {
    // The read is older than the copy: removed servers would reappear.
    LOG(WARNING) << "event=table-read-old table=" << options_.table
                 << " version=" << version_ << " read=" << first_page_version_;
    return RetryLater([this] { Read(""); });
  }
  ReplaceAll(std::exchange(rows_, {}), first_page_version_);
  if (IsPollingMode()) return Poll();
  ContinueOrIdle();
}

void TableSubscriber::ReplaceAll(const std::vector<TableRow>& rows,
                                 std::uint64_t version) {
  version_ = version;
  complete_ = true;
  copy_.Replace(rows, version);
  RecordCaughtUp();
  RecordVersions(rows);
  on_rows_(rows, /*whole=*/true, clock_());
}

bool TableSubscriber::MayPoll() const {
  return IsPollingMode() || peers_newest_ > version_ ||
         (mode_ == SubscriptionMode::kProbing && probe_answered_);
}

void TableSubscriber::ContinueOrIdle() {
  if (MayPoll()) return PollSoon();
  idle_ = true;
  if (mode_ == SubscriptionMode::kProbing) ScheduleProbe();
}

absl::Duration TableSubscriber::ProbeDelay() {
  // Hosts that lost the service together must not all probe at once. The first
  // probes spread over the whole period, because with many hosts half a period
  // without any probe would be seconds.
  const double fraction = std::exchange(probed_, true)
                              ? absl::Uniform(random_, 0.5, 1.5)
                              : absl::Uniform(random_, 0.0, 1.0);
  return fraction * probe_period_;
}

void TableSubscriber::ScheduleProbe() {
  retry_timer_ =
      timers_->At(clock_() + ProbeDelay(), [this](absl::Time) { Poll(); });
}

void TableSubscriber::SetMode(SubscriptionMode mode,
                              absl::Duration probe_period) {
  probe_period_ = probe_period;
  if (mode_ == mode) return;
  LOG(INFO) << "event=following table=" << options_.table
            << " how=" << NameOf(mode) << " before=" << NameOf(mode_)
            << " version=" << version_ << " up=" << up_;
  mode_ = mode;
  probed_ = false;
  probe_answered_ = false;
  if (!complete_ || !idle_) return;
  timers_->Cancel(retry_timer_);
  ContinueOrIdle();
}

void TableSubscriber::PollSoon() {
  idle_ = false;
  const absl::Time due = last_poll_ + (mode_ == SubscriptionMode::kStandby
                                           ? options_.standby_interval
                                           : options_.interval);
  if (due <= clock_()) return Poll();
  retry_timer_ = timers_->At(due, [this](absl::Time) { Poll(); });
}

void TableSubscriber::Poll() {
  timers_->Cancel(retry_timer_);
  last_poll_ = clock_();
  polling_ = true;
  idle_ = false;
  poll_wait_ = PollWait();
  port_.poll_changes(options_.table, version_, poll_wait_,
                     Guard([this](TableAnswer answer) {
                       OnChangesAnswer(std::move(answer));
                     }));
}

bool TableSubscriber::IsCheck() const {
  const bool first_probe =
      mode_ == SubscriptionMode::kProbing && !probe_answered_;
  return !up_ || first_probe || (monitoring_ && !answered_monitor_);
}

absl::Duration TableSubscriber::PollWait() const {
  // Without a change, the answer would come after the wait, and the time
  // without any answer would look like an outage.
  if (IsCheck()) return absl::ZeroDuration();
  const bool may_be_unresponsive = monitoring_ || peers_newest_ > version_ ||
                                   mode_ == SubscriptionMode::kProbing;
  return may_be_unresponsive ? options_.short_wait : options_.wait;
}

bool TableSubscriber::IsMonitoredHere() const {
  if (!monitoring_ || !up_ || !answered_monitor_) return false;
  const absl::Time due = last_poll_ + poll_wait_ + options_.monitor_tolerance;
  return !polling_ || clock_() <= due;
}

void TableSubscriber::PollAgain() {
  LOG(INFO) << "event=table-asked-anew table=" << options_.table
            << " version=" << version_ << " heard_of=" << peers_newest_
            << " watching=" << monitoring_;
  Poll();
}

void TableSubscriber::SetMonitoring(bool monitoring) {
  if (monitoring_ == monitoring) return;
  monitoring_ = monitoring;
  answered_monitor_ = false;
  if (monitoring && polling_ && poll_wait_ > options_.short_wait) PollAgain();
}

void TableSubscriber::RecordPeerHistory(const TableHistory& history) {
  // If nothing changed after this host's version, it advances to that of the
  // peers. They can vouch for that only if they have the history since then:
  // they don't know of removals before they read the table.
  const bool unchanged =
      history.since <= version_ && history.newest_change <= version_;
  if (complete_ && unchanged) version_ = std::max(version_, history.version);
  if (history.newest_change <= peers_newest_) return;
  peers_newest_ = history.newest_change;
  if (peers_newest_ <= version_ || lag_timer_ != 0) return;
  lag_timer_ =
      timers_->At(clock_() + options_.lag_tolerance, [this](absl::Time) {
        lag_timer_ = 0;
        if (peers_newest_ <= version_ || !complete_) return;
        RecordLag();
        QueryPeers();
        if (polling_) PollAgain();
        if (idle_) PollSoon();
      });
}

bool TableSubscriber::ApplyPropagated(std::uint64_t since,
                                      const TablePage& page) {
  if (complete_ && page.version <= version_) return false;
  if (since == 0) {
    ReplaceAll(page.rows, page.version);
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

void TableSubscriber::QueryPeers() {
  if (!LacksData() || !on_missing_) return;
  on_missing_(complete_ ? version_ : 0, peer_queries_++);
}

void TableSubscriber::RecordLag() {
  if (lag_since_ != absl::InfiniteFuture()) return;
  lag_since_ = clock_();
  LOG(INFO) << "event=table-behind table=" << options_.table
            << " version=" << version_ << " heard_of=" << peers_newest_
            << " how=" << NameOf(mode_) << " up=" << up_;
}

void TableSubscriber::RecordCaughtUp() {
  if (!LacksData()) peer_queries_ = 0;
  if (lag_since_ == absl::InfiniteFuture() || version_ < peers_newest_) return;
  LOG(INFO) << "event=table-caught-up table=" << options_.table
            << " version=" << version_ << " behind_ms="
            << absl::ToInt64Milliseconds(clock_() - lag_since_);
  lag_since_ = absl::InfiniteFuture();
}

absl::Duration TableSubscriber::Lag() const {
  return std::max(absl::ZeroDuration(), clock_() - lag_since_);
}

void TableSubscriber::Apply(const TablePage& page) {
  version_ = page.version;
  copy_.Apply(page.rows, page.version);
  RecordCaughtUp();
  RecordVersions(page.rows);
  if (!page.rows.empty()) on_rows_(page.rows, /*whole=*/false, clock_());
}

void TableSubscriber::RecordVersions(const std::vector<TableRow>& rows) {
  for (const TableRow& row : rows) {
    newest_change_ = std::max(newest_change_, row.version);
  }
}

void TableSubscriber::OnChangesAnswer(TableAnswer answer) {
  polling_ = false;
  if (const auto* failure = std::get_if<TableFailure>(&answer)) {
    if (*failure == TableFailure::kHistoryGone) {
      LOG(INFO) << "event=history-gone table=" << options_.table
                << " version=" << version_;
      availability_.OnAnswer(own_calls(), clock_());
      return RetryLater([this] { Read(""); });
    }
    OnFailure(*failure);
    if (!MayPoll()) return ContinueOrIdle();
    return RetryLater([this] { Poll(); });
  }
  OnAnswer();
  const auto& page = std::get<TablePage>(answer);
  const std::uint64_t since = version_;
  // A newer change may have been propagated meanwhile.
  if (page.version >= version_) Apply(page);
  // Sends each row once, though the service returns each change of a row.
  if (on_changes_ && !page.rows.empty()) {
    on_changes_(since, ChangesSince(since));
  }
  ContinueOrIdle();
}

void TableSubscriber::OnFailure(TableFailure /*failure*/) {
  ++failures_;
  probe_answered_ = false;
  QueryPeers();
  if (!up_) return;
  up_ = false;
  LOG(WARNING) << "event=table-lost table=" << options_.table
               << " version=" << version_;
  on_state_(false, clock_());
}

void TableSubscriber::OnAnswer() {
  availability_.OnAnswer(own_calls(), clock_());
  failures_ = 0;
  probe_answered_ = true;
  answered_monitor_ = monitoring_;
  if (up_) return;
  up_ = true;
  LOG(INFO) << "event=table-back table=" << options_.table
            << " version=" << version_;
  on_state_(true, clock_());
}

void TableSubscriber::RetryLater(std::function<void()> call) {
  constexpr double kSteps = 1 << 20;
  const double fraction = static_cast<double>(random_() % (1 << 20)) / kSteps;
  const absl::Duration delay = RetryDelay(options_.retry, failures_, fraction);
  retry_timer_ = timers_->At(clock_() + delay,
                             [call = std::move(call)](absl::Time) { call(); });
}

}  // namespace gentianlb::gateway
