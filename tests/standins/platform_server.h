// Stands in for a backend server of the users' platform: runs calls, streams
// events, refuses what is for another server, and counts what it has run.

#ifndef GENTIANLB_STANDINS_PLATFORM_SERVER_H_
#define GENTIANLB_STANDINS_PLATFORM_SERVER_H_

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "http/server.h"
#include "standins/timer_queue.h"

namespace gentianlb::standins {

class PlatformServer {
 public:
  struct Faults {
    int cut_after_events = -1;   // Streams break off there; -1: never.
    bool sheds = false;          // Refuses requests and doesn't run them.
    int sheds_one_in = 1;        // Of so many requests, while it does.
    std::string retry_after;     // Named in its refusals; empty: none.
    bool leaving = false;        // Says so in all answers.
    bool loses_answers = false;  // Runs it, and breaks the connection.
    // Ends while it runs a request whose body contains this; empty: none.
    std::string ends_under;
    // Ends as it begins to write on a prompt with this part; empty: none.
    std::string ends_under_part;
    absl::Duration event_gap;  // Between the events of its streams.
    // Named in all answers, as it stands; empty: none.
    std::string request_limit;
  };

  // A request that was meant for this server.
  struct Arrival {
    absl::Time at;
    std::string request;  // Its id.
    bool shed = false;
    std::string retry_after;  // That its refusal named.
  };

  // Listens on a port that the kernel picks. The events of its streams hold
  // `version`, that of its software, if it states one.
  explicit PlatformServer(std::string id, int events = 5,
                          std::string version = "");
  ~PlatformServer();
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  // Its row in the table of servers.
  std::string Registration(const std::string& service,
                           const std::string& state = "ready") const;
  const std::string& id() const { return id_; }

  void SetFaults(const Faults& faults);
  // Whether it has ended under a request. It accepts no connections any more.
  bool HasEnded() const;
  // When requests arrived that were meant for this server, in order.
  std::vector<absl::Time> Arrivals() const;
  // The same, with what became of them.
  std::vector<Arrival> History() const;
  // How often each request has run here, by its id.
  std::map<std::string, int> Runs() const;
  // When it began to write on a prompt with the part under which it ends.
  std::vector<absl::Time> DeadlyArrivals() const;
  // What the last request looked like here.
  http::Request LastRequest() const;

 private:
  using Answer = std::shared_ptr<http::Responder>;

  void Handle(const http::Request& request, const Answer& answer);
  void Stream(const http::Request& request, const Answer& answer,
              const Faults& faults, std::vector<http::Header> headers);
  // Begins a stream, and ends the server a moment later.
  void EndUnder(const Answer& answer, std::vector<http::Header> headers);
  // Writes the events from number `next` on, `gap` apart.
  void WriteEvents(const Answer& answer, int next, absl::Duration gap);
  std::string EventText(int number) const;
  // Closes the port and all connections once `closing_` is set. Runs on a
  // thread of its own, as the server's threads can't end their server.
  void CloseAtEnd();

  const std::string id_;
  const int events_;
  const std::string version_;
  mutable absl::Mutex mutex_;
  Faults faults_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, int> runs_ ABSL_GUARDED_BY(mutex_);
  std::vector<Arrival> arrivals_ ABSL_GUARDED_BY(mutex_);
  std::vector<absl::Time> deadly_arrivals_ ABSL_GUARDED_BY(mutex_);
  http::Request last_ ABSL_GUARDED_BY(mutex_);
  bool ended_ ABSL_GUARDED_BY(mutex_) = false;    // Under a request.
  bool closing_ ABSL_GUARDED_BY(mutex_) = false;  // Ended, or destroyed.
  TimerQueue timers_;
  std::unique_ptr<http::Server> server_;  // Ends first.
  int port_ = 0;
  std::thread closer_;
};

}  // namespace gentianlb::standins

#endif  // GENTIANLB_STANDINS_PLATFORM_SERVER_H_
