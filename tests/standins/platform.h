// Stands in for the platform: table service, object store, weight store and the
// lagging list of hosts. README.md lists its switches.

#ifndef GENTIANLB_STANDINS_PLATFORM_H_
#define GENTIANLB_STANDINS_PLATFORM_H_

#include <map>
#include <random>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "standins/control.h"
#include "standins/frame.h"
#include "standins/rate_limit.h"
#include "standins/table.h"

namespace gentianlb::standins {

class Platform {
 public:
  explicit Platform(Control& control) : control_(control) {}

  static Json::Value Switches();

  void Handle(const http::Request& request, const Answer& answer);

 private:
  // False when the outage has dealt with the request.
  bool IsUp(const Answer& answer);
  bool Admit(const http::Request& request, const Answer& answer);
  void Route(const http::Request& request, const Answer& answer);

  void Commit(const Json::Value& body, const Answer& answer);
  void Read(const Json::Value& body, const Answer& answer);
  void Scan(const Json::Value& body, const Answer& answer);
  void PutObject(const http::Request& request, const Answer& answer);
  void GetObject(const http::Request& request, const Answer& answer);
  void ShowHosts(const Answer& answer);
  void ShowWeights(const Answer& answer);
  void GetWeights(const http::Request& request, const Answer& answer);

  // Whether the answer to a write that has taken effect gets lost.
  bool LosesAnswer() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  Control& control_;
  absl::Mutex mutex_;
  Table table_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, std::string> objects_ ABSL_GUARDED_BY(mutex_);
  RateLimit writes_ ABSL_GUARDED_BY(mutex_);
  RateLimit reads_ ABSL_GUARDED_BY(mutex_);
  RateLimit weights_ ABSL_GUARDED_BY(mutex_);
  std::mt19937_64 random_ ABSL_GUARDED_BY(mutex_);
  std::vector<Answer> hanging_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace gentianlb::standins

#endif  // GENTIANLB_STANDINS_PLATFORM_H_
