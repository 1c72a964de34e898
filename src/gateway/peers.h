// The other entry hosts: where they are, and what they tell.
//
// Each host writes its address into a table when it starts, and then reads the
// table once. Of two hosts the one that wrote later finds the other there and
// speaks to it, and each message says where its sender is; so all know each
// other without following the table, which would cost a call of every host for
// every start of another. Hosts that lose the table service still speak.

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
};

class Peers {
 public:
  // Fills in what this host has to tell.
  using Compose = std::function<void(PeerNews* news)>;
  using OnNews = std::function<void(const PeerNews& news)>;
  // The other hosts that are known have changed.
  using OnHosts = std::function<void(const std::vector<std::string>& hosts)>;
  // Messages of another kind, for others of this host.
  using OnOther = std::function<void(std::string_view bytes)>;
  // Called after each sending.
  using OnTick = std::function<void(absl::Time now)>;

  // `loop` outlives this object.
  static Outcome<std::unique_ptr<Peers>> Start(PeersOptions options,
                                               TablePort table,
                                               loop::EventLoop* loop,
                                               Compose compose, OnNews on_news,
                                               OnHosts on_hosts, OnTick on_tick,
                                               OnOther on_other);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  // False when the host is not known.
  bool Send(const EntryHostId& host, std::string_view bytes);

  std::uint64_t malformed() const { return malformed_; }
  // How often this host tells the others; they take it that they do the same.
  absl::Duration Period() const;

 private:
  Peers(PeersOptions options, TablePort table, loop::EventLoop* loop,
        Compose compose, OnNews on_news, OnHosts on_hosts, OnTick on_tick,
        OnOther on_other);

  // Writes this host's address and reads the others', again until it is done.
  void Announce(int tries);
  void ReadOthers(int tries, const std::string& from);
  void Again(int tries, std::function<void()> call);
  void Learn(const std::string& host, const settings::Endpoint& address);
  void Take(std::string_view bytes);
  void Tell(absl::Time now);

  const PeersOptions options_;
  const TablePort table_;
  loop::EventLoop* const loop_;
  const Compose compose_;
  const OnNews on_news_;
  const OnHosts on_hosts_;
  const OnTick on_tick_;
  const OnOther on_other_;
  const std::int64_t incarnation_;
  settings::Endpoint address_;  // Of this host, with the port in use.
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
