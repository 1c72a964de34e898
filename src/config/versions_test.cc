#include <boost/test/unit_test.hpp>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "config/follow.h"
#include "config/service.h"
#include "config/snapshot_writer.h"
#include "settings/document.h"

namespace gentianlb::config {
namespace {

using store::CommitResult;
using store::CommitState;
using store::ReadResult;

absl::Time At(double seconds) {
  return absl::UnixEpoch() + absl::Seconds(1000000 + seconds);
}

// The table service in memory. Calls are carried out one by one by Run(), so
// that a test decides what comes between them.
class FakeTable {
 public:
  void Commit(store::Transaction transaction,
              std::function<void(CommitResult)> done) {
    queue_.push_back([this, transaction, done] { Carry(transaction, done); });
  }
  void Read(std::vector<std::string> keys,
            std::function<void(ReadResult)> done) {
    queue_.push_back([this, keys, done] {
      if (down) return done(Error{Code::kPlatformUnavailable, "down"});
      std::vector<store::Row> found;
      for (const std::string& key : std::set(keys.begin(), keys.end())) {
        auto row = rows.find(key);
        if (row != rows.end() && !hidden.contains(key)) {
          found.push_back(row->second);
        }
      }
      done(found);
    });
  }
  void Scan(std::string prefix, std::function<void(ReadResult)> done) {
    std::vector<std::string> keys;
    for (const auto& [key, row] : rows) {
      if (key.starts_with(prefix)) keys.push_back(key);
    }
    Read(keys, done);
  }

  void Run(int calls = 10000) {
    for (; calls > 0 && !queue_.empty(); --calls) {
      auto call = std::move(queue_.front());
      queue_.pop_front();
      call();
    }
  }

  std::map<std::string, store::Row> rows;
  std::set<std::string> hidden;  // As if not written yet.
  bool down = false;
  int lose_answers = 0;   // Of commits that take effect.
  int refuse_after = -1;  // Commits after so many are refused for sure.
  int largest = 0;        // Bytes of the largest transaction.

 private:
  void Carry(const store::Transaction& transaction,
             const std::function<void(CommitResult)>& done) {
    if (down || refuse_after == 0) {
      return done({CommitState::kNotApplied, {}, {}});
    }
    if (refuse_after > 0) --refuse_after;
    auto known = answers_.find(transaction.token);
    if (known == answers_.end()) {
      known = answers_.emplace(transaction.token, Apply(transaction)).first;
    }
    bool lost = lose_answers > 0;
    if (lost) --lose_answers;
    done(lost ? CommitResult{} : known->second);
  }

  CommitResult Apply(const store::Transaction& transaction) {
    int bytes = 0;
    for (const store::Condition& condition : transaction.conditions) {
      auto row = rows.find(condition.key);
      std::uint64_t version = row == rows.end() ? 0 : row->second.version;
      if (version != condition.version) {
        return {CommitState::kConflict, {condition.key}, {}};
      }
    }
    for (const store::Write& write : transaction.writes) {
      if (!write.value) rows.erase(write.key);
      if (!write.value) continue;
      bytes += static_cast<int>(write.key.size() + write.value->size());
      store::Row& row = rows[write.key];
      row = {write.key, *write.value, row.version + 1};
    }
    largest = std::max(largest, bytes);
    return {CommitState::kCommitted, {}, {}};
  }

  std::deque<std::function<void()>> queue_;
  std::map<std::string, CommitResult> answers_;
};

// Peers that answer from the followers of a test.
struct FakePeers {
  using RowSource =
      std::function<std::vector<store::Row>(std::vector<std::string>)>;
  std::map<EntryHostId, RowSource> sources;
  std::vector<Version> announced;

