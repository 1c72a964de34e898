// Takes all lines of glog and writes them to standard output without ever
// waiting, and not more than a bounded volume of them.
//
// A reader that stops reading, or an overload in which every request gives
// several lines, would otherwise stop the process in the middle of a write or
// cost more than the requests do. What is left out is counted, and a line says
// how much it was.

#ifndef GENTIANLB_LOG_BOUNDED_LOG_H_
#define GENTIANLB_LOG_BOUNDED_LOG_H_

#include <glog/logging.h>

#include <cstdint>
#include <string>

#include "absl/time/time.h"

namespace gentianlb::log {

struct BoundedLogOptions {
  int descriptor = 1;
  // Lines of the information level; warnings and errors always pass. A host
  // of today's deployments serves about 40 requests a second at its peak, with
  // one or two lines each.
  double lines_per_second = 200;
  double burst_lines = 1000;
  // Waits here while the reader doesn't read.
  std::size_t buffer_bytes = 128 << 10;
};

// One stands in a process. Not thread-safe beyond glog's own lock.
class BoundedLog : public google::LogSink {
 public:
  // Takes glog over until the end of this object. Each line begins with the
  // time of day, the level and `name`.
  BoundedLog(BoundedLogOptions options, std::string name);
  ~BoundedLog() override;  // Writes what it can.
  BoundedLog(const BoundedLog&) = delete;
  BoundedLog& operator=(const BoundedLog&) = delete;

  // Writes as much as the reader takes now.
  void Flush();

  std::uint64_t dropped_lines() const { return left_out_; }

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
  absl::Time refilled_;
  std::uint64_t left_out_ = 0;
  std::uint64_t left_out_told_ = 0;
};

}  // namespace gentianlb::log

#endif  // GENTIANLB_LOG_BOUNDED_LOG_H_
