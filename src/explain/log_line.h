// A line of an entry host's log: `TIME LEVEL host=H event=E field=value ...`.

#ifndef GENTIANLB_EXPLAIN_LOG_LINE_H_
#define GENTIANLB_EXPLAIN_LOG_LINE_H_

#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace gentianlb::explain {

struct LogLine {
  absl::Time time;
  std::string host;
  std::string event;
  absl::flat_hash_map<std::string, std::string> fields;

  // Empty when the line doesn't have it.
  absl::string_view Text(absl::string_view field) const;
  double Number(absl::string_view field) const;  // 0 when it is missing.
};

// None when the line is of another form, or was cut.
std::optional<LogLine> ParseLogLine(absl::string_view text);

}  // namespace gentianlb::explain

#endif  // GENTIANLB_EXPLAIN_LOG_LINE_H_
