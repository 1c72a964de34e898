#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <set>

#include "member/membership.h"
#include "member/roles.h"

namespace gentianlb::member {
namespace {

// A handful of hosts joined by a network in memory that can be cut and that
// moves on a virtual clock.
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

  void Run(absl::Duration span) {
    absl::Time end = now_ + span;
    for (; now_ < end; now_ += absl::Milliseconds(50)) Step();
  }

  void Stop(int host) { stopped_.insert(host); }
  void Wake(int host) { stopped_.erase(host); }

  // Cuts hosts below `boundary` from the others; 0 heals.
  void CutAt(int boundary) { boundary_ = boundary; }

  MemberState StateSeenBy(int host, int other) const {
    const Member* member = nodes_[host].membership->Find(Id(other));
    return member == nullptr ? MemberState::kDead : member->state;
  }

  bool AllSee(int other, MemberState state) const {
    for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) {
      if (i == other || stopped_.contains(i)) continue;
      if (StateSeenBy(i, other) != state) return false;
    }
    return true;
  }

  // How many hosts that run believe to hold the role.
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
  std::size_t largest_news() const { return largest_news_; }

 private:
  struct Node {
    std::unique_ptr<Membership> membership;
    RoleBoard board;
  };

  bool Cut(int a, int b) const { return (a < boundary_) != (b < boundary_); }

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
      largest_news_ = std::max(largest_news_, envelope.updates.size());
      int to = Index(envelope.to);
      if (stopped_.contains(to) || Cut(Index(envelope.from.id), to)) continue;
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
  std::size_t largest_news_ = 0;
};

BOOST_AUTO_TEST_CASE(HostsFindEachOtherThroughSeeds) {
  Network network(12);
  network.Run(absl::Seconds(20));
  for (int i = 0; i < 12; ++i) {
    BOOST_TEST(network.AllSee(i, MemberState::kAlive));
  }
  BOOST_TEST(network.Holders() == 1);
}

// A host is killed. The others should stop describing requests to it within
// seconds, and another takes its roles.
BOOST_AUTO_TEST_CASE(AKilledHostIsDeadForAllAndItsRoleMoves) {
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

// A host is frozen for a second, as by a pause of its machine. It is suspected,
// denies it when it wakes, and keeps its role: moving it to and fro would throw
// away what the holder has learnt each time.
BOOST_AUTO_TEST_CASE(AShortPauseMovesNoRole) {
  Network network(8);
  network.Run(absl::Seconds(15));
  EntryHostId holder = network.HolderSeenBy(0);
  int paused = std::stoi(holder.str().substr(1));
  network.Stop(paused);
  network.Run(absl::Seconds(1));
  network.Wake(paused);
  network.Run(absl::Seconds(10));
  BOOST_TEST(network.AllSee(paused, MemberState::kAlive));
  BOOST_TEST(network.HolderSeenBy(paused == 0 ? 1 : 0) == holder);
}

// The holder is frozen until another has taken over, and wakes up believing
// that it still holds the role. For a moment there are two; then one gives up.
BOOST_AUTO_TEST_CASE(OfTwoHoldersOneGivesUp) {
  Network network(8);
  network.Run(absl::Seconds(15));
  int paused = std::stoi(network.HolderSeenBy(0).str().substr(1));
  network.Stop(paused);
  network.Run(absl::Seconds(12));
  network.Wake(paused);
  network.Run(absl::Seconds(10));
  BOOST_TEST(network.Holders() == 1);
}

// A link between two parts is cut. Each part goes on with a holder of its own,
// and when the cut heals they agree again.
BOOST_AUTO_TEST_CASE(BothSidesOfACutGoOnAndAgreeAfterIt) {
  Network network(8);
  network.Run(absl::Seconds(15));
  network.CutAt(4);
  network.Run(absl::Seconds(20));
  BOOST_TEST(network.Holders() == 2);
  BOOST_TEST((network.StateSeenBy(0, 7) == MemberState::kDead));
  network.CutAt(0);
  network.Run(absl::Seconds(30));
  BOOST_TEST(network.Holders() == 1);
  BOOST_TEST(network.AllSee(7, MemberState::kAlive));
}

// A host that shuts down says so, and gives up its roles without waiting to be
// found dead.
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

// The traffic of a host must not grow with the number of hosts.
BOOST_AUTO_TEST_CASE(MessagesPerHostStayBounded) {
  std::vector<double> per_host;
  for (int hosts : {10, 40}) {
    Network network(hosts);
    network.Run(absl::Seconds(20));
    std::uint64_t before = network.sent();
    network.Run(absl::Seconds(20));
    per_host.push_back(static_cast<double>(network.sent() - before) / hosts);
    BOOST_TEST(network.largest_news() <= 9U);
  }
  BOOST_TEST(per_host[1] <= per_host[0] * 1.2);
}

}  // namespace
}  // namespace gentianlb::member
