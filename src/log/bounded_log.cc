#include "log/bounded_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "absl/time/clock.h"

namespace gentianlb::log {
namespace {

// Buffered bytes that trigger a flush: few writes, and a short delay.
constexpr std::size_t kFlushThresholdBytes = 16 << 10;

constexpr google::LogSeverity kSeverities[] = {
    google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR,
    google::GLOG_FATAL};

}  // namespace

BoundedLog::BoundedLog(BoundedLogOptions options, std::string name)
    : options_(options),
      name_(std::move(name)),
      allowance_(options.burst_lines),
      refilled_at_(absl::Now()) {
  const int flags = fcntl(options_.descriptor, F_GETFL);
  fcntl(options_.descriptor, F_SETFL, flags | O_NONBLOCK);
  FLAGS_logtostderr = false;
  FLAGS_stderrthreshold = google::GLOG_FATAL;
  // Disables log files: a host has no disk.
  for (const google::LogSeverity severity : kSeverities) {
    google::SetLogDestination(severity, "");
  }
  google::AddLogSink(this);
}

BoundedLog::~BoundedLog() {
  google::RemoveLogSink(this);
  Flush();
}

void BoundedLog::send(google::LogSeverity severity,
                      const char* /*full_filename*/,
                      const char* /*base_filename*/, int /*line*/,
                      const google::LogMessageTime& /*time*/,
                      const char* message, std::size_t message_len) {
  if (!Admit(severity)) {
    ++dropped_lines_;
    return;
  }
  if (dropped_lines_ > reported_dropped_lines_) {
    const std::uint64_t count = dropped_lines_ - reported_dropped_lines_;
    reported_dropped_lines_ = dropped_lines_;
    Append(google::GLOG_WARNING,
           "event=log-left-out lines=" + std::to_string(count));
  }
  Append(severity, std::string_view(message, message_len));
  if (buffer_.size() >= kFlushThresholdBytes) Flush();
}

bool BoundedLog::Admit(google::LogSeverity severity) {
  if (buffer_.size() >= options_.buffer_bytes) return false;
  const absl::Time now = absl::Now();
  // The wall clock may jump back; the allowance doesn't grow then.
  const double elapsed_seconds =
      std::max(0.0, absl::ToDoubleSeconds(now - refilled_at_));
  refilled_at_ = now;
  allowance_ =
      std::min(options_.burst_lines,
               allowance_ + elapsed_seconds * options_.lines_per_second);
  if (severity > google::GLOG_INFO) return true;
  if (allowance_ < 1) return false;
  allowance_ -= 1;
  return true;
}

void BoundedLog::Append(google::LogSeverity severity, std::string_view text) {
  constexpr char kLevels[] = "IWEF";
  buffer_ += absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ ", absl::Now(),
                              absl::UTCTimeZone());
  buffer_ += kLevels[std::clamp(severity, 0, 3)];
  buffer_ += " host=";
  buffer_ += name_;
  buffer_ += ' ';
  buffer_ += text;
  buffer_ += '\n';
}

void BoundedLog::Flush() {
  while (!buffer_.empty()) {
    const ssize_t written =
        write(options_.descriptor, buffer_.data(), buffer_.size());
    if (written <= 0) return;  // The rest is written later, if at all.
    buffer_.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace gentianlb::log
