// The network between entry hosts: where they are, and the datagrams.
//
// Each host writes its address into a table when it starts, and then reads the
// table once. Of two hosts the one that wrote later finds the other there; what
// fleet.h tells spreads the rest, so that nobody follows the table, which would
// cost a call of every host for every start of another. Hosts that lose the
// table service still speak.

#ifndef GENTIANLB_GATEWAY_PEERS_H_
#define GENTIANLB_GATEWAY_PEERS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/ids.h"
#include "base/result.h"
#include "gateway/fleet.h"
#include "gateway/table_follower.h"
#include "loop/datagram_socket.h"
#include "loop/event_loop.h"
#include "settings/units.h"

namespace gentianlb::gateway {

struct PeersOptions {
  EntryHostId host;
  ZoneId zone;
  double processor = 1;        // Part of one that this host may use.
  settings::Endpoint address;  // Port 0: the kernel picks one.
  std::string table;           // Where hosts write their addresses.
};

struct PeersHooks {
  // As FleetHooks.
  std::function<void(FleetNews* own)> compose;
  std::function<void(const FleetNews& others)> on_others;
  std::function<void(const FleetNews& zone)> on_zone;
  // Messages of another kind, for others of this host.
  std::function<void(std::string_view bytes)> on_other;
  // So many hosts are known, this one included.
  std::function<void(int hosts)> on_known;
  // Called after each period.
  std::function<void(absl::Time now)> on_tick;
};

class Peers {
 public:
  // `loop` outlives this object.
  static Outcome<std::unique_ptr<Peers>> Start(PeersOptions options,
                                               TablePort table,
                                               loop::EventLoop* loop,
                                               PeersHooks hooks);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  // False when the host is not known.
  bool Send(const std::string& host, std::string_view bytes);

  const Fleet& fleet() const { return *fleet_; }
  std::uint64_t malformed() const { return malformed_; }

 private:
  Peers(PeersOptions options, TablePort table, loop::EventLoop* loop,
        PeersHooks hooks);

  // This host, as others know it.
  HostEntry Self() const;
  void StartFleet();
  // Writes this host's address and reads the others', again until it is done.
  void Announce(int tries);
  void ReadOthers(int tries, const std::string& from);
  void Again(int tries, std::function<void()> call);
  void Locate(const std::string& host, const std::string& address);
  void Take(std::string_view bytes);
  void Tick(absl::Time now);

  const PeersOptions options_;
  const TablePort table_;
  loop::EventLoop* const loop_;
  const PeersHooks hooks_;
  std::string address_;  // Of this host, with the port in use.
  std::unique_ptr<loop::DatagramSocket> socket_;
  std::unique_ptr<Fleet> fleet_;
  absl::flat_hash_map<std::string, settings::Endpoint> addresses_;
  std::uint64_t malformed_ = 0;
  TimerId tick_ = 0;
  TimerId announcing_ = 0;
  TimerId begin_ = 0;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_PEERS_H_
