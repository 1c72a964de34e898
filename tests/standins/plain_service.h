// Stands in for a plain service, such as a member portal: answers any call and
// counts how often each key was executed. README.md lists its switches.

#ifndef GENTIANLB_STANDINS_PLAIN_SERVICE_H_
#define GENTIANLB_STANDINS_PLAIN_SERVICE_H_

#include "absl/synchronization/mutex.h"
#include "standins/control.h"
#include "standins/frame.h"
#include "standins/load_history.h"

namespace gentianlb::standins {

class PlainService {
 public:
  explicit PlainService(Control& control) : control_(control) {}

  static Json::Value Switches();

  void Handle(const http::Request& request, const Answer& answer);

 private:
  void ShowLoad(const Answer& answer);
  void Execute(const http::Request& request, const Answer& answer);
  void Finish(const Answer& answer, const Json::Value& body);
  void AddRunning(int change) ABSL_LOCKS_EXCLUDED(mutex_);

  Control& control_;
  absl::Mutex mutex_;
  std::int64_t running_ ABSL_GUARDED_BY(mutex_) = 0;
  LoadHistory history_ ABSL_GUARDED_BY(mutex_);
  TimerQueue timers_;
};

}  // namespace gentianlb::standins

#endif  // GENTIANLB_STANDINS_PLAIN_SERVICE_H_
