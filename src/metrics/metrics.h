// The metrics of an entry host, exposed under /metrics. Thread-safe.

#ifndef GENTIANLB_METRICS_METRICS_H_
#define GENTIANLB_METRICS_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "base/ids.h"
#include "base/result.h"

namespace gentianlb::metrics {

class Metrics {
 public:
  Metrics();

  void CountAccepted(Tier tier);

  // Counts a complete response; `in_time`: it met the deadline.
  void CountAnswered(Tier tier, bool in_time);
  // Counts a stream whose first event was in time, but a later one was not.
  void CountLateByPause(Tier tier);
  void CountRefused(Tier tier, Code code);

  // Counts a message that was refused before scheduling.
  void CountMalformed(Code code);
  void CountResumed();
  // Counts an attempt; `other_zone`: the server is not in the host's zone.
  void CountSent(Tier tier, bool other_zone);
  // Counts a response that asks this host for a cooldown of its server.
  void CountCooldown();
  // Counts a granted request that this host doesn't send to its server.
  void CountWithheld();
  // Counts a decision on a request that a server has, or may have run.
  void CountIgnoredDecision(std::string_view kind);
  // Counts a stream whose caller has acknowledged nothing for too long.
  void CountUnresponsiveCaller();
  // An answer was handed over, and its caller's connection didn't take it.
  void CountUndelivered();
  // Counts a response that isn't for the request that was sent.
  void CountForeignAnswer(bool names_other_request);
  // Counts a server whose connections carry one request each from now on.
  void CountReusePause();
  // Counts a server's refusal that names no request.
  void CountUnnamedRefusal(bool kept_connection);
  // Counts a relayed response by what marks the end of its body.
  void CountFraming(std::string_view framing);
  // Counts an unframed body that ended in good order, by what the last probe of
  // its server showed and by what the end was taken for.
  void CountUnframedEnd(std::string_view probe, bool complete);
  void CountCancelled(Code code);
  void ObserveFirstToken(Tier tier, absl::Duration since_arrival);

  // Sets a gauge. Used for values that other classes maintain, when /metrics is
  // read.
  void Set(const std::string& name, const std::string& help,
           const prometheus::Labels& labels, double value);

  // Returns all metrics in the Prometheus text format.
  std::string Text() const;

 private:
  prometheus::Family<prometheus::Counter>& AddCounter(const std::string& name,
                                                      const std::string& help);

  const std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& accepted_;
  prometheus::Family<prometheus::Counter>& answered_;
  prometheus::Family<prometheus::Counter>& late_by_pause_;
  prometheus::Family<prometheus::Counter>& refused_;
  prometheus::Family<prometheus::Counter>& malformed_;
  prometheus::Family<prometheus::Counter>& resumed_;
  prometheus::Family<prometheus::Counter>& sent_;
  prometheus::Family<prometheus::Counter>& cooldowns_;
  prometheus::Family<prometheus::Counter>& withheld_;
  prometheus::Family<prometheus::Counter>& ignored_decisions_;
  prometheus::Family<prometheus::Counter>& unresponsive_callers_;
  prometheus::Family<prometheus::Counter>& undelivered_;
  prometheus::Family<prometheus::Counter>& foreign_answers_;
  prometheus::Family<prometheus::Counter>& reuse_pauses_;
  prometheus::Family<prometheus::Counter>& unnamed_refusals_;
  prometheus::Family<prometheus::Counter>& framings_;
  prometheus::Family<prometheus::Counter>& unframed_ends_;
  prometheus::Family<prometheus::Counter>& cancelled_;
  prometheus::Family<prometheus::Histogram>& first_token_;
};

}  // namespace gentianlb::metrics

#endif  // GENTIANLB_METRICS_METRICS_H_
