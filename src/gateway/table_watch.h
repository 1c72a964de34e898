// Which of the hosts that follow the tables watches them for all.
//
// What goes wrong: the table service falls silent while every follower has a
// call waiting there. The calls are swallowed, no connection breaks, and nobody
// hears of the changes that come after. Short waits at each follower would
// notice it, at the price of a call a second and table from each. So one asks
// with short waits, and tells the others of the newest change that it knows;
// they ask anew when they are behind.
//
// The first by hash, of the zones' aggregators that are heard and reach the
// service, watches.
// Nothing is agreed: two that watch for a moment cost some calls, and hosts
// that are cut off from each other have a watching one on each side.

#ifndef GENTIANLB_GATEWAY_TABLE_WATCH_H_
#define GENTIANLB_GATEWAY_TABLE_WATCH_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gateway/fleet_messages.h"

namespace gentianlb::gateway {

class TableWatch {
 public:
  TableWatch(std::string host, absl::Time started)
      : host_(std::move(host)), started_(started) {}

  void Heard(const FleetNews& news, absl::Time now);

  // `reaches`: whether the service answers this host.
  bool IsWatcher(bool reaches, absl::Time now) const;

 private:
  struct Peer {
    absl::Time believed_until;
    bool reaches = false;
  };

  const std::string host_;
  const absl::Time started_;
  absl::flat_hash_map<std::string, Peer> peers_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_TABLE_WATCH_H_
