#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <set>

#include "member/membership.h"
#include "member/roles.h"

namespace gentianlb::member {
namespace {

// Several hosts on an in-memory network that can be partitioned, with a virtual
// clock.
class Network {
 public:
  explicit Network(int hosts) {
    std::vector<Seed> seeds;
    for (int i = 0; i < std::min(hosts, 3); ++i) seeds.push_back({Id(i), ""});
    for (int i = 0; i < hosts; ++i) {
      Member self;
      self.id = Id(i);
      self.zone = ZoneId("z");
      self.incarnation = 1;
      MembershipOptions options;
      options.seed = i + 1;
      nodes_.push_back({std::make_unique<Membership>(self, options, seeds),
                        RoleBoard(Id(i))});
      nodes_.back().board.SetRoles({{"r", ZoneId("z")}});
    }
  }

  static EntryHostId Id(int i) { return EntryHostId("h" + std::to_string(i)); }

  void Run(absl::Duration duration) {
    absl::Time end = now_ + duration;
    for (; now_ < end; now_ += absl::Milliseconds(50)) Step();
  }

  void Stop(int host) { stopped_.insert(host); }
  void Resume(int host) { stopped_.erase(host); }

  // Partitions the hosts below `boundary` from the other hosts. 0 ends the
  // partition.
  void PartitionAt(int boundary) { boundary_ = boundary; }

  MemberState StateSeenBy(int host, int observed) const {
    const Member* member = nodes_[host].membership->Find(Id(observed));
    return member == nullptr ? MemberState::kDead : member->state;
  }

  bool AllSee(int observed, MemberState state) const {
    for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) {
      if (i == observed || stopped_.contains(i)) continue;
      if (StateSeenBy(i, observed) != state) return false;
    }
    return true;
  }

  // Returns how many running hosts consider themselves holders of the role.
  int Holders() const {
    int count = 0;
    for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) {
      if (stopped_.contains(i)) continue;
      if (!nodes_[i].board.HeldRoles().empty()) ++count;
    }
    return count;
  }

  EntryHostId HolderSeenBy(int host) const {
    return nodes_[host].board.HolderOf("r");
  }

  Membership& node(int i) { return *nodes_[i].membership; }
  std::uint64_t sent() const { return sent_; }
  std::size_t max_updates() const { return max_updates_; }

 private:
  struct Node {
    std::unique_ptr<Membership> membership;
    RoleBoard board;
  };

  bool IsCut(int a, int b) const { return (a < boundary_) != (b < boundary_); }

  static int Index(const EntryHostId& id) {
    return std::stoi(id.str().substr(1));
  }

  void Step() {
    std::vector<Envelope> out;
    std::vector<MemberChange> changes;
    for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) {
      if (stopped_.contains(i)) continue;
      Node& node = nodes_[i];
      node.membership->Tick(now_, &out, &changes);
      node.board.Update(node.membership->self(), node.membership->Peers(),
                        now_);
      node.membership->SetRoles(node.board.HeldRoles());
    }
    std::deque<Envelope> queue(out.begin(), out.end());
    while (!queue.empty()) {
      Envelope envelope = queue.front();
      queue.pop_front();
      ++sent_;
      max_updates_ = std::max(max_updates_, envelope.updates.size());
      int to = Index(envelope.to);
      if (stopped_.contains(to) || IsCut(Index(envelope.from.id), to)) continue;
      std::vector<Envelope> answers;
      nodes_[to].membership->HandleEnvelope(envelope, now_, &answers, &changes);
      queue.insert(queue.end(), answers.begin(), answers.end());
    }
  }

  std::vector<Node> nodes_;
  std::set<int> stopped_;
  int boundary_ = 0;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  std::uint64_t sent_ = 0;
  std::size_t max_updates_ = 0;
};

BOOST_AUTO_TEST_CASE(HostsFindEachOtherThroughSeeds) {
  Network network(12);
  network.Run(absl::Seconds(20));
  for (int i = 0; i < 12; ++i) {
    BOOST_TEST(network.AllSee(i, MemberState::kAlive));
  }
  BOOST_TEST(network.Holders() == 1);
}

