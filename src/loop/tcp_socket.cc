#include "loop/tcp_socket.h"

#include <arpa/inet.h>
#include <glog/logging.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace gentianlb::loop {
namespace {

// TCP keepalive of an idle connection: the first probe after one second, then
// one per second. Detects a partition or a powered-off peer within four
// seconds.
constexpr int kKeepaliveProbeSeconds = 1;
constexpr int kKeepaliveProbes = 3;

// Of a caller's connection: callers may be on poor links, and the host serves
// them meanwhile.
constexpr int kKeepaliveProbesOfCaller = 9;

void SetOption(int socket, int level, int option, unsigned value,
               const char* name) {
  if (setsockopt(socket, level, option, &value, sizeof value) == 0) return;
  PLOG(WARNING) << "event=socket-option-refused option=" << name;
}

// `probes`: that may stay unanswered.
void SetProbes(int socket, int probes) {
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1, "SO_KEEPALIVE");
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepaliveProbeSeconds,
            "TCP_KEEPIDLE");
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepaliveProbeSeconds,
            "TCP_KEEPINTVL");
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, static_cast<unsigned>(probes),
            "TCP_KEEPCNT");
}

}  // namespace

bool MakeAddress(const std::string& ip, std::uint16_t port,
                 sockaddr_in* address) {
  *address = {};
  address->sin_family = AF_INET;
  address->sin_port = htons(port);
  return inet_pton(AF_INET, ip.c_str(), &address->sin_addr) == 1;
}

void SetLivenessOptions(int socket, absl::Duration max_unacknowledged) {
  SetProbes(socket, kKeepaliveProbes);
  SetOption(
      socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
      static_cast<unsigned>(absl::ToInt64Milliseconds(max_unacknowledged)),
      "TCP_USER_TIMEOUT");
}

void SetKeepalive(int socket) { SetProbes(socket, kKeepaliveProbesOfCaller); }

absl::Duration UnacknowledgedFor(int socket) {
  tcp_info info = {};
  socklen_t size = sizeof info;
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return absl::ZeroDuration();
  }
  const bool waits = info.tcpi_unacked > 0 || info.tcpi_probes > 0;
  return waits ? absl::Milliseconds(info.tcpi_last_ack_recv)
               : absl::ZeroDuration();
}

bool IsAllAcknowledged(int socket) {
  int bytes = 0;
  return ioctl(socket, SIOCOUTQ, &bytes) != 0 || bytes == 0;
}

}  // namespace gentianlb::loop
