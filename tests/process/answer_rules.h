// Judges answers by what callers got and what servers report alone.

#ifndef GENTIANLB_PROCESS_ANSWER_RULES_H_
#define GENTIANLB_PROCESS_ANSWER_RULES_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/overlaps.h"
#include "process/caller_connection.h"

namespace gentianlb::process {

// A server's work on a request.
struct ServerWork {
  std::string request;
  Span span;
};

// From the rules: for so long a server may work on a stream after another one
// has begun to go on with it.
inline constexpr absl::Duration kMaxTwoAtWork = absl::Milliseconds(400);

// A host or a server was disturbed. For the rules it is out of touch then, and
// for a while after.
struct Disturbance {
  std::string name;
  Span span;
};

// What a server reports.
struct ServerReport {
  std::string server;
  std::string version;
  std::size_t body_bytes = 0;
  std::vector<std::string> runs;      // Ids of requests, once for each run.
  std::set<std::string> finished;     // Those whose answer was written whole.
  std::set<std::string> doubled_for;  // Before whose answers a copy came.
  std::vector<ServerWork> work;       // Whose begin and end it has reported.
};

// Reads the lines that a faulty server has written.
ServerReport ReadServerReport(const std::string& server,
                              const std::string& version,
                              std::size_t body_bytes, const std::string& lines);

// A caller's attempt and its answer.
struct CallRecord {
  std::string id;
  bool once = false;  // It may run at most once.
  bool stream = false;
  int after_event = 0;  // The last event that the caller had before.
  std::string resumes;  // The attempt whose stream it takes up.
  std::string host;
  RawAnswer answer;
};

struct Judgement {
  int calls = 0;
  int served = 0;
  std::map<int, int> by_status;  // 0: no answer.
  // What broke each rule, a line each.
  std::vector<std::string> twice;
  std::vector<std::string> refused;
  std::vector<std::string> mixed;
  std::vector<std::string> order;

  double ServedShare() const {
    return calls == 0 ? 0 : static_cast<double>(served) / calls;
  }
  // Counts and all lines.
  std::string Text() const;
};

// Returns the number of the last whole event of a stream's part; `after_event`
// if there is none.
int LastEventOf(const std::string& body, int after_event);

// `events`: of a whole stream.
Judgement Judge(const std::vector<CallRecord>& calls,
                const std::vector<ServerReport>& reports, int events);

// Returns a line for each stream on which a server worked for longer than
// kMaxTwoAtWork after another one had begun to go on with it, though neither
// that server nor the host that had sent it there was disturbed within
// `touch_time` before.
std::vector<std::string> FindTwoAtWork(
    const std::vector<CallRecord>& calls,
    const std::vector<ServerReport>& reports,
    const std::vector<Disturbance>& disturbances, absl::Duration touch_time);

}  // namespace gentianlb::process

#endif  // GENTIANLB_PROCESS_ANSWER_RULES_H_
