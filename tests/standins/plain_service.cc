#include "standins/plain_service.h"

#include "absl/time/clock.h"
#include "standins/json.h"

namespace gentianlb::standins {

Json::Value PlainService::Switches() {
  Json::Value own;
  own["work_ms"] = 2;
  own["lose_answer"] = 0;
  own["leaving"] = false;
  own["load_lag_ms"] = 200;
  own["padding_bytes"] = 0;
  return WithCommonSwitches(own);
}

void PlainService::Handle(const http::Request& request, const Answer& answer) {
  if (request.path == "/v1/load") {
    ShowLoad(answer);
  } else {
    Execute(request, answer);
  }
}

void PlainService::ShowLoad(const Answer& answer) {
  // A sample of now as well, so that an idle service's report stays fresh.
  AddRunning(0);
  absl::Time then = absl::Now() - control_.Milliseconds("load_lag_ms");
  absl::MutexLock lock(&mutex_);
  RespondJson(*answer, 200, history_.At(then));
}

void PlainService::Execute(const http::Request& request, const Answer& answer) {
  std::string key(request.header("Idempotency-Key"));
  control_.Count("executions");
  std::int64_t execution = control_.CountIn("executions_by_key", key);
  control_.CountIn("executions_by_path", request.path);

  Json::Value body;
  body["method"] = request.method;
  body["path"] = request.path;
  body["query"] = request.query;
  body["key"] = key;
  body["execution"] = execution;
  body["body"] = request.body;
  body["padding"] = std::string(
      static_cast<std::size_t>(control_.Number("padding_bytes")), 'x');
  AddRunning(1);
  timers_.After(control_.Milliseconds("work_ms"),
                [this, answer, body] { Finish(answer, body); });
}

void PlainService::Finish(const Answer& answer, const Json::Value& body) {
  AddRunning(-1);
  if (control_.TakeOne("lose_answer")) {
    control_.Count("answers_lost");
    answer->Abort();
  } else {
    RespondJson(*answer, 200, body);
  }
}

void PlainService::AddRunning(int change) {
  bool leaving = control_.Flag("leaving");
  absl::MutexLock lock(&mutex_);
  running_ += change;
  history_.Add(
      {.measured = absl::Now(), .running = running_, .leaving = leaving});
}

}  // namespace gentianlb::standins
