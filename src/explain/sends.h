// Checks, from the lines of entry hosts, that no request was sent to a second
// server while an earlier send of it was open or may have run it, and that no
// refusal promised "not run" of such a request.
//
// The lines of one process must come in the order in which it wrote them; those
// of several hosts may come one log after the other.

#ifndef GENTIANLB_EXPLAIN_SENDS_H_
#define GENTIANLB_EXPLAIN_SENDS_H_

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/overlaps.h"
#include "explain/log_line.h"

namespace gentianlb::explain {

enum class SendFault {
  kSecondSend,     // Sent while an earlier send was open.
  kSentAgain,      // Sent though an earlier send may have run it, may run once.
  kFalsePromise,   // Refused while a send was open, or though one may have run.
  kTwoAtWork,      // A stream was taken up, and its first server worked on.
  kCopiedRefusal,  // Refused twice on one connection: perhaps by a copy.
};

absl::string_view NameOf(SendFault fault);

struct SendProblem {
  SendFault fault = SendFault::kSecondSend;
  std::string request;
  std::string first;       // Host and server of the earlier send.
  std::string second;      // Of the later one, or the host that refused.
  absl::Duration overlap;  // kTwoAtWork: for how long both were open.
  bool operator==(const SendProblem&) const = default;
};

class Sends {
 public:
  // For so long the platform lets a server work on a stream after another
  // server has begun to go on with it.
  static constexpr absl::Duration kMaxOverlap = absl::Milliseconds(400);

  void Add(const LogLine& line);

  // Ends what is open, and compares the sends of each stream.
  void Finish();

  const std::vector<SendProblem>& problems() const { return problems_; }
  // Number of sends of requests that may run once at most, and of others.
  std::int64_t sends_once() const { return sends_once_; }
  std::int64_t sends_others() const { return sends_others_; }
  std::int64_t taken_up() const { return taken_up_; }

  // Prints the counts and a line for each problem.
  void Print(std::ostream& out) const;

 private:
  struct Request {
    bool open = false;
    bool may_have_run = false;
    bool once = false;
    std::string place;   // Of the send that is open, or ended last.
    std::string stream;  // The caller's attempt that got its first event.
    // The place of each refusal, by its connection's port.
    std::map<std::int64_t, std::string> refusals;
    absl::Time sent;
  };
  // The sends of one stream, in the order in which they ended.
  struct Stream {
    std::vector<Span> spans;
    std::vector<std::string> requests;  // Of each span.
    std::vector<std::string> places;
  };
  struct Host {
    // Its last line on a request; a process that starts writes others first.
    absl::Time last;
    absl::flat_hash_map<std::string, Request> requests;  // Without an end.
  };

  void OnSent(const LogLine& line, Host& host);
  void OnEnd(const LogLine& line, Host& host);
  // Compares a server's refusal with the earlier ones of its request.
  void OnShed(const LogLine& line, const std::string& id, Request& request);
  void EndSend(const std::string& id, Request& request, absl::Time end);
  // The process has ended, and with it all connections.
  void EndAll(Host& host);
  void CompareStreams();

  std::map<std::string, Host> hosts_;
  std::map<std::string, Stream> streams_;  // By first attempt.
  std::vector<SendProblem> problems_;
  std::int64_t sends_once_ = 0;
  std::int64_t sends_others_ = 0;
  std::int64_t taken_up_ = 0;
};

}  // namespace gentianlb::explain

#endif  // GENTIANLB_EXPLAIN_SENDS_H_
