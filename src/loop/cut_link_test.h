// Cuts the link of a connection without any rights: its packets vanish, and no
// end of it reaches the other side.

#ifndef GENTIANLB_LOOP_CUT_LINK_TEST_H_
#define GENTIANLB_LOOP_CUT_LINK_TEST_H_

#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace gentianlb::loop {

// The kernel drops, unacknowledged, whatever arrives at `socket` from now on.
// Returns false if it doesn't.
inline bool DropReceived(int socket) {
  sock_filter drop_all = {BPF_RET | BPF_K, 0, 0, 0};
  const sock_fprog program = {1, &drop_all};
  return setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                    sizeof program) == 0;
}

// The kernel delivers again what arrives. Returns false if it doesn't.
inline bool ReceiveAgain(int socket) {
  const int unused = 0;  // The kernel wants a value.
  return setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &unused,
                    sizeof unused) == 0;
}

// Returns the socket of this process with a connection to `remote_port`, and
// from `local_port` unless that is 0; -1 if there is none.
inline int FindSocket(int remote_port, int local_port = 0) {
  constexpr int kMaxDescriptor = 1024;
  for (int descriptor = 0; descriptor < kMaxDescriptor; ++descriptor) {
    sockaddr_in local = {};
    sockaddr_in remote = {};
    socklen_t local_size = sizeof local;
    socklen_t remote_size = sizeof remote;
    const bool connected =
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&local),
                    &local_size) == 0 &&
        getpeername(descriptor, reinterpret_cast<sockaddr*>(&remote),
                    &remote_size) == 0;
    if (!connected || ntohs(remote.sin_port) != remote_port) continue;
    if (local_port == 0 || ntohs(local.sin_port) == local_port) {
      return descriptor;
    }
  }
  return -1;
}

// Returns 0 if the socket has no port.
inline int LocalPort(int socket) {
  sockaddr_in local = {};
  socklen_t size = sizeof local;
  auto* generic = reinterpret_cast<sockaddr*>(&local);
  return getsockname(socket, generic, &size) == 0 ? ntohs(local.sin_port) : 0;
}

}  // namespace gentianlb::loop

#endif  // GENTIANLB_LOOP_CUT_LINK_TEST_H_
