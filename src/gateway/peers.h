// The other entry hosts: where they are, and what they tell.
//
// Each host writes its address into a table once, when it starts, and follows
// that table; from then on hosts speak to each other directly. So the table
// service costs a write a start, and hosts that lose it still know each other.

#ifndef GENTIANLB_GATEWAY_PEERS_H_
#define GENTIANLB_GATEWAY_PEERS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/ids.h"
#include "base/result.h"
#include "gateway/peer_news.h"
#include "gateway/table_follower.h"
#include "loop/datagram_socket.h"
#include "loop/event_loop.h"
#include "settings/units.h"

namespace gentianlb::gateway {

struct PeersOptions {
  EntryHostId host;
  settings::Endpoint address;  // Port 0: the kernel picks one.
  std::string table;           // Where hosts write their addresses.
  // Decisions rest on what was heard last; a tenth of a second is less than
  // most requests take, and costs each host ten small messages to every other.
  absl::Duration period = absl::Milliseconds(100);
};

class Peers {
 public:
  // Fills in what this host has to tell.
  using Compose = std::function<void(PeerNews* news)>;
  using OnNews = std::function<void(const PeerNews& news)>;
  // The names of the registered hosts have changed.
  using OnHosts = std::function<void(const std::vector<std::string>& hosts)>;
  // Called after each sending.
  using OnTick = std::function<void(absl::Time now)>;

  // `loop` outlives this object.
  static Outcome<std::unique_ptr<Peers>> Start(
      PeersOptions options, TablePort table, loop::EventLoop* loop,
      Compose compose, OnNews on_news, OnHosts on_hosts, OnTick on_tick);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  std::uint64_t malformed() const { return malformed_; }

 private:
  Peers(PeersOptions options, TablePort table, loop::EventLoop* loop,
        Compose compose, OnNews on_news, OnHosts on_hosts, OnTick on_tick);

  // Writes this host's address, again until it is done.
  void Announce(int tries);
  void TakeRows(const std::vector<TableRow>& rows, bool whole);
  void Take(std::string_view bytes);
  void Tell(absl::Time now);

  const PeersOptions options_;
  const TablePort table_;
  loop::EventLoop* const loop_;
  const Compose compose_;
  const OnNews on_news_;
  const OnHosts on_hosts_;
  const OnTick on_tick_;
  const std::int64_t incarnation_;
  TableFollower follower_;
  std::unique_ptr<loop::DatagramSocket> socket_;
  absl::flat_hash_map<std::string, settings::Endpoint> addresses_;
  std::uint64_t sequence_ = 0;
  std::uint64_t malformed_ = 0;
  TimerId tick_ = 0;
  TimerId announcing_ = 0;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_PEERS_H_
