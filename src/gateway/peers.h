// The network between entry hosts: their addresses, and the datagrams.
//
// At start each host writes its address into a table and then reads the table
// once. Of two hosts the one that wrote later finds the other, and the updates
// of fleet.h propagate the address to the rest. So no host subscribes to the
// table, which would cost every host a call for each start of another one.
// Writes may take seconds when all hosts restart at once. A host whose write is
// delayed reads the rows of earlier starts first: it must not take the hosts
// that it reaches for all.
// Hosts that can't reach the table service still communicate.

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
#include "gateway/table_subscriber.h"
#include "loop/datagram_socket.h"
#include "loop/event_loop.h"
#include "settings/units.h"

namespace gentianlb::gateway {

struct PeersOptions {
  EntryHostId host;
  ZoneId zone;
  double processor = 1;        // Processors that this host may use.
  settings::Endpoint address;  // Port 0: the kernel picks one.
  std::string table;           // The table of the hosts' addresses.
};

struct PeersHooks {
  // See FleetHooks.
  std::function<void(FleetUpdate* own)> compose;
  std::function<void(const FleetUpdate& peers)> on_peers;
  std::function<void(const FleetUpdate& zone)> on_zone;
  // Called with messages of other components of the peers.
  std::function<void(std::string_view bytes)> on_message;
  // Called with the number of known hosts, including this one, once the table
  // has been read.
  std::function<void(int hosts)> on_host_count;
  // Called after each period.
  std::function<void(absl::Time now)> on_tick;
};

// Runs this host's Fleet on a datagram socket, and sends messages of other
// components to peers.
class Peers {
 public:
  // Binds the socket and starts to announce this host. `loop` must outlive this
  // object.
  static Outcome<std::unique_ptr<Peers>> Start(PeersOptions options,
                                               TablePort table,
                                               loop::EventLoop* loop,
                                               PeersHooks hooks);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  // Sends a message in one datagram. Returns false if the host is unknown or
  // the socket refuses the message.
  bool Send(const std::string& host, std::string_view bytes);

  const Fleet& fleet() const { return *fleet_; }
  // The port of this host's datagrams.
  std::uint16_t port() const { return socket_->port(); }
  std::uint64_t malformed() const { return malformed_; }

 private:
  Peers(PeersOptions options, TablePort table, loop::EventLoop* loop,
        PeersHooks hooks);

  // Returns this host's own entry.
  HostEntry Self() const;
  void StartFleet();
  // Writes this host's address and then reads those of the peers, with retries
  // until both succeed.
  void Announce(int tries);
  void ReadHosts(int tries, const std::string& from);
  // Reads the addresses of the peers once while this host's own is not written
  // yet.
  void ReadHostsEarly(const std::string& from);
  void AddHosts(const TablePage& page);
  void RetryLater(int tries, std::function<void()> call);
  void SetAddress(const std::string& host, const std::string& address);
  void HandleDatagram(std::string_view bytes);
  void Tick(absl::Time now);

  const PeersOptions options_;
  const TablePort table_;
  loop::EventLoop* const loop_;
  const PeersHooks hooks_;
  std::string address_;  // This host's address with the bound port.
  std::unique_ptr<loop::DatagramSocket> socket_;
  std::unique_ptr<Fleet> fleet_;
  absl::flat_hash_map<std::string, settings::Endpoint> addresses_;
  std::uint64_t malformed_ = 0;
  TimerId tick_timer_ = 0;
  TimerId announce_timer_ = 0;
  TimerId start_timer_ = 0;
  TimerId early_read_timer_ = 0;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_PEERS_H_
