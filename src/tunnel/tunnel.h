// One tunnel: relays the bytes of a peer's connection to a backend server and
// back, after the peer has named the server in an HTTP CONNECT request.
//
// The peer speaks to the server as if it were connected directly: a connection
// that the server closes is closed, and one that breaks is reset, because the
// end of a connection may be the end of a response. One that the server's
// process closes as it dies is reset, too, and so is one that the server closes
// before it has received all that the peer sent. Whatever else ends a tunnel,
// the end of this process too, resets the peer's connection.

#ifndef GENTIANLB_TUNNEL_TUNNEL_H_
#define GENTIANLB_TUNNEL_TUNNEL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "loop/event_loop.h"
#include "settings/units.h"
#include "tunnel/connector.h"

namespace gentianlb::tunnel {

// How a CONNECT request is answered.
enum class ConnectAnswer { kEstablished, kMalformed, kUnreachable, kBusy };

// Returns the response text for `answer`.
std::string_view ResponseText(ConnectAnswer answer);

// Finds out whether the process of a server, which has closed a connection in
// good order after `bytes` of responses, lives. Calls `done` later.
using ConfirmEnd = std::function<void(std::uint64_t bytes,
                                      std::function<void(bool lives)> done)>;

// Returns what confirms the ends of connections to the server that is known at
// an address before they are made.
using ConfirmEndOf =
    std::function<ConfirmEnd(const settings::Endpoint& server)>;

struct TunnelHooks {
  // Returns whether connections to `server` may be made.
  std::function<bool(const settings::Endpoint& server)> is_allowed;
  // Reports whether a connection to `server` could be made.
  std::function<void(const settings::Endpoint& server, bool connected)>
      on_connect;
  // Not set: each end in good order is taken for the server's own.
  ConfirmEndOf confirm_end_of = {};
  // Called once when the tunnel has ended. May destroy it after the current
  // callback.
  std::function<void()> on_end;
};

// Not thread-safe: used by the event loop's thread only.
class Tunnel {
 public:
  // Takes ownership of the non-blocking socket `peer`. `loop` must outlive this
  // object.
  Tunnel(loop::EventLoop* loop, int peer, TunnelHooks hooks);
  ~Tunnel();
  Tunnel(const Tunnel&) = delete;
  Tunnel& operator=(const Tunnel&) = delete;

 private:
  // One end, with the bytes to be sent to it.
  struct Side {
    int socket = -1;
    std::string outgoing;
    std::uint32_t watched = 0;  // epoll event flags.
  };
  // How reading from a side ended, if it did.
  enum class ReadEnd { kOpen, kClosed, kBroken };

  void ReadRequest();
  void Connect(std::string_view request);
  void OnConnected(const settings::Endpoint& server, int socket);
  // Answers the request with a refusal and ends the tunnel.
  void Refuse(ConnectAnswer answer);

  // `events`: epoll event flags.
  void RelayToServer(std::uint32_t events);
  void RelayToPeer(std::uint32_t events);
  // Reads from one side while there is room, and sends to the other.
  ReadEnd Relay(Side* from, Side* to);
  // Returns false if the connection is broken.
  bool Flush(Side* side);
  // Returns whether the server has received all that the peer has sent so far.
  bool HasServerAll() const;
  void CloseServer();
  // Handles the end of the server's connection in good order.
  void OnServerClosed();
  // Ends the tunnel once the peer has all bytes of the server.
  void EndWhenFlushed();
  // Resets the peer's connection once the peer has all bytes.
  void ResetWhenReceived();
  void End();
  void UpdateWatches();
  void Watch(Side* side, std::uint32_t events,
             loop::EventLoop::SocketCallback callback);

  loop::EventLoop* const loop_;
  const TunnelHooks hooks_;
  ConfirmEnd confirm_end_;  // Of the server.
  Side peer_;
  Side server_;
  std::string request_;  // Until it is complete.
  std::unique_ptr<Connector> connector_;
  bool relaying_ = false;
  bool server_ended_ = false;
  bool confirming_ = false;  // The server's end.
  std::uint64_t bytes_to_peer_ = 0;
  bool orderly_end_ = false;  // The peer's connection ends as the server's did.
  bool ended_ = false;
  TimerId request_timer_ = 0;
  TimerId reset_timer_ = 0;
  absl::Time reset_by_ = absl::InfiniteFuture();
  // Expires with this object; confirmations in progress check it.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace gentianlb::tunnel

#endif  // GENTIANLB_TUNNEL_TUNNEL_H_
