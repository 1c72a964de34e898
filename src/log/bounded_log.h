// Writes all glog lines to standard output without blocking and at a limited
// rate.
//
// Without it, a reader that stops reading would block the process in a write,
// and in an overload, logging several lines per request would cost more than
// the requests. Dropped lines are counted and their number is logged.

#ifndef GENTIANLB_LOG_BOUNDED_LOG_H_
#define GENTIANLB_LOG_BOUNDED_LOG_H_

#include <glog/logging.h>

#include <cstdint>
#include <string>

#include "absl/time/time.h"

namespace gentianlb::log {

struct BoundedLogOptions {
  int descriptor = 1;
  // Rate limit for lines of level INFO; warnings and errors are not limited. A
  // host serves about 40 requests per second at its peak, with one or two lines
  // each.
  double lines_per_second = 200;
  double burst_lines = 1000;
  // Capacity of the buffer for lines that the reader hasn't read yet.
  std::size_t buffer_bytes = 128 << 10;
};

// At most one instance per process. Not thread-safe beyond glog's own lock.
class BoundedLog : public google::LogSink {
 public:
  // Redirects glog until this object is destroyed. Each line begins with the
  // UTC time, the level and `name`.
  BoundedLog(BoundedLogOptions options, std::string name);
  ~BoundedLog() override;  // Flushes without blocking.
  BoundedLog(const BoundedLog&) = delete;
  BoundedLog& operator=(const BoundedLog&) = delete;

  // Writes as much of the buffer as possible without blocking.
  void Flush();

  std::uint64_t dropped_lines() const { return dropped_lines_; }

  void send(google::LogSeverity severity, const char* full_filename,
            const char* base_filename, int line,
            const google::LogMessageTime& time, const char* message,
            std::size_t message_len) override;

 private:
  bool Admit(google::LogSeverity severity);
  void Append(google::LogSeverity severity, std::string_view text);

  const BoundedLogOptions options_;
  const std::string name_;
  std::string buffer_;
  double allowance_;
  absl::Time refilled_at_;
  std::uint64_t dropped_lines_ = 0;
  std::uint64_t reported_dropped_lines_ = 0;
};

}  // namespace gentianlb::log

#endif  // GENTIANLB_LOG_BOUNDED_LOG_H_
