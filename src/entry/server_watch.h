// Judges one backend server by how its load polls end. A long prefill keeps an
// engine's streams silent for seconds, so streams say nothing about death; the
// load report is answered apart from the batch and does.

#ifndef GENTIANLB_ENTRY_SERVER_WATCH_H_
#define GENTIANLB_ENTRY_SERVER_WATCH_H_

#include <optional>
#include <string_view>

#include "absl/time/time.h"
#include "schedule/messages.h"

namespace gentianlb::entry {

enum class PollEnd {
  kAnswered,
  kAnsweredLeaving,  // The server says that it is leaving.
  kRefused,          // Nothing listens there: the process is gone.
  kSilent,           // No answer in time: frozen, or cut off.
};

// In lower case, for status and logs.
std::string_view HealthName(schedule::ServerHealth health);

class ServerWatch {
 public:
  // Takes the end of a poll; returns the new health when it changes.
  std::optional<schedule::ServerHealth> OnPoll(PollEnd end, absl::Time now);

  // The platform's list says that the server is leaving, or no longer.
  std::optional<schedule::ServerHealth> OnListed(bool leaving);

  schedule::ServerHealth health() const { return health_; }

 private:
  std::optional<schedule::ServerHealth> Update();

  schedule::ServerHealth health_ = schedule::ServerHealth::kAlive;
  schedule::ServerHealth polled_ = schedule::ServerHealth::kAlive;
  bool says_leaving_ = false;
  bool listed_leaving_ = false;
  int refusals_ = 0;
  std::optional<absl::Time> silent_since_;
};

}  // namespace gentianlb::entry

#endif  // GENTIANLB_ENTRY_SERVER_WATCH_H_