// A host is killed. All peers must mark it dead within seconds and another host
// must take its role, or requests wait at a dispatcher that no longer runs.
BOOST_AUTO_TEST_CASE(AKilledHostIsReportedDeadAndItsRoleMoves) {
  Network network(8);
  network.Run(absl::Seconds(15));
  EntryHostId holder = network.HolderSeenBy(0);
  int killed = std::stoi(holder.str().substr(1));
  network.Stop(killed);
  network.Run(absl::Seconds(12));
  BOOST_TEST(network.AllSee(killed, MemberState::kDead));
  BOOST_TEST(network.Holders() == 1);
  int witness = killed == 0 ? 1 : 0;
  BOOST_TEST(network.HolderSeenBy(witness) != holder);
}

// A host freezes for a second, as when its machine pauses. It is suspected,
// refutes the suspicion when it wakes, and must keep its role: each move of the
// role would lose the state that the holder has collected.
BOOST_AUTO_TEST_CASE(AShortPauseMovesNoRole) {
  Network network(8);
  network.Run(absl::Seconds(15));
  EntryHostId holder = network.HolderSeenBy(0);
  int paused = std::stoi(holder.str().substr(1));
  network.Stop(paused);
  network.Run(absl::Seconds(1));
  network.Resume(paused);
  network.Run(absl::Seconds(10));
  BOOST_TEST(network.AllSee(paused, MemberState::kAlive));
  BOOST_TEST(network.HolderSeenBy(paused == 0 ? 1 : 0) == holder);
}

// The holder freezes until another host has taken over, and wakes as a second
// holder. One of the two must give up the role.
BOOST_AUTO_TEST_CASE(OneOfTwoHoldersGivesUpTheRole) {
  Network network(8);
  network.Run(absl::Seconds(15));
  int paused = std::stoi(network.HolderSeenBy(0).str().substr(1));
  network.Stop(paused);
  network.Run(absl::Seconds(12));
  network.Resume(paused);
  network.Run(absl::Seconds(10));
  BOOST_TEST(network.Holders() == 1);
}

// The network is partitioned. Each side must get its own holder, and after the
// partition both sides must agree on one holder again.
BOOST_AUTO_TEST_CASE(BothSidesOfAPartitionKeepAHolderAndThenMerge) {
  Network network(8);
  network.Run(absl::Seconds(15));
  network.PartitionAt(4);
  network.Run(absl::Seconds(20));
  BOOST_TEST(network.Holders() == 2);
  BOOST_TEST((network.StateSeenBy(0, 7) == MemberState::kDead));
  network.PartitionAt(0);
  network.Run(absl::Seconds(30));
  BOOST_TEST(network.Holders() == 1);
  BOOST_TEST(network.AllSee(7, MemberState::kAlive));
}

// A host that shuts down announces it. Its role must move without waiting for
// the suspicion timeout.
BOOST_AUTO_TEST_CASE(ALeavingHostHandsItsRoleOver) {
  Network network(8);
  network.Run(absl::Seconds(15));
  int leaving = std::stoi(network.HolderSeenBy(0).str().substr(1));
  network.node(leaving).Leave();
  network.Run(absl::Seconds(5));
  BOOST_TEST(network.Holders() == 1);
  BOOST_TEST(network.HolderSeenBy(leaving == 0 ? 1 : 0) !=
             Network::Id(leaving));
}

// The number and size of the messages of a host must not grow with the number
// of hosts.
BOOST_AUTO_TEST_CASE(MessagesPerHostStayBounded) {
  std::vector<double> per_host;
  for (int hosts : {10, 40}) {
    Network network(hosts);
    network.Run(absl::Seconds(20));
    std::uint64_t sent_before = network.sent();
    network.Run(absl::Seconds(20));
    per_host.push_back(static_cast<double>(network.sent() - sent_before) /
                       hosts);
    BOOST_TEST(network.max_updates() <= 9U);
  }
  BOOST_TEST(per_host[1] <= per_host[0] * 1.2);
}

}  // namespace
}  // namespace gentianlb::member
