// Judges answers by what callers got and what servers report alone.

#ifndef GENTIANLB_PROCESS_ANSWER_RULES_H_
#define GENTIANLB_PROCESS_ANSWER_RULES_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "process/caller_connection.h"

namespace gentianlb::process {

// What a server reports.
struct ServerReport {
  std::string server;
  std::string version;
  std::size_t body_bytes = 0;
  std::vector<std::string> runs;      // Ids of requests, once for each run.
  std::set<std::string> finished;     // Those whose answer was written whole.
  std::set<std::string> doubled_for;  // Before whose answers a copy came.
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

}  // namespace gentianlb::process

#endif  // GENTIANLB_PROCESS_ANSWER_RULES_H_
