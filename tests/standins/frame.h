// What every stand-in has in common: an HTTP server, the control path and the
// faults that any server can have.

#ifndef GENTIANLB_STANDINS_FRAME_H_
#define GENTIANLB_STANDINS_FRAME_H_

#include <json/json.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "http/server.h"
#include "standins/control.h"
#include "standins/timer_queue.h"

namespace gentianlb::standins {

using Answer = std::shared_ptr<http::Responder>;

// `own`, and the switches of every stand-in (see README.md).
Json::Value WithCommonSwitches(Json::Value own);

class Frame {
 public:
  using Handler = std::function<void(const http::Request&, const Answer&)>;

  // `control` and what `handler` refers to outlive the frame.
  Frame(Control& control, Handler handler);

  // Listens on loopback; 0 lets the kernel pick the port, which is returned.
  Outcome<std::uint16_t> Start(std::uint16_t port);

 private:
  struct Held {
    http::Request request;
    Answer answer;
  };

  void Receive(http::Request request, const Answer& answer);
  void ServeControl(const http::Request& request, const Answer& answer);
  void Serve(const http::Request& request, const Answer& answer);
  bool Hold(const http::Request& request, const Answer& answer);
  void ReleaseHeld();

  Control& control_;
  Handler handler_;
  absl::Mutex mutex_;
  std::vector<Held> held_ ABSL_GUARDED_BY(mutex_);
  TimerQueue timers_;
  std::unique_ptr<http::Server> server_;  // Ends first.
};

// The main program of a stand-in: flags, the line `port=N`, and service until a
// signal ends the process.
int RunStandin(int argc, char** argv, const std::string& what, Control& control,
               const Frame::Handler& handler);

}  // namespace gentianlb::standins

#endif  // GENTIANLB_STANDINS_FRAME_H_