  void ReadRows(EntryHostId peer, std::vector<std::string> keys,
                std::function<void(ReadResult)> done) {
    auto source = sources.find(peer);
    if (source == sources.end()) {
      return done(Error{Code::kPeerUnreachable, "cut off"});
    }
    done(source->second(keys));
  }
  void Announce(Version version) { announced.push_back(version); }
  std::vector<EntryHostId> Candidates() {
    std::vector<EntryHostId> ids;
    for (const auto& [id, source] : sources) ids.push_back(id);
    return ids;
  }
};

using TestFollower = Follower<FakeTable, FakePeers>;

std::string IntentText(double weight, double cap_kilowatts = 5.8) {
  std::ifstream file(GENTIANLB_SOURCE_DIR "/etc/association/intent.ini");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  std::size_t at = text.find("weight = 4\nmax_waiting");
  text.replace(at, 10, absl::StrCat("weight = ", weight));
  at = text.find("power_cap = 5.8kW");
  return text.replace(at, 17,
                      absl::StrCat("power_cap = ", cap_kilowatts, "kW"));
}

// One entry host: its follower, and the operators' interface on it.
struct Host {
  Host(std::string name, FakeTable& table_of, FakePeers& peers_of)
      : table(table_of),
        follower({EntryHostId(name)}, table_of, peers_of, [](InForcePtr) {}),
        service(
            table_of, [this] { return follower.current(); },
            [] { return PlanState(); }) {}

  // Long enough for a poll.
  void Follow(double seconds) {
    follower.Tick(At(seconds));
    table.Run();
  }

  std::string Plan(double weight, double seconds, double cap = 5.8) {
    Json::Value params;
    params["intent"] = IntentText(weight, cap);
    params["who"] = "lina";
    auto answer = Ask("plan", params, seconds);
    BOOST_REQUIRE(answer.ok());
    return answer.value()["plan"]["id"].asString();
  }

  Outcome<Json::Value> Confirm(const std::string& plan, const std::string& who,
                               double seconds) {
    Json::Value params;
    params["plan"] = plan;
    params["who"] = who;
    return Ask("confirm", params, seconds);
  }

  Outcome<Json::Value> Ask(std::string_view method, const Json::Value& params,
                           double seconds) {
    Outcome<Json::Value> answer = Error{Code::kInternal, "no answer"};
    service.Handle(method, params, At(seconds),
                   [&](Outcome<Json::Value> got) { answer = std::move(got); });
    table.Run();
    return answer;
  }

  FakeTable& table;
  TestFollower follower;
  Service<FakeTable> service;
};

struct Site {
  FakeTable table;
  FakePeers peers;
  Host a{"abdali-1", table, peers};
  Host b{"sahab-1", table, peers};

