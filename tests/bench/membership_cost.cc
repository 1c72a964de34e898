// Hosts joined by a network in memory on a virtual clock. All run the real
// membership; a sample of them also does what the control thread does around
// it, and only that sample is timed and counted.

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "config/codec.h"
#include "costs.h"
#include "entry/wire.h"
#include "member/membership.h"
#include "member/roles.h"
#include "meter.h"
#include "rpc/codec.h"

namespace gentianlb::bench {
namespace {

using member::Envelope;
using member::Member;
using member::MemberChange;
using member::Membership;
using member::RoleBoard;

constexpr int kRoles = 72;  // Four services in 18 availability zones.
constexpr int kZones = 18;
constexpr int kSample = 10;
constexpr absl::Duration kTick = absl::Milliseconds(50);  // As entry::Peers.
// Until the news of the start has been passed on: longer with more hosts.
constexpr absl::Duration kWarmUp = absl::Seconds(20);
constexpr absl::Duration kWarmUpPerHost = absl::Milliseconds(900);
constexpr absl::Duration kWarmUpTick = absl::Milliseconds(250);
constexpr absl::Duration kLongestWait = absl::Seconds(240);
constexpr absl::Duration kMeasured = absl::Seconds(30);
constexpr absl::Duration kVersionEvery = absl::Seconds(15);  // 5,800 a day.

// Request and answer line and headers of one exchange, and the answer's body.
constexpr double kHttpBytes = 350;
constexpr double kAnswerBytes = 42;

class Network {
 public:
  explicit Network(int hosts) : zones_(std::min(kZones, hosts)) {
    std::vector<member::Seed> seeds;
    seeds.reserve(hosts);
    for (int i = 0; i < hosts; ++i) seeds.push_back({Id(i), Address(i)});
    std::int64_t before = HeapBytes();
    for (int i = 0; i < hosts; ++i) AddNode(i, hosts, seeds);
    Run(kWarmUp + hosts * kWarmUpPerHost, /*versions=*/false, kWarmUpTick);
    heap_bytes_ = static_cast<double>(HeapBytes() - before) / hosts;
  }

  std::vector<double> Measure(bool versions) {
    watch_ = roles_watch_ = {};
    messages_ = bytes_ = 0;
    stopped_ = -1;
    measuring_ = true;
    Run(kMeasured, versions, kTick);
    measuring_ = false;
    double host_seconds = sampled_ * absl::ToDoubleSeconds(kMeasured);
    std::vector<double> row = {
        static_cast<double>(nodes_.size()),
        versions ? absl::ToDoubleSeconds(kVersionEvery) : 0,
        messages_ / host_seconds,
        bytes_ / host_seconds,
        100 * watch_.seconds() / host_seconds,
        100 * roles_watch_.seconds() / host_seconds,
        heap_bytes_};
    for (double seconds : SecondsUntilKnown(versions)) row.push_back(seconds);
    row.push_back(SecondsUntilHeard());
    return row;
  }

 private:
  struct Node {
    std::unique_ptr<Membership> membership;
    RoleBoard board;
    std::uint64_t judged = 0;
    bool sampled = false;
  };

  static EntryHostId Id(int i) {
    return EntryHostId(absl::StrCat("entry-", 1000 + i));
  }
  static std::string Address(int i) {
    return absl::StrCat("10.20.", i / 250, ".", i % 250, ":8443");
  }
  static int Index(const EntryHostId& id) {
    return std::stoi(id.str().substr(6)) - 1000;
  }

  void AddNode(int i, int hosts, const std::vector<member::Seed>& seeds) {
    Member self;
    self.id = Id(i);
    self.zone = Zone(i);
    self.address = Address(i);
    self.incarnation = 1'790'000'000'000'000;
    member::MembershipOptions options;
    options.seed = static_cast<std::uint64_t>(i) + 1;
    Node node{std::make_unique<Membership>(self, options, seeds),
              RoleBoard(Id(i))};
    std::vector<member::RoleSpec> roles;
    roles.reserve(kRoles);
    for (int role = 0; role < kRoles; ++role) {
      roles.push_back({absl::StrCat("dispatch/service-", role / zones_, "/",
                                    Zone(role).str()),
                       Zone(role)});
    }
    node.board.SetRoles(roles);
    node.sampled = i % std::max(1, hosts / kSample) == 0;
    if (node.sampled) ++sampled_;
    nodes_.push_back(std::move(node));
  }

  ZoneId Zone(int i) const { return ZoneId(absl::StrCat("zone-", i % zones_)); }

  void Run(absl::Duration span, bool versions, absl::Duration tick) {
    absl::Time end = now_ + span;
    for (; now_ < end; now_ += tick, ++step_) {
      if (versions && now_ >= next_version_) {
        next_version_ = now_ + kVersionEvery;
        for (Node& node : nodes_) {
          node.membership->SetConfigVersion(version_);
        }
        ++version_;
      }
      Step();
    }
  }

  // Stops a host and waits until `share` of the others take it for dead, once
  // for each share.
  std::vector<double> SecondsUntilKnown(bool versions) {
    stopped_ = static_cast<int>(nodes_.size()) - (versions ? 2 : 1);
    absl::Time stopped_at = now_;
    std::vector<double> seconds;
    for (double share : {0.5, 0.95, 1.0}) {
      while (ShareThatKnows() < share && now_ - stopped_at < kLongestWait) {
        Run(kWarmUpTick, versions, kWarmUpTick);
      }
      bool known = ShareThatKnows() >= share;
      seconds.push_back(known ? absl::ToDoubleSeconds(now_ - stopped_at) : -1);
    }
    return seconds;
  }

