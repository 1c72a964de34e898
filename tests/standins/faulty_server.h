// A backend server that writes raw bytes to its connections, faulty by seed:
// it writes answers twice, refuses, cuts its answers, and leaves out their
// framing. It reports each run, each finished answer and each connection that
// carries a request as a line of text. A request may ask for a large head of
// its answer by `Answer-Head: BYTES,LINES`.
// SIGUSR1 cuts its link: no packet arrives any more, the ends of connections
// neither, while its own go out. SIGUSR2 heals it.

#ifndef GENTIANLB_STANDINS_FAULTY_SERVER_H_
#define GENTIANLB_STANDINS_FAULTY_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace gentianlb::standins {

// Shares are between 0 and 1, of all answers unless a comment says otherwise.
struct FaultyServerOptions {
  std::string id;
  int port = 0;                // 0: any that is free.
  std::int64_t started = 0;    // As its report states it; 0: it doesn't.
  std::string version = "v1";  // Named in each event of its streams.
  std::uint64_t seed = 1;

  absl::Duration work = absl::Milliseconds(5);  // Before an answer begins.
  std::size_t body_bytes = 600;                 // Of a plain answer, at least.
  int pieces = 1;                               // Of a plain body.
  absl::Duration piece_gap;                     // After each of them.
  int events = 5;                               // Of a stream.
  absl::Duration event_gap;                     // After each of them.

  // Written once more where the next answer on its connection is due.
  double doubled = 0;           // Of what isn't refused.
  double doubled_refusals = 0;  // Of the refusals, 421 included.
  double copied_at_once = 0;    // Written once more at once.
  double refused = 0;           // Not run: 503 unless stated otherwise.
  int refused_first = 0;        // Arrivals of each request that are refused.
  double too_many = 0;          // Of the refusals: 429.
  double timeouts = 0;          // Of the refusals: 408.
  double unnamed = 0.5;         // Of the refusals: without a Request-Id.
  double chunked = 0;           // Of plain answers.
  double unframed = 0;          // Of plain answers: they end with a close.
  double unframed_streams = 0;
  double cut = 0;          // Ends in the middle of the body.
  double cut_in_head = 0;  // Ends inside the head.
  double reset = 0.5;      // Of what is cut, where a close is a fault too.
  double endless = 0;      // Of plain answers: chunks until the caller closes.
  double bad_head = 0;     // Outside the grammar of HTTP/1.1, of all kinds.
  // Answers requests of which not all has come with the beginning of an
  // unframed answer, ends its side, and resets the connection later.
  bool answers_early = false;
};

// What a server does with one arrival of a request.
struct FaultyPlan {
  enum class Framing { kLength, kChunks, kClose };

  bool refused = false;
  int refusal_status = 503;
  bool named = true;
  bool doubled = false;
  bool copy_before_work = false;  // The copy comes as the request does.
  bool copied_at_once = false;
  bool cut = false;
  bool cut_in_head = false;
  bool reset = false;
  bool endless = false;
  bool bad_head = false;
  double bad_head_kind = 0;  // Share of the list of them.
  double cut_at = 0;         // Share of the body, or of the head.
  Framing framing = Framing::kLength;
};

class FaultyServer {
 public:
  // Reports to `report`, a descriptor, also `port=N` at the start.
  FaultyServer(FaultyServerOptions options, int report);
  FaultyServer(const FaultyServer&) = delete;
  FaultyServer& operator=(const FaultyServer&) = delete;

  // Serves until the process ends.
  [[noreturn]] void Run();

 private:
  struct Request;
  struct Answer;

  // Cuts and heals the link, as signals say.
  [[noreturn]] void WatchLink();
  void Serve(int connection);
  // Answers a question about the server itself. Returns false if the request is
  // none.
  bool AnswerAboutItself(int connection, const Request& request) const;
  // Refuses a request for another server. Returns whether the connection stays
  // open.
  bool RefuseMisdirected(int connection, const Request& request,
                         std::string* copy);
  // Returns whether the connection stays open.
  bool Handle(int connection, const Request& request, std::string* copy);
  FaultyPlan MakePlan(const Request& request);
  Answer MakeRefusal(const Request& request, const FaultyPlan& plan) const;
  static std::string FurtherHeaders(const Request& request);
  Answer MakePlain(const Request& request, const FaultyPlan& plan) const;
  Answer MakeStream(const Request& request, const FaultyPlan& plan) const;
  bool WriteAnswer(int connection, const Request& request,
                   const FaultyPlan& plan, const Answer& answer);
  void WriteBadHead(int connection, const Request& request,
                    const FaultyPlan& plan, const Answer& answer);
  // Returns whether it has answered a request whose head alone has come.
  bool AnswerEarly(int connection, const Request& request);
  void WriteWithoutEnd(int connection, const Request& request);
  void Report(const std::string& line);

  const FaultyServerOptions options_;
  const int report_;
  int listener_ = -1;
  absl::Mutex mutex_;
  std::set<int> connections_ ABSL_GUARDED_BY(mutex_);
  // How often each request has come, by its id.
  std::map<std::string, int> arrivals_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace gentianlb::standins

#endif  // GENTIANLB_STANDINS_FAULTY_SERVER_H_