  // Version 1 in force on both hosts.
  Site() {
    BOOST_REQUIRE(a.Confirm(a.Plan(4, 0), "lina", 1).ok());
    FollowBoth(10);
  }
  void FollowBoth(double seconds) {
    a.Follow(seconds);
    b.Follow(seconds);
  }
};

BOOST_AUTO_TEST_CASE(AConfirmedPlanComesIntoForceOnEveryHost) {
  Site site;
  BOOST_TEST(site.a.follower.current_version() == 1);
  BOOST_TEST((*site.a.follower.current() == *site.b.follower.current()));
  BOOST_TEST(site.b.follower.ready());
  auto intent = ParseIntent("i", IntentText(4));
  Configuration in_force = site.b.follower.current()->configuration;
  in_force.version = 0;
  BOOST_TEST((in_force == intent.value()));
}

// Two operators plan on the same version and confirm within the same second.
// Without the condition the later confirm would undo the earlier, and its
// operator would see his change vanish.
BOOST_AUTO_TEST_CASE(OfTwoRacingConfirmsOneWinsAndTheOtherLearnsOfIt) {
  Site site;
  std::string first = site.a.Plan(5, 11);
  std::string second = site.b.Plan(6, 11);
  Json::Value params;
  std::vector<Outcome<Json::Value>> answers;
  auto take = [&](Outcome<Json::Value> got) { answers.push_back(got); };
  params["plan"] = first;
  params["who"] = "lina";
  site.a.service.Handle("confirm", params, At(12), take);
  params["plan"] = second;
  params["who"] = "omar";
  site.b.service.Handle("confirm", params, At(12), take);
  // The calls of both take turns, so that both have read the same head.
  site.table.Run();
  BOOST_REQUIRE(answers.size() == 2u);
  BOOST_TEST(answers[0].ok());
  BOOST_REQUIRE(!answers[1].ok());
  const Error& error = answers[1].error();
  BOOST_TEST((error.code == Code::kPlanConflict));
  BOOST_TEST(error.detail.find("version 2 was confirmed first by lina") !=
             std::string::npos);
  BOOST_TEST(error.detail.find(first) != std::string::npos);
}

// The platform writes the change and then loses its answer, every time. An
// operator who takes the change for failed would make it again on top.
BOOST_AUTO_TEST_CASE(AConfirmWhoseAnswerWasLostTellsTheTruthWhenAskedAgain) {
  Site site;
  std::string plan = site.a.Plan(5, 11);
  site.table.lose_answers = 100;
  auto lost = site.a.Confirm(plan, "lina", 12);
  BOOST_TEST(lost.ok());  // Found in the history row.
  site.table.lose_answers = 0;
  // Asked again at another host, long after the plan has expired.
  auto again = site.b.Confirm(plan, "lina", 5000);
  BOOST_REQUIRE(again.ok());
  BOOST_TEST(again.value()["entry"]["version"].asInt64() == 2);
  BOOST_TEST(again.value()["entry"]["when_us"].asInt64() ==
             absl::ToUnixMicros(At(12)));
  // Another operator with the same plan did not confirm it.
  auto other = site.b.Confirm(plan, "omar", 13);
  BOOST_TEST((other.error().code == Code::kPlanConflict));
}

// The answer is lost and the platform then refuses everything, so that nothing
// can be read back. "Not applied" would be a lie: the change is in force.
BOOST_AUTO_TEST_CASE(AnOutageAfterALostAnswerLeavesItUnknown) {
  Site site;
  std::string plan = site.a.Plan(5, 11);
  Json::Value params;
  params["plan"] = plan;
  params["who"] = "lina";
  Outcome<Json::Value> answer = Error{};
  site.a.service.Handle("confirm", params, At(12),
                        [&](Outcome<Json::Value> got) { answer = got; });
  site.table.lose_answers = 1;
  site.table.refuse_after = 1;
  site.table.Run(4);  // Plan, its chunk, the state, and the commit.
  site.table.down = true;
  site.table.Run();
  BOOST_TEST((answer.error().code == Code::kPlatformUnknown));
  site.table.down = false;
  site.table.refuse_after = -1;
  BOOST_TEST(site.a.Confirm(plan, "lina", 13).ok());
}

// A host reads while the rows of the next version are only partly there, or one
// is damaged. Taken as it is, some workspaces would be unknown for a while and
// their requests refused.
BOOST_AUTO_TEST_CASE(AHalfReadOrCorruptVersionIsRefusedWhole) {
  Site site;
  InForcePtr old = site.b.follower.current();
  BOOST_REQUIRE(site.a.Confirm(site.a.Plan(5, 11), "lina", 12).ok());
  std::string shard;
  for (const auto& [key, row] : site.table.rows) {
    bool fresh =
        key.starts_with(kShardPrefix) && !old->snapshot.rows.count(key);
    if (fresh) shard = key;
  }
  site.table.hidden.insert(shard);
  site.b.Follow(20);
  BOOST_TEST((site.b.follower.current() == old));
  site.table.hidden.clear();
  std::string good = site.table.rows[shard].value;
  site.table.rows[shard].value[5] ^= 1;
  site.b.Follow(30);
  BOOST_TEST((site.b.follower.current() == old));
  BOOST_TEST(site.b.follower.counters().refused == 2u);
  site.table.rows[shard].value = good;
  site.b.Follow(40);
  BOOST_TEST(site.b.follower.current_version() == 2);
}

// The table is restored from an old copy. A host that went back with it would
// serve by a configuration that operators had replaced; nor may a confirm make
// a second version 2.
BOOST_AUTO_TEST_CASE(NoHostGoesBackToALowerVersion) {
  Site site;
  auto copy = site.table.rows;
  std::string plan = site.a.Plan(5, 11);
  BOOST_REQUIRE(site.a.Confirm(plan, "lina", 12).ok());
  site.FollowBoth(20);
  site.table.rows = copy;
  site.FollowBoth(30);
  BOOST_TEST(site.a.follower.current_version() == 2);
  BOOST_TEST(site.a.follower.counters().went_back == 1u);
  auto refused = site.a.Confirm(site.a.Plan(6, 31), "omar", 32);
  BOOST_TEST((refused.error().code == Code::kPlatformConflict));
}

// A host is restarted in an outage. By itself it knows nothing; it must not
// take requests before a peer has given it what is in force.
BOOST_AUTO_TEST_CASE(ARestartedHostInAnOutageLearnsFromAPeerOrIsNotReady) {
  Site site;
  site.table.down = true;
  Host restarted("marka-1", site.table, site.peers);
  restarted.Follow(20);
  BOOST_TEST(!restarted.follower.ready());
  site.peers.sources[EntryHostId("sahab-1")] =
      [&](std::vector<std::string> keys) {
        return site.b.follower.RowsFor(keys);
      };
  restarted.Follow(30);
  BOOST_TEST(restarted.follower.ready());
  BOOST_TEST((*restarted.follower.current() == *site.b.follower.current()));
  BOOST_TEST(restarted.follower.counters().from_peers == 1u);
}

// A peer knows version 2, the restarted host reaches only a table that was set
// back to version 1. Serving by it would undo what operators confirmed.
BOOST_AUTO_TEST_CASE(ARestartedHostThatHeardOfMoreWaitsForIt) {
  Site site;
  Host restarted("marka-1", site.table, site.peers);
  restarted.follower.OnNews(2, EntryHostId("sahab-1"), At(19));
  restarted.Follow(20);
  BOOST_TEST(restarted.follower.current_version() == 1);
  BOOST_TEST(!restarted.follower.ready());
  BOOST_REQUIRE(site.a.Confirm(site.a.Plan(5, 21), "lina", 22).ok());
  restarted.Follow(30);
  BOOST_TEST(restarted.follower.ready());
}

// News of a version must bring it at once, not after a period; and hosts that
// hear together must not read together.
BOOST_AUTO_TEST_CASE(NewsBringsTheNextReadForward) {
  Site site;
  site.b.Follow(20);
  absl::Time before = site.b.follower.NextDue();
  site.b.follower.OnNews(2, EntryHostId("abdali-1"), At(20));
  BOOST_TEST((site.b.follower.NextDue() < before));
  BOOST_TEST((site.b.follower.NextDue() <= At(20.5)));
  FollowOptions one{EntryHostId("a")};
  FollowOptions other{EntryHostId("b")};
  BOOST_TEST((NewsDelay(one) != NewsDelay(other)));
}

// The platform takes a read and never answers. A follower that waited for ever
// would keep its version for ever.
BOOST_AUTO_TEST_CASE(AReadWithoutAnAnswerIsGivenUp) {
  Site site;
  site.b.follower.Tick(At(20));  // Not carried out by the table.
  BOOST_REQUIRE(site.a.Confirm(site.a.Plan(5, 21), "lina", 22).ok());
  site.b.follower.Tick(At(26));
  site.b.Follow(30);
  BOOST_TEST(site.b.follower.current_version() == 2);
}

// Old rows that nobody deletes would fill the table in a year of 5,800 changes
// a day; rows that are deleted too early would break whoever still reads them.
BOOST_AUTO_TEST_CASE(OldVersionsGoAndKeptOnesStayReadable) {
  Site site;
  for (int i = 0; i < 60; ++i) {
    double now = 100 + 20 * i;
    // The weight comes back for good after one change, so that a dropped shard
    // is used again and long after the version that dropped it is forgotten.
    std::string plan = site.a.Plan(i == 1 ? 6 : 5, now, 6 + i * 0.01);
    BOOST_REQUIRE(site.a.Confirm(plan, "lina", now).ok());
    site.FollowBoth(now + 10);
  }
  BOOST_TEST(site.a.follower.current_version() == 61);
  Host fresh("marka-1", site.table, site.peers);
  fresh.Follow(1990);
  BOOST_TEST((*fresh.follower.current() == *site.a.follower.current()));
  Json::Value params;
  params["version"] = 45;
  auto kept = site.a.Ask("show", params, 2000);
  BOOST_REQUIRE(kept.ok());
  BOOST_TEST(kept.value()["parts"]["workspace"].size() == 5u);
  BOOST_TEST(kept.value()["text"].asString().find("REPLACE-ME") ==
             std::string::npos);
  params["version"] = 7777;
  BOOST_TEST(!site.a.Ask("show", params, 2000).ok());
  int plans = 0;
  int shards = 0;
  for (const auto& [key, row] : site.table.rows) {
    plans += key.starts_with(kPlanPrefix) ? 1 : 0;
    shards += key.starts_with(kShardPrefix) ? 1 : 0;
  }
  BOOST_TEST(plans == 0);
  // One a version for the site, and those of the parts that stay.
  BOOST_TEST(shards == 26);
}

BOOST_AUTO_TEST_CASE(AnAbandonedOrExpiredPlanCannotBeConfirmed) {
  Site site;
  std::string plan = site.a.Plan(5, 11);
  Json::Value params;
  params["plan"] = plan;
  BOOST_TEST(site.a.Ask("abandon", params, 12).ok());
  auto gone = site.a.Confirm(plan, "lina", 13);
  BOOST_TEST((gone.error().code == Code::kUnknownPlan));
  // Planned again it has the same id, and expires.
  BOOST_TEST(site.a.Plan(5, 14) == plan);
  auto late = site.a.Confirm(plan, "lina", 14 + 16 * 60);
  BOOST_TEST((late.error().code == Code::kUnknownPlan));
}

// Many hosts on a virtual clock; news reaches three others after a millisecond.
struct Fabric {
  struct Peers : FakePeers {
    Fabric* fabric = nullptr;
    EntryHostId self;
    void Announce(Version version) { fabric->Tell(self, version); }
  };
  using Member = Follower<FakeTable, Peers>;

