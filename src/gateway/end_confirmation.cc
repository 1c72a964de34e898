#include "gateway/end_confirmation.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace gentianlb::gateway {
namespace {

// A process that ends by itself may close its connections one after the other
// before it stops answering.
constexpr absl::Duration kClosingTime = absl::Milliseconds(5);

// Between the first two probes; twice as long after each. A full server may
// have room by then.
constexpr absl::Duration kTimeToNextProbe = absl::Milliseconds(50);

// A host that stands still may spend all of the time before its second probe.
constexpr absl::Duration kMaxWait = absl::Seconds(1);
constexpr int kMinProbes = 3;

}  // namespace

EndVerdict JudgeEnd(const EndEvidence& evidence) {
  if (evidence.probe == ServerProbe::kSame) return EndVerdict::kComplete;
  if (evidence.probe == ServerProbe::kOther) return EndVerdict::kBroken;
  if (evidence.probes >= kMinProbes && evidence.waited >= kMaxWait) {
    return EndVerdict::kBroken;
  }
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
  for (auto& [id, waiting] : waiting_) GiveUpProbe(waiting);
}

std::uint64_t EndConfirmations::Start(UnframedEnd end, Done done) {
  const std::uint64_t id = next_id_++;
  Waiting& waiting = waiting_[id];
  waiting.end = std::move(end);
  waiting.done = std::move(done);
  waiting.ended_at = clock_();
  waiting.pause = kTimeToNextProbe;
  ProbeAt(id, waiting.ended_at + kClosingTime);
  return id;
}

void EndConfirmations::Cancel(std::uint64_t id) {
  const auto found = waiting_.find(id);
  if (found == waiting_.end()) return;
  GiveUpProbe(found->second);
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
  const EndEvidence evidence = {
      probe, waiting.probes, now - waiting.ended_at,
      hooks_.open_transfers(waiting.end.server, waiting.ended_at)};
  const EndVerdict verdict = JudgeEnd(evidence);
  if (verdict == EndVerdict::kProbeAgain) {
    return ProbeAt(id, now + std::exchange(waiting.pause, 2 * waiting.pause));
  }
  Finish(id, evidence, verdict == EndVerdict::kComplete);
}

void EndConfirmations::OnAnswered(const ServerEntry& server,
                                  absl::Time sent_at) {
  const absl::Time now = clock_();
  for (auto& [id, waiting] : waiting_) {
    const ServerEntry& expected = waiting.end.server;
    // One that states when it started may have been started again under its id.
    const bool states_start = expected.started != 0 || server.started != 0;
    const bool proves = expected.id == server.id && !states_start &&
                        waiting.ended_at + kClosingTime < sent_at;
    if (!proves || std::exchange(waiting.has_answered, true)) continue;
    GiveUpProbe(waiting);
    waiting.timer = timers_->At(now, [this, id = id](absl::Time) {
      Finish(id, {.probe = ServerProbe::kSame}, true);
    });
  }
}

void EndConfirmations::GiveUpProbe(Waiting& waiting) {
  timers_->Cancel(std::exchange(waiting.timer, 0));
  if (!std::exchange(waiting.is_probing, false)) return;
  hooks_.cancel_probe(waiting.probe);
}

void EndConfirmations::Finish(std::uint64_t id, const EndEvidence& evidence,
                              bool complete) {
  const auto found = waiting_.find(id);
  const Waiting waiting = std::move(found->second);
  waiting_.erase(found);
  const std::string_view probe = Name(evidence.probe);
  metrics_->CountUnframedEnd(probe, complete);
  LOG(INFO) << "event=unframed-end request=" << waiting.end.request
            << " server=" << waiting.end.server.id
            << " started=" << waiting.end.server.started
            << " address=" << settings::Format(waiting.end.server.address)
            << " framing=connection bytes=" << waiting.end.bytes
            << " in_tunnel=" << waiting.end.in_tunnel << " probe=" << probe
            << " probes=" << waiting.probes << " took_ms="
            << absl::ToInt64Milliseconds(clock_() - waiting.ended_at)
            << " open_transfers=" << evidence.open_transfers
            << " has_answered=" << waiting.has_answered
            << " complete=" << complete;
  EndReport report{complete, evidence.probe, ""};
  if (!complete) {
    report.detail =
        absl::StrCat("unframed, and then a probe of its server showed: ",
                     std::string(probe));
  }
  waiting.done(report);
}

}  // namespace gentianlb::gateway
