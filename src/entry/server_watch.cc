#include "entry/server_watch.h"

namespace gentianlb::entry {
namespace {

using schedule::ServerHealth;

// A refused connection is a sure sign, but one may be lost to a full backlog
// during a burst; two in a row at the poll's pace are not.
constexpr int kRefusalsUntilDead = 2;

// From the first unanswered poll. A poll is given up after its own timeout, so
// a server is suspect by the first one; it takes nothing new while suspect, and
// what runs there is ended when it is dead. 4 s is well above the pauses that a
// loaded engine's report showed on the stand-in, and below what a caller of the
// upper tiers waits.
constexpr absl::Duration kSilenceUntilDead = absl::Seconds(4);

}  // namespace

std::string_view HealthName(ServerHealth health) {
  switch (health) {
    case ServerHealth::kAlive:
      return "alive";
    case ServerHealth::kSuspect:
      return "suspect";
    case ServerHealth::kDead:
      return "dead";
    case ServerHealth::kLeaving:
      return "leaving";
  }
  return "unknown";
}

std::optional<ServerHealth> ServerWatch::OnPoll(PollEnd end, absl::Time now) {
  bool answered = end == PollEnd::kAnswered || end == PollEnd::kAnsweredLeaving;
  if (answered) {
    says_leaving_ = end == PollEnd::kAnsweredLeaving;
    refusals_ = 0;
    silent_since_.reset();
    polled_ = ServerHealth::kAlive;
    return Update();
  }
  if (end == PollEnd::kRefused) ++refusals_;
  if (!silent_since_.has_value()) silent_since_ = now;
  bool dead = refusals_ >= kRefusalsUntilDead ||
              now - *silent_since_ >= kSilenceUntilDead;
  polled_ = dead ? ServerHealth::kDead : ServerHealth::kSuspect;
  return Update();
}

std::optional<ServerHealth> ServerWatch::OnListed(bool leaving) {
  listed_leaving_ = leaving;
  return Update();
}

std::optional<ServerHealth> ServerWatch::Update() {
  ServerHealth health = polled_;
  bool leaving = says_leaving_ || listed_leaving_;
  if (health == ServerHealth::kAlive && leaving) {
    health = ServerHealth::kLeaving;
  }
  if (health == health_) return std::nullopt;
  health_ = health;
  return health;
}

}  // namespace gentianlb::entry