  Fabric(int hosts, double period_seconds, int cut_off) {
    out.down = true;
    for (int i = 0; i < hosts; ++i) {
      EntryHostId id(absl::StrCat("host-", i));
      peers.push_back(std::make_unique<Peers>());
      peers.back()->fabric = this;
      peers.back()->self = id;
      FollowOptions options{id, absl::Seconds(period_seconds)};
      FakeTable& own = i < cut_off ? out : table;
      members.push_back(std::make_unique<Member>(options, own, *peers.back(),
                                                 [](InForcePtr) {}));
    }
    for (auto& one : peers) {
      for (int i = 0; i < hosts; ++i) {
        Member* source = members[i].get();
        one->sources[EntryHostId(absl::StrCat("host-", i))] =
            [source](const std::vector<std::string>& keys) {
              return source->RowsFor(keys);
            };
      }
    }
  }

  void Tell(const EntryHostId& from, Version version) {
    for (int i = 0; i < 3; ++i) {
      news.push_back({rng() % members.size(), from, version});
    }
  }

  // Goes on until all have `version`; the seconds that it took.
  double RunUntil(Version version) {
    double start = now;
    for (; now < start + 60; now += 0.01) {
      auto arrived = std::exchange(news, {});
      for (auto& [to, from, told] : arrived) {
        members[to]->OnNews(told, from, At(now));
      }
      bool all = true;
      for (auto& member : members) {
        member->Tick(At(now));
        table.Run();
        out.Run();
        all = all && member->current_version() >= version;
      }
      if (all) break;
    }
    return now - start;
  }

