// How this host reaches the backend servers: directly, or through a tunnel of a
// peer.
//
// A host may be partitioned from some or all servers while callers and peers
// still reach it. Its callers then wait for connections that fail, and are
// refused. Any peer that reaches a server can tunnel connections to it. A
// tunnel leads to the server directly and never through another tunnel.
//
// The class has no access to the network or a clock.

#ifndef GENTIANLB_GATEWAY_SERVER_PATHS_H_
#define GENTIANLB_GATEWAY_SERVER_PATHS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/ids.h"
#include "base/lost_paths.h"
#include "gateway/fleet_messages.h"
#include "gateway/messages.h"

namespace gentianlb::gateway {

class ServerPaths {
 public:
  ServerPaths(EntryHostId self, ZoneId zone)
      : self_(std::move(self)), zone_(std::move(zone)) {}

  // Sets the live peers. `dispatchers` lists those of all zones that are
  // reachable; `neighbours` only some of this host's zone, others each time.
  void SetPeers(const std::vector<HostEntry>& dispatchers,
                const std::vector<HostEntry>& neighbours, absl::Time now);
  // Sets the registered servers, and forgets the losses of all others.
  void SetServers(const std::vector<ServerEntry>& servers);

  // Returns the path for the next request to `server`: the direct one unless it
  // is lost, else through a peer that has not failed for it lately. Without
  // such a peer, returns nullopt if the direct path to this very server failed,
  // and the direct one if it is only assumed to be lost.
  std::optional<ServerPath> Choose(const ServerEntry& server, absl::Time now);

  // Returns whether peers may be tunnelled to `server`.
  bool IsDirectOpen(const ServerId& server) const;

  // Record whether a connection to `server` could be made on `path`. `started`:
  // when it was tried, or when the request was sent whose response has arrived.
  // What was started before a failure says nothing about the path since: open
  // connections may live on while new ones fail.
  void OnReached(const ServerId& server, const ServerPath& path,
                 absl::Time started, absl::Time now);
  void OnUnreachable(const ServerId& server, const ServerPath& path,
                     absl::Time now);

  // Returns the servers whose direct path is to be probed now: each lost one
  // after a growing interval, until OnReached(). While all are taken for lost,
  // returns one registered server at a time, in turn.
  std::vector<ServerId> TakeDueProbes(absl::Time now);

  // Returns the number of servers to which the direct path failed.
  std::size_t direct_losses() const { return direct_losses_.size(); }
  // Returns whether this host is assumed to reach no server directly.
  bool all_direct_lost() const { return all_direct_lost_; }

 private:
  struct Peer {
    std::string address;
    std::string zone;
    absl::Time seen;
    std::set<ServerId> failed;  // Since its last success.
    absl::Time failed_at = absl::InfinitePast();
  };
  // Failures in a row of peers for one server.
  struct PeerFailures {
    int count = 0;
    absl::Time last;
  };
  // Intervals of probes of one path.
  struct ProbeTimer {
    explicit ProbeTimer(absl::Time lost);
    // Returns whether a probe is due, and sets the time of the next one.
    bool TakeDue(absl::Time now);
    absl::Time next;
    absl::Duration interval;
  };
  struct DirectLoss {
    absl::Time since;
    ProbeTimer probe;
  };

  void AddPeer(const HostEntry& host, absl::Time now);
  bool IsOpen(const std::string& host, const Peer& peer, const ServerId& server,
              absl::Time now) const;
  std::optional<ServerPath> ChoosePeer(const ServerEntry& server,
                                       absl::Time now);
  // Returns whether no peer of the zone is reachable any more.
  bool IsZoneCutOff(const std::string& zone) const;

  const EntryHostId self_;
  const ZoneId zone_;
  std::map<std::string, Peer> peers_;  // By name.
  std::set<std::string> peer_zones_;   // In which there was ever a peer.
  std::set<ServerId> servers_;         // Registered.
  std::map<ServerId, DirectLoss> direct_losses_;
  std::set<ServerId> direct_failed_;  // In a row, on direct paths.
  absl::Time direct_failed_at_ = absl::InfinitePast();
  absl::Time direct_reached_at_ = absl::InfinitePast();
  bool all_direct_lost_ = false;
  ProbeTimer all_direct_probe_{absl::InfinitePast()};
  ServerId last_probed_;
  LostPaths<ServerId> peer_losses_;
  std::map<ServerId, PeerFailures> peer_failures_;  // None has count 0.
  std::size_t next_peer_ = 0;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_SERVER_PATHS_H_
