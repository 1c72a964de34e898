// A TCP relay between two processes, inside the test, so that a test can cut,
// stall or delay the link between them.

#ifndef GENTIANLB_PROCESS_RELAY_H_
#define GENTIANLB_PROCESS_RELAY_H_

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <thread>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace gentianlb::process {

enum class LinkState {
  kOpen,
  kCut,      // Connections break, and new ones are closed at once.
  kStalled,  // Connections stay, new ones too, but no byte passes.
};

class Relay {
 public:
  // Listens on a port that the kernel picks.
  explicit Relay(std::string target);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // IP:PORT to connect to.
  const std::string& address() const { return address_; }

  void Set(LinkState state);

  // Each byte arrives that much later.
  void SetDelay(absl::Duration delay);

 private:
  struct Block {
    absl::Time due;
    std::string bytes;
  };

  // One way of a connection.
  struct Pipe {
    int from = -1;
    int to = -1;
    bool ended = false;   // `from` sends no more.
    bool closed = false;  // `to` has been told so.
    std::deque<Block> blocks;
  };

  struct Connection {
    Pipe up;
    Pipe down;
    bool broken = false;
  };

  void Run();
  void Accept() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Move(Connection& connection) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  bool Receive(Pipe& pipe) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  static bool Send(Pipe& pipe);
  static void Close(Connection& connection);

  const std::string target_;
  std::string address_;
  int listener_ = -1;
  absl::Mutex mutex_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  LinkState state_ ABSL_GUARDED_BY(mutex_) = LinkState::kOpen;
  absl::Duration delay_ ABSL_GUARDED_BY(mutex_);
  std::list<Connection> connections_ ABSL_GUARDED_BY(mutex_);
  std::thread thread_;
};

}  // namespace gentianlb::process

#endif  // GENTIANLB_PROCESS_RELAY_H_
