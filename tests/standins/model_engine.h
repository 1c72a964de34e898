// Stands in for a model engine. README.md lists its switches.

#ifndef GENTIANLB_STANDINS_MODEL_ENGINE_H_
#define GENTIANLB_STANDINS_MODEL_ENGINE_H_

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <thread>

#include "absl/synchronization/mutex.h"
#include "standins/batcher.h"
#include "standins/control.h"
#include "standins/frame.h"
#include "standins/load_history.h"
#include "standins/order_book.h"
#include "standins/prefix_cache.h"

namespace gentianlb::standins {

class ModelEngine {
 public:
  explicit ModelEngine(Control& control);
  ~ModelEngine();
  ModelEngine(const ModelEngine&) = delete;
  ModelEngine& operator=(const ModelEngine&) = delete;

  static Json::Value Switches();

  void Handle(const http::Request& request, const Answer& answer);

 private:
  void Complete(const http::Request& request, const Answer& answer);
  void ListStreams(const http::Request& request, const Answer& answer);
  void ReadStream(const http::Request& request, const Answer& answer);
  void CancelStream(const http::Request& request, const Answer& answer);
  void ExportKv(const Json::Value& body, const Answer& answer);
  void ImportKv(const Json::Value& body, const Answer& answer);
  void ShowCacheEvents(const http::Request& request, const Answer& answer);
  void ShowLoad(const Answer& answer);
  void TakeOrder(const Json::Value& body, const Answer& answer);
  void ShowOrder(const http::Request& request, const Answer& answer);
  void ShowModels(const Answer& answer);
  void HandlePost(const http::Request& request, const Answer& answer);

  // The engine's own clock.
  void Run();
  void Step(absl::Time now, absl::Duration elapsed)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Speeds CurrentSpeeds() const;
  void SampleLoad(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Cache(const std::vector<std::string>& blocks)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  void Deliver(Stream& stream) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Whether the reader is through.
  bool Feed(const Stream& stream, Reader& reader)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Some other stream's state, for answers that cross.
  Stream OtherThan(const Stream& stream) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  Control& control_;
  const std::string id_prefix_;
  absl::Mutex mutex_;
  std::int64_t last_stream_ ABSL_GUARDED_BY(mutex_) = 0;
  Batcher batcher_ ABSL_GUARDED_BY(mutex_);
  PrefixCache cache_ ABSL_GUARDED_BY(mutex_);
  OrderBook orders_ ABSL_GUARDED_BY(mutex_);
  LoadHistory history_ ABSL_GUARDED_BY(mutex_);
  std::mt19937_64 random_ ABSL_GUARDED_BY(mutex_);
  TimerQueue timers_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace gentianlb::standins

#endif  // GENTIANLB_STANDINS_MODEL_ENGINE_H_
