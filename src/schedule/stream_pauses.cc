#include "schedule/stream_pauses.h"

#include <algorithm>
#include <cmath>

#include "schedule/speed_estimator.h"

namespace gentianlb::schedule {
namespace {

// Weight of one stream's report in the usual time between events.
constexpr double kEventTimeWeight = 0.2;

// Weights of a report that more, or less, prompt work fits into one event than
// assumed. Streams become late if too little is assumed.
constexpr double kMoreWorkWeight = 0.5;
constexpr double kLessWorkWeight = 0.2;
constexpr double kMeanWorkWeight = 0.1;

// Weight of one report in the means over servers.
constexpr double kMeanWeight = 0.02;

// If a pause accounts for this part of the prompt work, all of it fitted.
constexpr double kAllWork = 0.8;

// The pauses that less work causes are not much longer than those without any,
// and show nothing. At least as much is taken to fit into one event: a chunk
// has a thousand tokens or more.
constexpr double kMinWork = 8000;

// A server that seems slow may get no more streams and so no measurements.
// After this time it is tried again.
constexpr absl::Duration kMaxAge = absl::Seconds(10);

// A request is held for at most this long. In stream_pauses_test.cc, 100 ms
// leave up to two thirds more streams late, and 400 ms gain nothing.
constexpr absl::Duration kMaxHold = absl::Milliseconds(250);

// Kept of the time that a held request has to spare, for the transit of the
// grant and errors of the prediction.
constexpr absl::Duration kSpareMargin = absl::Milliseconds(50);

// A hold shorter than this is not worth a wakeup.
constexpr absl::Duration kMinHold = absl::Milliseconds(5);

// Lateness of a stream counts twice as much for each tier that it is above the
// request.
double TierWeight(int request_rank, int stream_rank) {
  constexpr int kMaxSteps = 10;
  return std::exp2(std::min(kMaxSteps, request_rank - stream_rank));
}

// Predicts the pauses on one server.
struct Pauses {
  double event_seconds = 0;
  double event_work = 0;
  double tokens_per_second = 0;

