// One entry of the time line: what happened, where, and a stamp that respects
// cause and effect over all processes.

#ifndef GENTIANLB_TIMELINE_EVENT_H_
#define GENTIANLB_TIMELINE_EVENT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/ids.h"

namespace gentianlb::timeline {

// A hybrid logical clock: wall-clock microseconds, and a counter that orders
// what shares them. A message carries its sender's stamp; the receiver's next
// stamp is greater, whatever its wall clock says.
struct Stamp {
  std::int64_t micros = 0;
  std::uint32_t counter = 0;
  auto operator<=>(const Stamp&) const = default;
};

enum class EventKind {
  kHostStarted,
  kHostReady,
  kHostDraining,
  kRequestAccepted,
  kRequestClaimed,
  kRequestGranted,
  kRequestDispatched,
  kRequestResumed,
  kRequestAnswered,
  kRequestRefused,
  kRequestCancelled,
  kHostSuspected,
  kHostJoined,
  kHostLeft,
  kServerSuspected,
  kServerAlive,
  kServerLeaving,
  kRoleTaken,
  kRoleGivenUp,
  kConfigurationInForce,
  kOrderSent,
  kOrderAnswered,
  kPowerShareChanged,
  kPlatformDown,
  kPlatformUp,
};

// In lower case with dashes, as in `request-accepted`.
std::string_view KindName(EventKind kind);

struct Event {
  Stamp stamp;
  EntryHostId host;
  Incarnation incarnation = 0;
  EventKind kind = EventKind::kHostStarted;
  std::string subject;  // What it is about: a request, host, server or key.
  std::string detail;   // name=value pairs for people, separated by spaces.
  auto operator<=>(const Event&) const = default;
};

}  // namespace gentianlb::timeline

#endif  // GENTIANLB_TIMELINE_EVENT_H_