  FakeTable table;
  FakeTable out;  // What the cut-off hosts see.
  std::vector<std::unique_ptr<Peers>> peers;
  std::vector<std::unique_ptr<Member>> members;
  std::vector<std::tuple<std::size_t, EntryHostId, Version>> news;
  std::minstd_rand rng{7};
  double now = 0;
};

// The seconds from a confirm to the last host, on the virtual clock.
double SpreadTime(int hosts, double period_seconds, int cut_off) {
  Fabric fabric(hosts, period_seconds, cut_off);
  FakePeers peers;
  Host host("operator", fabric.table, peers);
  BOOST_REQUIRE(host.Confirm(host.Plan(4, 0), "lina", 0).ok());
  fabric.RunUntil(1);
  host.Follow(100);
  BOOST_REQUIRE(host.Confirm(host.Plan(5, 101), "lina", 102).ok());
  return fabric.RunUntil(2);
}

// A change is confirmed, and hosts that still run the old version take requests
// by limits that operators have replaced. Each host polls alone at its own
// pace; those cut off from the platform hear of it from peers only.
BOOST_AUTO_TEST_CASE(AChangeIsInForceEverywhereWithinSeconds) {
  double today = SpreadTime(8, 2, 0);
  double today_cut_off = SpreadTime(8, 2, 4);
  double fleet = SpreadTime(350, 10, 0);
  double fleet_cut_off = SpreadTime(350, 10, 100);
  BOOST_TEST_MESSAGE("8 hosts " << today << " s, 4 cut off " << today_cut_off
                                << " s; 350 hosts " << fleet
                                << " s, 100 cut off " << fleet_cut_off << " s");
  BOOST_TEST(today < 3);
  BOOST_TEST(today_cut_off < 3);
  BOOST_TEST(fleet < 17);
  BOOST_TEST(fleet_cut_off < 17);
}

Configuration Fleet(int workspaces) {
  Configuration c = ParseIntent("i", IntentText(4)).value();
  WorkspaceConfig pattern = c.workspaces[0];
  c.workspaces.clear();
  for (int i = 0; i < workspaces; ++i) {
    pattern.limits.id = WorkspaceId(absl::StrFormat("workspace-%05d", i));
    pattern.token = absl::StrFormat("token-of-workspace-%05d-%016x", i, i * 97);
    c.workspaces.push_back(pattern);
  }
  c.version = 1;
  return c;
}

// 47,000 workspaces do not fit into one transaction. Cut in the middle, a first
// confirm must leave nothing in force; and a change of one workspace must not
// cost the writing and reading of all.
BOOST_AUTO_TEST_CASE(ABigConfigurationIsStagedAndASmallChangeStaysSmall) {
  Configuration fleet = Fleet(47000);
  PlanState state;
  state.now = At(0);
  InForcePtr none = std::make_shared<const InForce>();
  Plan plan = MakePlan(state, fleet);
  ConfirmRequest request{"lina", At(1), "token-1"};
  auto first = MakeNextVersion(*none, ToStored(plan, "lina"), request, {});
  BOOST_REQUIRE(first.ok());
  BOOST_TEST(!first.value().staged.empty());
  for (const auto& t : CutWrites(first.value().staged, "t")) {
    std::size_t bytes = 0;
    for (const auto& write : t.writes) bytes += write.value->size();
    BOOST_TEST(bytes <= kMaxTransactionBytes);
    BOOST_TEST(t.writes.size() <= kMaxTransactionRows);
  }
  auto base = std::make_shared<InForce>();
  base->configuration = fleet;
  base->snapshot = EncodeSnapshot(fleet);
  Configuration changed = fleet;
  changed.workspaces[20000].limits.weight = 9;
  state.in_force = fleet;
  StoredPlan small = ToStored(MakePlan(state, changed), "lina");
  auto next = MakeNextVersion(*base, small, request, {});
  BOOST_REQUIRE(next.ok());
  BOOST_TEST(next.value().staged.empty());
  // Its shard and the index.
  BOOST_TEST(next.value().entry.added.size() == 2u);
  // What was taken from the base is what would have been written.
  changed.workspaces.erase(changed.workspaces.begin() + 30000);
  changed.tiers.pop_back();
  BOOST_TEST((EncodeSnapshot(changed, *base) == EncodeSnapshot(changed)));
  std::size_t snapshot_bytes = 0;
  std::size_t largest = 0;
  for (const auto& [key, text] : base->snapshot.rows) {
    snapshot_bytes += key.size() + text.size();
    largest = std::max(largest, text.size());
  }
  std::size_t change_bytes = 0;
  for (const auto& write : next.value().final) {
    change_bytes += write.key.size() + (write.value ? write.value->size() : 0);
  }
  BOOST_TEST_MESSAGE("snapshot rows " << base->snapshot.rows.size() << " bytes "
                                      << snapshot_bytes << " largest row "
                                      << largest << " change bytes "
                                      << change_bytes);
  BOOST_TEST(change_bytes < snapshot_bytes / 20);
  auto back = Assembler().Assemble(1, base->snapshot);
  BOOST_REQUIRE(back.ok());
  BOOST_TEST((back.value() == fleet));
}

}  // namespace
}  // namespace gentianlb::config
