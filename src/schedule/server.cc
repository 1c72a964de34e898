#include "schedule/server.h"

#include <algorithm>

namespace gentianlb::schedule {
namespace {

// Prompt work let into an engine at once. Half of the wanted 1.1 s to the first
// token, and long against the milliseconds until the next grant arrives, so
// that the engine never runs dry.
constexpr double kPrefillSeconds = 0.5;

// A report on others' streams is believed for this long; reports come every
// second or so, and a missing one must not close a server for ever.
constexpr absl::Duration kReportLife = absl::Seconds(10);

// A report can't count what it was too early to see. The own peak of the last
// one to two periods is at least what ran when it was measured.
constexpr absl::Duration kPeakPeriod = absl::Seconds(5);

// Where many dispatchers hear of each other some tenths of a second late, a
// server that seems to have four free streams gets four requests from each. So
// each takes it that the others do as it does, for about as long as news take
// from 90 hosts. Without it 30 to 60 streams were begun at once on servers of
// ten, and those waited a second and more for their first token.
constexpr absl::Duration kUnheard = absl::Milliseconds(300);

}  // namespace

Server::Server(const ServerSpec& server)
    : spec(server),
      pace(server),
      window(server.max_streams),
      recent_(kUnheard) {}

void Server::Configure(const ServerSpec& changed) {
  // Learnt speeds hold for the hardware; other speeds mean other hardware.
  const bool same_speed =
      spec.prefill_tokens_per_second == changed.prefill_tokens_per_second &&
      spec.decode_tokens_per_second == changed.decode_tokens_per_second &&
      spec.speeds_estimated == changed.speeds_estimated;
  if (!same_speed) pace = Pace(changed);
  window.SetBound(changed.max_streams);
  spec = changed;
  configured = true;
}

void Server::Begin(const Demand& demand, absl::Time now) {
  ++running_;
  recent_.Add(1, now);
  window.Granted();
  kv_tokens_ += demand.kv_tokens;
  if (prefilling_++ == 0) prefill_since_ = now;
  prefill_tokens_ += demand.prefill_tokens;
  CountPeak(now);
}

void Server::FirstToken(const Demand& demand, absl::Time now) {
  prefilling_ = std::max(0, prefilling_ - 1);
  prefill_tokens_ = std::max(0.0, prefill_tokens_ - demand.prefill_tokens);
  if (prefilling_ == 0) prefill_tokens_ = 0;
  prefill_since_ = now;
}

void Server::End(const Demand& demand, bool first_token, absl::Time now) {
  if (!first_token) FirstToken(demand, now);
  CountPeak(now);
  running_ = std::max(0, running_ - 1);
  kv_tokens_ = std::max<std::int64_t>(0, kv_tokens_ - demand.kv_tokens);
}

void Server::CountEnd(bool failed) {
  // Some ten requests tell a server that fails two in five from a good one.
  constexpr double kWeight = 0.1;
  failure_rate_ += kWeight * ((failed ? 1 : 0) - failure_rate_);
}

double Server::WithFailures(double seconds) const {
  // A failure costs the time until it shows, a second sending, and for what may
  // not be repeated the whole answer.
  constexpr double kFailureCost = 5;
  return seconds * (1 + kFailureCost * failure_rate_);
}

void Server::Report(const LoadReported& report, absl::Time now) {
  if (report.measured < foreign_measured_) return;  // Overtaken on the way.
  CountPeak(now);
  foreign_measured_ = report.measured;
  foreign_streams_ = std::max(0, report.running + report.queued - OwnPeak());
}

void Server::Answered(const ResponseLoadReported& answer, absl::Time now) {
  foreign_measured_ = now;
  foreign_streams_ = std::max(0, answer.running + answer.queued - running_);
  batch_mates_ = std::max(0, answer.running - running_);
}

void Server::Elsewhere(const PeerLoadReported& load, absl::Time now) {
  foreign_measured_ = now;
  foreign_streams_ = load.running;
  batch_mates_ = load.running;
}

bool Server::Open(absl::Time now) const {
  return configured && health == ServerHealth::kAlive && window.OpenAt(now) &&
         FreeStreams(now) > 0 && PrefillFits(0);
}

int Server::FreeStreams(absl::Time now) const {
  const int bound = std::min(window.streams(), spec.max_streams);
  return bound - running_ - ForeignStreams(now) - UnheardStreams(now);
}

int Server::UnheardStreams(absl::Time now) const {
  if (spec.expected_competitors <= 0) return 0;
  return static_cast<int>(spec.expected_competitors * recent_.At(now));
}

bool Server::PrefillFits(double prefill_tokens) const {
  // One prompt is always let in, however long it is.
  if (prefill_tokens_ <= 0) return true;
  return prefill_tokens_ + prefill_tokens <=
         kPrefillSeconds * pace.prefill_speed();
}

bool Server::MemoryFits(std::int64_t kv_tokens) const {
  // Whatever is too large for the whole memory goes to an empty server, where
  // the engine itself decides.
  if (spec.kv_tokens <= 0 || running_ == 0) return true;
  return kv_tokens_ + kv_tokens <= spec.kv_tokens;
}

double Server::PrefillBacklog(absl::Time now) const {
  if (prefilling_ == 0) return 0;
  const double done =
      absl::ToDoubleSeconds(now - prefill_since_) * pace.prefill_speed();
  return std::max(0.0, prefill_tokens_ - done);
}

double Server::FirstTokenSeconds(double prefill_tokens, absl::Time now) const {
  return pace.FirstTokenSeconds(PrefillBacklog(now) + prefill_tokens,
                                running_ + batch_mates_ + 1);
}

double Server::FinishSeconds(const Demand& demand, absl::Time now) const {
  if (demand.plain) return WithFailures(pace.CallSeconds());
  return WithFailures(FirstTokenSeconds(demand.prefill_tokens, now) +
                      demand.output_tokens *
                          pace.TokenSeconds(running_ + batch_mates_ + 1));
}

FirstTokenTime Server::ExpectedFirstToken(double prefill_tokens,
                                          absl::Time now) const {
  return pace.ExpectedFirstToken(PrefillBacklog(now) + prefill_tokens,
                                 running_);
}

int Server::ForeignStreams(absl::Time now) const {
  return now - foreign_measured_ < kReportLife ? foreign_streams_ : 0;
}

int Server::OwnPeak() const { return std::max(own_peaks_[0], own_peaks_[1]); }

void Server::CountPeak(absl::Time now) {
  if (now - peak_since_ >= kPeakPeriod) {
    own_peaks_[1] = own_peaks_[0];
    own_peaks_[0] = running_;
    peak_since_ = now;
  }
  own_peaks_[0] = std::max(own_peaks_[0], running_);
}

}  // namespace gentianlb::schedule