  absl::Duration With(double prompt_work) const {
    return absl::Seconds(event_seconds +
                         std::min(prompt_work, event_work) / tokens_per_second);
  }
};

}  // namespace

StreamPauses::Stream* StreamPauses::Find(ServerIndex server, RunIndex run) {
  if (server >= servers_.size()) return nullptr;
  std::vector<Stream>& streams = servers_[server].streams;
  const auto found =
      std::find_if(streams.begin(), streams.end(),
                   [run](const Stream& stream) { return stream.run == run; });
  return found == streams.end() ? nullptr : &*found;
}

const StreamPauses::PerServer* StreamPauses::Known(ServerIndex server,
                                                   absl::Time now) const {
  if (server >= servers_.size()) return nullptr;
  const PerServer& known = servers_[server];
  return now - known.measured_at <= kMaxAge ? &known : nullptr;
}

double StreamPauses::EventWork(const PerServer& server) const {
  if (server.event_work > 0) return server.event_work;
  return event_work_ > 0 ? event_work_
                         : std::numeric_limits<double>::infinity();
}

void StreamPauses::OnGrant(ServerIndex server, RunIndex run,
                           const Request& request, const PromptLoad& load,
                           absl::Time now) {
  const bool bounded = request.max_pause != absl::InfiniteDuration();
  if (server >= servers_.size()) {
    if (!bounded) return;
    servers_.resize(server + 1);
  }
  std::vector<Stream>& streams = servers_[server].streams;
  for (Stream& stream : streams) {
    if (!stream.has_begun || load.backlog <= stream.most_work) continue;
    stream.most_work = load.backlog;
    stream.most_work_at = now;
  }
  if (!bounded) return;
  Stream added;
  added.run = run;
  added.rank = request.tier.rank;
  added.max_pause = request.max_pause;
  streams.push_back(added);
}

void StreamPauses::OnFirstToken(ServerIndex server, RunIndex run,
                                const PromptLoad& load, absl::Time now) {
  Stream* stream = Find(server, run);
  if (stream == nullptr) return;
  stream->has_begun = true;
  stream->most_work = load.backlog;
  stream->most_work_at = now;
}

void StreamPauses::OnPauses(ServerIndex server, RunIndex run,
                            const EventPauses& pauses, const PromptLoad& load,
                            absl::Time now) {
  Stream* stream = Find(server, run);
  if (stream == nullptr) return;
  stream->longest = std::max(stream->longest, pauses.longest);
  if (pauses.typical <= absl::ZeroDuration()) return;
  PerServer& known = servers_[server];
  const double sample =
      absl::ToDoubleSeconds(pauses.typical) / BatchFactor(load.streams);
  const bool first = now - known.measured_at > kMaxAge;
  known.event_seconds +=
      (first ? 1 : kEventTimeWeight) * (sample - known.event_seconds);
  known.measured_at = now;
  LearnMeans(known, load);
  LearnEventWork(known, *stream, load, now);
}

double StreamPauses::PrefillSpeed(const PerServer& server,
                                  const PromptLoad& load) const {
  const double by_events =
      tokens_per_second_ * event_seconds_ / server.event_seconds;
  return server.event_seconds > event_seconds_
             ? std::min(load.tokens_per_second, by_events)
             : load.tokens_per_second;
}

void StreamPauses::LearnMeans(const PerServer& server, const PromptLoad& load) {
  const double weight = event_seconds_ > 0 ? kMeanWeight : 1;
  event_seconds_ += weight * (server.event_seconds - event_seconds_);
  tokens_per_second_ += weight * (load.tokens_per_second - tokens_per_second_);
}

void StreamPauses::LearnEventWork(PerServer& server, const Stream& stream,
                                  const PromptLoad& load, absl::Time now) {
  // The work must have been computed before the report.
  const double event = server.event_seconds * BatchFactor(load.streams);
  const double speed = PrefillSpeed(server, load);
  const absl::Duration needed = absl::Seconds(event + stream.most_work / speed);
  if (stream.most_work <= 0 || now - stream.most_work_at < needed) return;
  const double stretch =
      std::max(0.0, absl::ToDoubleSeconds(stream.longest) - event);
  const double sample =
      std::max(kMinWork, std::min(stretch * speed, stream.most_work));
  // If all of the work fitted, the sample is a lower bound only.
  const bool bound_only =
      stream.most_work < kMinWork || sample >= kAllWork * stream.most_work;
  if (bound_only && sample <= EventWork(server)) return;
  const double weight =
      sample > server.event_work ? kMoreWorkWeight : kLessWorkWeight;
  server.event_work +=
      (server.event_work > 0 ? weight : 1) * (sample - server.event_work);
  event_work_ += (event_work_ > 0 ? kMeanWorkWeight : 1) *
                 (server.event_work - event_work_);
}

void StreamPauses::OnFinish(ServerIndex server, RunIndex run) {
  if (server >= servers_.size()) return;
  std::erase_if(servers_[server].streams,
                [run](const Stream& stream) { return stream.run == run; });
}

void StreamPauses::Forget(ServerIndex server) {
  if (server >= servers_.size()) return;
  PerServer& known = servers_[server];
  known.event_seconds = 0;
  known.measured_at = absl::InfinitePast();
  known.event_work = 0;
  // Requests granted before are still known to run until they are reported.
  for (Stream& stream : known.streams) stream.most_work = 0;
}

PauseForecast StreamPauses::Predict(ServerIndex server, const Request& request,
                                    double prefill_tokens,
                                    const PromptLoad& load,
                                    absl::Time now) const {
  PauseForecast forecast;
  if (request.max_pause == absl::InfiniteDuration()) return forecast;
  const PerServer* known = Known(server, now);
  if (known == nullptr || load.tokens_per_second <= 0) return forecast;
  const Pauses pauses{
      .event_seconds = known->event_seconds * BatchFactor(load.streams + 1),
      .event_work = EventWork(*known),
      .tokens_per_second = PrefillSpeed(*known, load)};
  forecast.prompt_work = load.backlog + prefill_tokens;
  forecast.event_time = pauses.With(0);
  forecast.pause = pauses.With(forecast.prompt_work);
  forecast.event_work = pauses.event_work;
  forecast.age = now - known->measured_at;
  forecast.itself = pauses.With(load.backlog) > request.max_pause;
  if (forecast.itself) forecast.weight = 1;
  for (const Stream& stream : known->streams) {
    if (stream.rank > request.tier.rank) continue;
    // Prompts are computed in order, so one that has not begun is delayed only
    // by those granted after it.
    const absl::Duration before =
        pauses.With(stream.has_begun ? load.backlog : 0);
    const absl::Duration after =
        pauses.With(stream.has_begun ? forecast.prompt_work : prefill_tokens);
    const bool late_already =
        std::max(stream.longest, before) > stream.max_pause;
    if (late_already || after <= stream.max_pause) continue;
    ++forecast.streams;
    forecast.weight += TierWeight(request.tier.rank, stream.rank);
  }
  return forecast;
}

absl::Duration StreamPauses::HoldTime(absl::Time enqueued_at,
                                      absl::Duration spare, absl::Time now) {
  const absl::Duration left =
      std::min(enqueued_at + kMaxHold - now, spare - kSpareMargin);
  return left < kMinHold ? absl::ZeroDuration() : left;
}

void StreamPauses::Hold(const RequestId& id, absl::Time now, absl::Time until) {
  held_since_.try_emplace(id, now);
  next_hold_end_ = std::min(next_hold_end_, until);
}

std::optional<absl::Time> StreamPauses::HeldSince(const RequestId& id) const {
  const auto found = held_since_.find(id);
  if (found == held_since_.end()) return std::nullopt;
  return found->second;
}

void StreamPauses::EndHold(const RequestId& id) { held_since_.erase(id); }

bool StreamPauses::TakeEndedHolds(absl::Time now) {
  if (now < next_hold_end_) return false;
  next_hold_end_ = absl::InfiniteFuture();
  return true;
}

}  // namespace gentianlb::schedule