  // One host has a new version; whoever hears of it has it at once too.
  double SecondsUntilHeard() {
    stopped_ = -1;
    std::int64_t version = version_++;
    absl::Time told_at = now_;
    nodes_[0].membership->SetConfigVersion(version);
    for (bool all = false; !all;) {
      if (now_ - told_at > kLongestWait) return -1;
      Run(kTick, /*versions=*/false, kTick);
      all = true;
      for (std::size_t i = 1; i < nodes_.size(); ++i) {
        Membership& members = *nodes_[i].membership;
        bool heard = members.newest_config() >= version;
        if (heard) members.SetConfigVersion(version);
        all = all && heard;
      }
    }
    return absl::ToDoubleSeconds(now_ - told_at);
  }

  double ShareThatKnows() const {
    EntryHostId dead = Id(stopped_);
    auto know =
        std::count_if(nodes_.begin(), nodes_.end(), [&](const Node& node) {
          const Member* known = node.membership->Find(dead);
          return &node != StoppedNode() &&
                 (known == nullptr ||
                  known->state == member::MemberState::kDead);
        });
    return static_cast<double>(know) / static_cast<double>(nodes_.size() - 1);
  }

  bool Timed(const Node& node) const { return measuring_ && node.sampled; }

  void Step() {
    std::deque<Envelope> queue;
    std::vector<Envelope> out;
    std::vector<MemberChange> changes;
    for (Node& node : nodes_) {
      if (&node == StoppedNode()) continue;
      bool timed = Timed(node);
      if (timed) watch_.Start();
      node.membership->Tick(now_, &out, &changes);
      if (timed) watch_.Stop();
      UpdateRoles(node);
    }
    queue.assign(out.begin(), out.end());
    while (!queue.empty()) {
      Envelope envelope = std::move(queue.front());
      queue.pop_front();
      out.clear();
      Deliver(envelope, &out);
      queue.insert(queue.end(), out.begin(), out.end());
    }
  }

  const Node* StoppedNode() const {
    return stopped_ < 0 ? nullptr : &nodes_[stopped_];
  }

  // As entry::Peers does after each tick. Hosts that aren't timed look once a
  // second, which changes nothing for the others once the roles are settled.
  void UpdateRoles(Node& node) {
    bool timed = Timed(node);
    if (!timed && step_ % 20 != 0) return;
    Membership& members = *node.membership;
    if (timed) roles_watch_.Start();
    if (members.changes() != node.judged || node.board.AnyVacant()) {
      node.judged = members.changes();
      node.board.Update(members.self(), members.Others(), now_);
      members.SetRoles(node.board.Held());
    }
    if (timed) roles_watch_.Stop();
  }

  void Deliver(const Envelope& envelope, std::vector<Envelope>* out) {
    Node& from = nodes_[Index(envelope.from.id)];
    Node& to = nodes_[Index(envelope.to)];
    if (&to == StoppedNode()) return;
    std::vector<MemberChange> changes;
    if (!Timed(from) && !Timed(to)) {
      to.membership->Receive(envelope, now_, out, &changes);
      return;
    }
    if (Timed(from)) watch_.Start();
    std::string text = Encode(envelope);
    if (Timed(from)) watch_.Stop();
    int ends = (Timed(from) ? 1 : 0) + (Timed(to) ? 1 : 0);
    messages_ += ends;
    bytes_ +=
        ends * (static_cast<double>(text.size()) + kHttpBytes + kAnswerBytes);
    if (Timed(to)) watch_.Start();
    Receive(*to.membership, text, out, &changes);
    if (Timed(to)) watch_.Stop();
  }

  std::string Encode(const Envelope& envelope) const {
    Json::Value params;
    params["from"] = envelope.from.id.str();
    params["incarnation"] = Json::Int64{envelope.from.incarnation};
    params["stamp"].append(Json::Int64{1'790'000'000'000'000});
    params["stamp"].append(0U);
    params["envelope"] = entry::ToJson(envelope);
    return rpc::EncodeCall("member.probe", params);
  }

  void Receive(Membership& members, const std::string& text,
               std::vector<Envelope>* out, std::vector<MemberChange>* changes) {
    auto json = config::ReadJson(text);
    if (!json.ok()) return;
    Outcome<Envelope> envelope = Capture([&] {
      return entry::EnvelopeFromJson(json.value()["params"]["envelope"]);
    });
    if (envelope.ok()) {
      members.Receive(envelope.value(), now_, out, changes);
    }
  }

  const int zones_;
  std::vector<Node> nodes_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(500'000);
  absl::Time next_version_ = now_;
  std::int64_t version_ = 1;
  int step_ = 0;
  int sampled_ = 0;
  int stopped_ = -1;
  bool measuring_ = false;
  Stopwatch watch_;
  Stopwatch roles_watch_;
  double messages_ = 0;
  double bytes_ = 0;
  double heap_bytes_ = 0;
};

}  // namespace

Table MeasureMembership(bool quick) {
  Table table{"membership",
              {"hosts", "new version every s", "messages/s in+out",
               "bytes/s in+out", "% core probes+JSON", "% core roles",
               "heap bytes/host", "s until half know a death", "95 in 100",
               "all", "s until all heard of a version"},
              {}};
  std::vector<int> sizes = {10, 50, 100, 350};
  if (quick) sizes.pop_back();
  for (int hosts : sizes) {
    Network network(hosts);
    table.rows.push_back(network.Measure(/*versions=*/false));
    table.rows.push_back(network.Measure(/*versions=*/true));
  }
  return table;
}

}  // namespace gentianlb::bench
