// What the entry hosts know of each other's use of the workspaces' limits.
//
// Load pattern: callers come to hosts unevenly, requests differ a hundredfold,
// and one workspace may send many times its usual through a single host. A
// fixed part of the limit for each host would refuse callers at one host while
// the limit is far from used up. So hosts tell each other what they let
// through, and each counts it against the whole limit; what several let through
// before they hear of each other is paid back before anything else goes.
//
// While a host is not heard, nobody knows what it lets through. Each host has a
// part of the limit, by what its callers asked for while all hosts were heard.
// Hosts that hear each other go on counting together, against the sum of their
// parts; one that hears nobody has its own. The sum stays at the limit however
// hosts are cut off from each other; without this, each side would take the
// whole limit for itself.

#ifndef GENTIANLB_GATEWAY_DEMAND_H_
#define GENTIANLB_GATEWAY_DEMAND_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/decaying_sum.h"
#include "gateway/peer_news.h"

namespace gentianlb::gateway {

// Tokens that another host has let through since it was heard last; below 0
// where it gave back more.
struct Spent {
  NameHash workspace = 0;
  double tokens = 0;
  auto operator<=>(const Spent&) const = default;
};

class Demand {
 public:
  // A caller of this host asks for `tokens`, whatever comes of it.
  void Asked(NameHash workspace, int rank, double tokens, absl::Time now);
  // How much of a workspace's limit requests of `rank` have to leave, as a part
  // of 1: the part of what callers of this host ask for that is more urgent,
  // and less in proportion where requests of this rank are smaller in the mean.
  // Small ones take little from the urgent, and hundreds of them would be
  // refused for one large. The same for all of a rank: by its own size, the
  // largest of a kind would be refused twice as often as the others.
  double PartAbove(NameHash workspace, int rank, absl::Time now) const;
  // They were let through.
  void LetThrough(NameHash workspace, double tokens);
  // Of these, what was not sent to any server after all.
  void GivenBack(NameHash workspace, double tokens);

  std::vector<Spent> Heard(const PeerNews& news, absl::Time now);

  // The hosts that are known, without this one, and how often each tells the
  // others. Who is silent for a minute is forgotten, but only while more than
  // half of all are heard: a few hosts that are cut off from the rest must not
  // take the limits for themselves.
  void SetHosts(const std::vector<std::string>& hosts, absl::Duration period,
                absl::Time now);

  // This host's own, to be told to others.
  std::vector<WorkspaceUse> Own(absl::Time now) const;

  // Notes this host's parts while all hosts are heard; to be called several
  // times a second.
  void Agree(absl::Time now);

  // The part of the limit that the hosts which are heard have together, this
  // one included; 1 when all are heard.
  double Part(NameHash workspace, absl::Time now) const;

  // Hosts that count, this one included.
  int hosts() const;
  // Whether all of them were heard lately.
  bool AllHeard(absl::Time now) const;

 private:
  struct Own {
    // The memory of what callers ask for: long against the gaps between large
    // requests, short against the seconds over which limits are checked.
    static constexpr absl::Duration kMemory = absl::Seconds(3);

    DecayingSum asked{kMemory};  // Tokens.
    struct OfRank {
      DecayingSum tokens{kMemory};
      DecayingSum requests{kMemory};
    };
    std::map<int, OfRank> by_rank;
    std::uint64_t let_through = 0;
    std::uint64_t given_back = 0;
    double PerSecond(absl::Time now) const;
  };

  struct Peer {
    absl::Time heard = absl::InfinitePast();
    absl::Time known = absl::InfiniteFuture();  // Since when.
    bool forgotten = false;
    NewsPlace place;  // Of what was heard last.
    absl::flat_hash_map<NameHash, WorkspaceUse> uses;
  };

  bool IsHeard(const Peer& peer, absl::Time now) const;
  void ForgetSilent(absl::Time now);
  // This host's own part.
  double OwnPart(NameHash workspace) const;
  double PartOfDemand(NameHash workspace, absl::Time now) const;

  absl::Duration period_ = absl::Milliseconds(100);
  absl::flat_hash_map<NameHash, struct Own> own_;
  absl::flat_hash_map<std::string, Peer> peers_;
  absl::flat_hash_map<NameHash, double> agreed_;  // Own parts.
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_DEMAND_H_
