// The dispatchers of this host and the way to those of others: an event of a
// request goes to the dispatcher of its domain, here or at a peer, and the
// decisions come back to the request's entry host. Knows no network and no
// clock; the hooks carry what has to leave.

#ifndef GENTIANLB_ENTRY_DISPATCH_BOARD_H_
#define GENTIANLB_ENTRY_DISPATCH_BOARD_H_

#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "entry/config_index.h"
#include "entry/wire.h"
#include "member/messages.h"
#include "schedule/dispatcher.h"

namespace gentianlb::entry {

// What a board does to its surroundings.
struct BoardHooks {
  // Sends to another entry host.
  std::function<void(const EntryHostId& host, PeerItem item)> send;
  // A decision on a request of this host. `from` made it.
  std::function<void(const EntryHostId& from, const Domain& domain,
                     const schedule::Decision& decision)>
      decide;
  // A domain has another dispatcher: requests must be announced to it.
  std::function<void(const Domain& domain)> holder_changed;
};

class DispatchBoard {
 public:
  DispatchBoard(EntryHostId self, BoardHooks hooks);

  // Puts a configuration in force for all dispatchers held here.
  void Configure(ConfigIndexPtr config, absl::Time now);

  // Every domain of the configuration, as roles.
  std::vector<Domain> Domains() const;

  // `holder` dispatches `domain` from now on, with an empty memory even when it
  // did so before; empty: nobody is known to.
  void SetHolder(const Domain& domain, const EntryHostId& holder,
                 absl::Time now);
  EntryHostId HolderOf(const Domain& domain) const;
  std::vector<Domain> Held() const;

  // An event of a request of this host. Dropped while the domain has no known
  // dispatcher: the request is announced once it has.
  void Tell(const Domain& domain, DispatchEvent event, absl::Time now);

  // The same, to the host that is known to have decided on the request.
  void TellHost(const EntryHostId& host, DispatchEvent event, absl::Time now);

  // An event of another host's request, for a dispatcher that should be here.
  void OnEvent(const DispatchEvent& event, absl::Time now);

  // What the watch of a server brings; for domains held here.
  void OnServer(const Domain& domain, const schedule::Event& event,
                absl::Time now);

  // An entry host is gone for good: its waiting requests have no caller, and
  // what it left running counts until the server's report no longer shows it.
  void OnHostGone(const EntryHostId& host, absl::Time now);

  // Passes time to the dispatchers whose wake-up is due.
  void Advance(absl::Time now);
  absl::Time NextWakeup() const;

  // For status and metrics; null when not held here.
  const schedule::Dispatcher* DispatcherOf(const Domain& domain) const;

 private:
  // A request known to a dispatcher held here.
  struct Tracked {
    EntryHostId host;
    ServerId server;  // Empty while it waits.
    absl::Time orphaned = absl::InfiniteFuture();
  };

  struct Local {
    std::unique_ptr<schedule::Dispatcher> dispatcher;
    absl::flat_hash_map<RequestId, Tracked> tracked;
  };

  void Take(const Domain& domain, const schedule::Event& event, absl::Time now);
  void Track(Local& local, const schedule::Event& event);
  void Deliver(const Domain& domain, Local& local,
               const schedule::Decision& decision);
  void ConfigureLocal(const Domain& domain, absl::Time now);
  void EndOrphans(const Domain& domain, const schedule::LoadReported& report,
                  absl::Time now);

  const EntryHostId self_;
  const BoardHooks hooks_;
  ConfigIndexPtr config_;
  std::map<Domain, double> watts_;
  std::map<Domain, EntryHostId> holders_;
  std::map<Domain, Local> locals_;
};

}  // namespace gentianlb::entry

#endif  // GENTIANLB_ENTRY_DISPATCH_BOARD_H_
