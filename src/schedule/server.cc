#include "schedule/server.h"

#include <algorithm>

namespace gentianlb::schedule {
namespace {

// Prompt work admitted to an engine at once. About half of the target of 1.1 s
// to the first token, and much longer than the few milliseconds until the next
// grant arrives, so the engine does not become idle.
constexpr double kMaxPrefillSeconds = 0.5;

// Maximum age of the known number of peer dispatchers' streams. Updates come
// about every second; when they stop, the server must not stay closed forever.
constexpr absl::Duration kMaxReportAge = absl::Seconds(10);

// Own streams are subtracted from a load report to get those of peer
// dispatchers. The report is older than the current number of own streams, so
// the peak over the last one to two periods is subtracted: it is at least the
// number at the time of measurement.
constexpr absl::Duration kPeakPeriod = absl::Seconds(5);

// Delay until peer dispatchers' grants are known, with 90 hosts. During it,
// each of many dispatchers would grant requests for the same free streams. So
// each assumes that its peers grant as many as it does. Without this, 30 to 60
// streams started at once on servers with 10 streams, and those requests waited
// more than a second for their first token.
constexpr absl::Duration kPeerUpdateDelay = absl::Milliseconds(300);

// Weight of a granted request in the mean memory of the server's requests. The
// mean of about 20 follows a change of the load within seconds.
constexpr double kMeanMemoryWeight = 0.05;

}  // namespace

Server::Server(const ServerSpec& server)
    : spec(server),
      speed(server),
      window(server.max_streams),
      recent_grants_(kPeerUpdateDelay) {
  limit.SetShare(server.limit_share);
}

void Server::Configure(const ServerSpec& changed) {
  // Learnt speeds belong to the hardware. Changed configured speeds mean
  // changed hardware.
  const bool same_speed =
      spec.prefill_tokens_per_second == changed.prefill_tokens_per_second &&
      spec.decode_tokens_per_second == changed.decode_tokens_per_second &&
      spec.speeds_estimated == changed.speeds_estimated;
  if (!same_speed) speed = SpeedEstimator(changed);
  window.SetMaxStreams(changed.max_streams);
  limit.SetShare(changed.limit_share);
  spec = changed;
  configured = true;
}

void Server::OnGrant(const Demand& demand, absl::Time now) {
  ++running_;
  recent_grants_.Add(1, now);
  window.OnGrant();
  kv_tokens_ += demand.kv_tokens;
  const auto granted = static_cast<double>(demand.kv_tokens);
  mean_kv_tokens_ =
      mean_kv_tokens_ <= 0
          ? granted
          : mean_kv_tokens_ + kMeanMemoryWeight * (granted - mean_kv_tokens_);
  if (prefilling_++ == 0) prefill_since_ = now;
  prefill_tokens_ += demand.prefill_tokens;
  UpdatePeak(now);
}

void Server::OnFirstToken(const Demand& demand, absl::Time now) {
  prefilling_ = std::max(0, prefilling_ - 1);
  prefill_tokens_ = std::max(0.0, prefill_tokens_ - demand.prefill_tokens);
  if (prefilling_ == 0) prefill_tokens_ = 0;
  prefill_since_ = now;
}

void Server::OnFinish(const Demand& demand, bool first_token, absl::Time now) {
  if (!first_token) OnFirstToken(demand, now);
  UpdatePeak(now);
  running_ = std::max(0, running_ - 1);
  kv_tokens_ = std::max<std::int64_t>(0, kv_tokens_ - demand.kv_tokens);
}

void Server::RecordOutcome(bool failed) {
  // About 10 requests are enough to detect a server that fails 2 of 5.
  constexpr double kWeight = 0.1;
  failure_rate_ += kWeight * ((failed ? 1 : 0) - failure_rate_);
}

double Server::WithFailureCost(double seconds) const {
  // Cost of a failure relative to the duration of the request: the time until
  // it is detected, a retry, and the whole response if the request must not be
  // retried.
  constexpr double kFailureCostFactor = 5;
  return seconds * (1 + kFailureCostFactor * failure_rate_);
}

void Server::OnLoadReport(const LoadReported& report, absl::Time now) {
  if (report.measured < peer_streams_measured_) return;  // Out of order.
  UpdatePeak(now);
  peer_streams_measured_ = report.measured;
  peer_streams_ = std::max(0, report.running + report.queued - OwnPeak());
}

void Server::OnResponseLoad(const ResponseLoadReported& load, absl::Time now) {
  peer_streams_measured_ = now;
  peer_streams_ = std::max(0, load.running + load.queued - running_);
  peer_batch_streams_ = std::max(0, load.running - running_);
  if (load.machine_slowdown) slowdown.OnStated(*load.machine_slowdown, now);
}

void Server::OnPeerLoad(const PeerLoadReported& load, absl::Time now) {
  peer_streams_measured_ = now;
  peer_streams_ = load.running;
  peer_batch_streams_ = load.running;
}

bool Server::IsOpen(absl::Time now) const {
  return configured && health == ServerHealth::kAlive && window.IsOpen(now) &&
         limit.Allows(now) && FreeStreams(now) > 0 && PrefillFits(0);
}

int Server::FreeStreams(absl::Time now) const {
  const int bound = std::min(window.streams(), spec.max_streams);
  return bound - running_ - PeerStreams(now) - UnreportedStreams(now);
}

int Server::UnreportedStreams(absl::Time now) const {
  if (spec.expected_competitors <= 0) return 0;
  return static_cast<int>(spec.expected_competitors * recent_grants_.At(now));
}

bool Server::PrefillFits(double prefill_tokens) const {
  // One prompt is always admitted, regardless of its length.
  if (prefill_tokens_ <= 0) return true;
  return prefill_tokens_ + prefill_tokens <=
         kMaxPrefillSeconds * speed.prefill_speed();
}

bool Server::MemoryFits(std::int64_t kv_tokens, absl::Time now) const {
  // A request larger than the whole memory goes to an empty server, where the
  // engine decides whether to run it.
  const bool empty = running_ == 0 && PeerStreams(now) == 0;
  if (spec.kv_tokens <= 0 || empty) return true;
  return kv_tokens <= FreeMemory(kv_tokens, now);
}

std::int64_t Server::FreeMemory(std::int64_t kv_tokens, absl::Time now) const {
  return spec.kv_tokens - kv_tokens_ - PeerMemory(kv_tokens, now);
}

std::int64_t Server::PeerMemory(std::int64_t kv_tokens, absl::Time now) const {
  const double each =
      mean_kv_tokens_ > 0 ? mean_kv_tokens_ : static_cast<double>(kv_tokens);
  return static_cast<std::int64_t>(PeerStreams(now) * each);
}

double Server::PrefillBacklog(absl::Time now) const {
  if (prefilling_ == 0) return 0;
  const double done =
      absl::ToDoubleSeconds(now - prefill_since_) * speed.prefill_speed();
  return std::max(0.0, prefill_tokens_ - done);
}

double Server::PrefillSeconds(double tokens, absl::Time now) const {
  return slowdown.Seconds(speed.PrefillSeconds(tokens), now);
}

PromptLoad Server::PromptLoadAt(absl::Time now) const {
  return {.backlog = PrefillBacklog(now),
          .tokens_per_second = speed.prefill_speed(),
          .streams = running_ + peer_batch_streams_};
}

double Server::FirstTokenSeconds(double prefill_tokens, absl::Time now) const {
  return slowdown.Seconds(UsualFirstTokenSeconds(prefill_tokens, now), now);
}

double Server::UsualFirstTokenSeconds(double prefill_tokens,
                                      absl::Time now) const {
  return speed.FirstTokenSeconds(PrefillBacklog(now) + prefill_tokens,
                                 running_ + peer_batch_streams_ + 1);
}

double Server::FinishSeconds(const Demand& demand, absl::Time now) const {
  if (demand.plain) {
    return WithFailureCost(slowdown.Seconds(speed.CallSeconds(), now));
  }
  const double usual =
      UsualFirstTokenSeconds(demand.prefill_tokens, now) +
      demand.output_tokens *
          speed.TokenSeconds(running_ + peer_batch_streams_ + 1);
  return WithFailureCost(slowdown.Seconds(usual, now));
}

FirstTokenTime Server::ExpectedFirstToken(double prefill_tokens,
                                          absl::Time now) const {
  return speed.ExpectedFirstToken(PrefillBacklog(now) + prefill_tokens,
                                  running_);
}

int Server::PeerStreams(absl::Time now) const {
  return now - peer_streams_measured_ < kMaxReportAge ? peer_streams_ : 0;
}

int Server::OwnPeak() const { return std::max(own_peaks_[0], own_peaks_[1]); }

void Server::UpdatePeak(absl::Time now) {
  if (now - peak_since_ >= kPeakPeriod) {
    own_peaks_[1] = own_peaks_[0];
    own_peaks_[0] = running_;
    peak_since_ = now;
  }
  own_peaks_[0] = std::max(own_peaks_[0], running_);
}

}  // namespace gentianlb::schedule
