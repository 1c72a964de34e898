#include "timeline/event.h"

namespace gentianlb::timeline {

std::string_view KindName(EventKind kind) {
  switch (kind) {
    case EventKind::kHostStarted:
      return "host-started";
    case EventKind::kHostReady:
      return "host-ready";
    case EventKind::kHostDraining:
      return "host-draining";
    case EventKind::kRequestAccepted:
      return "request-accepted";
    case EventKind::kRequestClaimed:
      return "request-claimed";
    case EventKind::kRequestGranted:
      return "request-granted";
    case EventKind::kRequestDispatched:
      return "request-dispatched";
    case EventKind::kRequestResumed:
      return "request-resumed";
    case EventKind::kRequestAnswered:
      return "request-answered";
    case EventKind::kRequestRefused:
      return "request-refused";
    case EventKind::kRequestCancelled:
      return "request-cancelled";
    case EventKind::kHostSuspected:
      return "host-suspected";
    case EventKind::kHostJoined:
      return "host-joined";
    case EventKind::kHostLeft:
      return "host-left";
    case EventKind::kServerSuspected:
      return "server-suspected";
    case EventKind::kServerAlive:
      return "server-alive";
    case EventKind::kServerLeaving:
      return "server-leaving";
    case EventKind::kRoleTaken:
      return "role-taken";
    case EventKind::kRoleGivenUp:
      return "role-given-up";
    case EventKind::kConfigurationInForce:
      return "configuration-in-force";
    case EventKind::kOrderSent:
      return "order-sent";
    case EventKind::kOrderAnswered:
      return "order-answered";
    case EventKind::kPowerShareChanged:
      return "power-share-changed";
    case EventKind::kPlatformDown:
      return "platform-down";
    case EventKind::kPlatformUp:
      return "platform-up";
  }
  return "unknown";
}

}  // namespace gentianlb::timeline
