// Where callers were not served in time, and why: what became of each request,
// counted by cause, by route and by second.
//
// The lines of a host tell of one attempt of a caller each; an attempt that was
// refused and came back counts as two. An attempt of which a host has no last
// line was lost with that host, or is still open where the log ends.

#ifndef GENTIANLB_EXPLAIN_LOSSES_H_
#define GENTIANLB_EXPLAIN_LOSSES_H_

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "explain/log_line.h"

namespace gentianlb::explain {

// In the order of the table.
enum class Ending {
  kInTime,
  kPaused,        // The first event in time, a pause between events not.
  kLate,          // The first event, or the answer.
  kOverLimit,     // Its workspace's limit.
  kNoRoom,        // The dispatcher, at once.
  kNoRoomLate,    // The dispatcher, after it had waited.
  kNoServer,      // None usable, none reached, all full or in their cooldown.
  kUnknown,       // No such route or key, or no configuration yet.
  kServerFailed,  // It broke off, or failed.
  kDeadline,      // The time was up while a server had it.
  kCallerLeft,
  kNotTaken,  // The answer, by the caller's connection.
  kHostLost,
};

absl::string_view NameOf(Ending ending);

struct Counted {
  std::int64_t requests = 0;
  double prompt_tokens = 0;
  bool operator==(const Counted&) const = default;
};

class Losses {
 public:
  void Add(const LogLine& line);

  // Notes what has no end as lost with its host.
  void Finish();

  // By ending and route.
  const std::map<Ending, std::map<std::string, Counted>>& table() const {
    return table_;
  }
  // By second of the log and ending.
  const std::map<std::int64_t, std::map<Ending, std::int64_t>>& seconds()
      const {
    return seconds_;
  }

  void PrintTable(std::ostream& out) const;
  void PrintSeconds(std::ostream& out) const;

 private:
  // Those that have a column of their own in the table.
  std::vector<std::string> MainRoutes() const;

  // `by`: requests; -1 takes one back.
  void Count(Ending ending, const LogLine& line, int by = 1);
  void CountUndelivered(const std::string& id, const LogLine& line);

  // The last line of each request that was sent and has no end yet.
  absl::flat_hash_map<std::string, LogLine> open_;
  // The ending of each request that was answered, and its line.
  absl::flat_hash_map<std::string, std::pair<Ending, LogLine>> answered_;
  absl::Time begin_ = absl::InfiniteFuture();
  std::map<Ending, std::map<std::string, Counted>> table_;
  std::map<std::int64_t, std::map<Ending, std::int64_t>> seconds_;
};

}  // namespace gentianlb::explain

#endif  // GENTIANLB_EXPLAIN_LOSSES_H_
