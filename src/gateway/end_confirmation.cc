#include "gateway/end_confirmation.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace gentianlb::gateway {
namespace {

// The kernel closes the descriptors of a killed process one after the other,
// and its listening socket may come last.
constexpr absl::Duration kClosingTime = absl::Milliseconds(5);

// Between probes. Streams of a server that lives make progress meanwhile.
constexpr absl::Duration kTimeToNextProbe = absl::Milliseconds(50);

constexpr int kMaxProbes = 3;

}  // namespace

std::string_view Name(ServerProbe probe) {
  switch (probe) {
    case ServerProbe::kConnected:
      return "connected";
    case ServerProbe::kRefused:
      return "refused";
    case ServerProbe::kUnanswered:
      return "unanswered";
  }
  return "";
}

EndVerdict JudgeEnd(const EndEvidence& evidence) {
  if (evidence.probe == ServerProbe::kConnected) return EndVerdict::kComplete;
  if (evidence.progressing_transfers > 0) return EndVerdict::kComplete;
  if (evidence.probes >= kMaxProbes) return EndVerdict::kBroken;
  const bool refused = evidence.probe == ServerProbe::kRefused;
  if (refused && evidence.open_transfers == 0) return EndVerdict::kBroken;
  return EndVerdict::kProbeAgain;
}

EndConfirmations::EndConfirmations(TimerService* timers,
                                   std::function<absl::Time()> clock,
                                   metrics::Metrics* metrics,
                                   EndConfirmationHooks hooks)
    : timers_(timers),
      clock_(std::move(clock)),
      metrics_(metrics),
      hooks_(std::move(hooks)) {}

EndConfirmations::~EndConfirmations() {
  for (const auto& [id, waiting] : waiting_) {
    timers_->Cancel(waiting.timer);
    if (waiting.is_probing) hooks_.cancel_probe(waiting.probe);
  }
}

std::uint64_t EndConfirmations::Start(UnframedEnd end, Done done) {
  const std::uint64_t id = next_id_++;
  Waiting& waiting = waiting_[id];
  waiting.end = std::move(end);
  waiting.done = std::move(done);
  waiting.ended_at = clock_();
  ProbeAt(id, waiting.ended_at + kClosingTime);
  return id;
}

void EndConfirmations::Cancel(std::uint64_t id) {
  const auto found = waiting_.find(id);
  if (found == waiting_.end()) return;
  timers_->Cancel(found->second.timer);
  if (found->second.is_probing) hooks_.cancel_probe(found->second.probe);
  waiting_.erase(found);
}

void EndConfirmations::ProbeAt(std::uint64_t id, absl::Time when) {
  waiting_.at(id).timer =
      timers_->At(when, [this, id](absl::Time) { Probe(id); });
}

void EndConfirmations::Probe(std::uint64_t id) {
  Waiting& waiting = waiting_.at(id);
  waiting.timer = 0;
  ++waiting.probes;
  waiting.is_probing = true;
  waiting.probe =
      hooks_.probe(waiting.end.server,
                   [this, id](ServerProbe probe) { OnProbed(id, probe); });
}

void EndConfirmations::OnProbed(std::uint64_t id, ServerProbe probe) {
  Waiting& waiting = waiting_.at(id);
  waiting.is_probing = false;
  const absl::Time now = clock_();
  waiting.first_probed_at = std::min(waiting.first_probed_at, now);
  const settings::Endpoint& server = waiting.end.server;
  const EndEvidence evidence = {
      probe, waiting.probes, hooks_.open_transfers(server, waiting.ended_at),
      hooks_.progressing_transfers(server, waiting.ended_at,
                                   waiting.first_probed_at)};
  const EndVerdict verdict = JudgeEnd(evidence);
  if (verdict == EndVerdict::kProbeAgain) {
    return ProbeAt(id, now + kTimeToNextProbe);
  }
  Finish(id, evidence, verdict == EndVerdict::kComplete);
}

void EndConfirmations::Finish(std::uint64_t id, const EndEvidence& evidence,
                              bool complete) {
  const auto found = waiting_.find(id);
  const Waiting waiting = std::move(found->second);
  waiting_.erase(found);
  const std::string_view probe = Name(evidence.probe);
  metrics_->CountUnframedEnd(probe, complete);
  LOG(INFO) << "event=unframed-end request=" << waiting.end.request
            << " address=" << settings::Format(waiting.end.server)
            << " framing=connection bytes=" << waiting.end.bytes
            << " in_tunnel=" << waiting.end.in_tunnel << " probe=" << probe
            << " probes=" << evidence.probes << " took_ms="
            << absl::ToInt64Milliseconds(clock_() - waiting.ended_at)
            << " open_transfers=" << evidence.open_transfers
            << " progressing=" << evidence.progressing_transfers
            << " complete=" << complete;
  EndReport report{complete, evidence.probe, ""};
  if (!complete) {
    report.detail = absl::StrCat("unframed, and then its server's address was ",
                                 std::string(probe));
  }
  waiting.done(report);
}

}  // namespace gentianlb::gateway
