#include "metrics/metrics.h"

#include <prometheus/text_serializer.h>

namespace gentianlb::metrics {
namespace {

// Bucket limits in seconds; 1.1 s is the target for the 95th percentile.
const prometheus::Histogram::BucketBoundaries& FirstTokenBuckets() {
  static const auto& bounds = *new prometheus::Histogram::BucketBoundaries{
      0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.1, 2.5, 5, 10, 30, 120};
  return bounds;
}

prometheus::Labels TierLabel(Tier tier) {
  return {{"tier", std::to_string(tier.rank)}};
}

std::string CodeLabel(Code code) {
  return std::to_string(static_cast<int>(code));
}

}  // namespace

Metrics::Metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      accepted_(AddCounter("gentianlb_requests_accepted_total",
                           "Requests that were scheduled")),
      answered_(AddCounter("gentianlb_requests_answered_total",
                           "Whole answers, by whether the deadline was kept")),
      late_by_pause_(
          AddCounter("gentianlb_streams_late_by_pause_total",
                     "Streams late because of a pause between events alone")),
      refused_(AddCounter("gentianlb_requests_refused_total",
                          "Final refusals, by result code")),
      malformed_(AddCounter("gentianlb_messages_malformed_total",
                            "Messages refused before scheduling")),
      resumed_(AddCounter("gentianlb_streams_resumed_total",
                          "Broken streams that were taken up again")),
      sent_(AddCounter("gentianlb_requests_sent_total",
                       "Attempts sent to servers, by whether the server is in "
                       "another zone")),
      cooldowns_(AddCounter("gentianlb_cooldowns_asked_total",
                            "Responses that ask this host for a cooldown")),
      withheld_(AddCounter("gentianlb_requests_withheld_total",
                           "Granted requests that this host didn't send")),
      ignored_decisions_(
          AddCounter("gentianlb_decisions_ignored_total",
                     "Decisions on requests that a server had or may have run, "
                     "by kind")),
      unresponsive_callers_(
          AddCounter("gentianlb_streams_unresponsive_callers_total",
                     "Streams whose caller acknowledged nothing for too long")),
      undelivered_(AddCounter(
          "gentianlb_answers_undelivered_total",
          "Answers and refusals that a caller's connection didn't take")),
      foreign_answers_(
          AddCounter("gentianlb_answers_foreign_total",
                     "Responses of servers that weren't for the request sent")),
      reuse_pauses_(AddCounter("gentianlb_connection_reuse_pauses_total",
                               "Times that a server's connections began to "
                               "carry one request each")),
      unnamed_refusals_(
          AddCounter("gentianlb_refusals_unnamed_total",
                     "Refusals of servers that name no request, by whether "
                     "their connection was used before")),
      framings_(AddCounter("gentianlb_answers_by_framing_total",
                           "Whole answers, by what marks the body's end")),
      unframed_ends_(AddCounter(
          "gentianlb_unframed_ends_total",
          "Unframed bodies that ended in good order, by what their servers' "
          "addresses answered, and by whether they were taken for complete")),
      cancelled_(AddCounter("gentianlb_requests_cancelled_total",
                            "Running requests that were stopped")),
      first_token_(prometheus::BuildHistogram()
                       .Name("gentianlb_first_token_seconds")
                       .Help("From the arrival to the first token")
                       .Register(*registry_)) {}

prometheus::Family<prometheus::Counter>& Metrics::AddCounter(
    const std::string& name, const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(*registry_);
}

void Metrics::CountAccepted(Tier tier) {
  accepted_.Add(TierLabel(tier)).Increment();
}

void Metrics::CountAnswered(Tier tier, bool in_time) {
  prometheus::Labels labels = TierLabel(tier);
  labels["in_time"] = in_time ? "yes" : "no";
  answered_.Add(labels).Increment();
}

void Metrics::CountLateByPause(Tier tier) {
  late_by_pause_.Add(TierLabel(tier)).Increment();
}

void Metrics::CountRefused(Tier tier, Code code) {
  prometheus::Labels labels = TierLabel(tier);
  labels["code"] = CodeLabel(code);
  refused_.Add(labels).Increment();
}

void Metrics::CountMalformed(Code code) {
  malformed_.Add({{"code", CodeLabel(code)}}).Increment();
}

void Metrics::CountResumed() { resumed_.Add({}).Increment(); }

void Metrics::CountSent(Tier tier, bool other_zone) {
  prometheus::Labels labels = TierLabel(tier);
  labels["other_zone"] = other_zone ? "yes" : "no";
  sent_.Add(labels).Increment();
}

void Metrics::CountCooldown() { cooldowns_.Add({}).Increment(); }

void Metrics::CountWithheld() { withheld_.Add({}).Increment(); }

void Metrics::CountIgnoredDecision(std::string_view kind) {
  ignored_decisions_.Add({{"kind", std::string(kind)}}).Increment();
}

void Metrics::CountUnresponsiveCaller() {
  unresponsive_callers_.Add({}).Increment();
}

void Metrics::CountUndelivered() { undelivered_.Add({}).Increment(); }

void Metrics::CountForeignAnswer(bool names_other_request) {
  foreign_answers_.Add({{"names_other", names_other_request ? "yes" : "no"}})
      .Increment();
}

void Metrics::CountReusePause() { reuse_pauses_.Add({}).Increment(); }

void Metrics::CountUnnamedRefusal(bool kept_connection) {
  unnamed_refusals_.Add({{"kept_connection", kept_connection ? "yes" : "no"}})
      .Increment();
}

void Metrics::CountFraming(std::string_view framing) {
  framings_.Add({{"framing", std::string(framing)}}).Increment();
}

void Metrics::CountUnframedEnd(std::string_view probe, bool complete) {
  unframed_ends_
      .Add({{"probe", std::string(probe)},
            {"complete", complete ? "yes" : "no"}})
      .Increment();
}

void Metrics::CountCancelled(Code code) {
  cancelled_.Add({{"code", CodeLabel(code)}}).Increment();
}

void Metrics::ObserveFirstToken(Tier tier, absl::Duration since_arrival) {
  first_token_.Add(TierLabel(tier), FirstTokenBuckets())
      .Observe(absl::ToDoubleSeconds(since_arrival));
}

void Metrics::Set(const std::string& name, const std::string& help,
                  const prometheus::Labels& labels, double value) {
  prometheus::BuildGauge()
      .Name(name)
      .Help(help)
      .Register(*registry_)
      .Add(labels)
      .Set(value);
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace gentianlb::metrics
