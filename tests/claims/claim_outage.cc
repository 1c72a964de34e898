// Prints what each class of keyed request gets before, during and after an
// hour's outage, by fault. Runs the real ClaimTable of eight entry hosts in
// four zones over a table and peers in memory, on a virtual clock.

#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "claim/claim_table.h"
#include "store/fallback_table.h"

namespace gentianlb::claim {
namespace {

constexpr int kHosts = 8;
constexpr int kZones = 4;
constexpr absl::Duration kWarmUp = absl::Minutes(15);
constexpr absl::Duration kOutage = absl::Minutes(60);
constexpr absl::Duration kRecovery = absl::Minutes(5);
constexpr absl::Duration kBetweenRequests = absl::Milliseconds(100);
constexpr absl::Duration kPatience = absl::Seconds(10);  // Then it's abandoned.
constexpr absl::Duration kRunTime = absl::Seconds(2);
constexpr absl::Duration kResendAfter = absl::Seconds(5);
constexpr double kResends = 0.05;  // Part of the requests that are sent twice.

enum class Class { kMarked, kUnmarked, kNonIdempotent };
enum class Period { kBefore, kDuring, kAfter };

struct Fault {
  const char* name;
  bool all_lose_table = false;
  bool zone_loses_table = false;  // Zone 0.
  bool zone_loses_peers = false;
  bool host_dies = false;  // Host 7, ten minutes into the outage.
  bool relayed = false;    // Peers pass on what a host can't reach.
};

struct Count {
  int sent = 0;
  int served = 0;  // Run, attached or resumed.
};

// Delivers closures in order of time.
class Agenda {
 public:
  absl::Time now() const { return now_; }
  void At(absl::Time when, std::function<void()> closure) {
    closures_.emplace(when, std::move(closure));
  }
  void Soon(std::function<void()> closure) {
    At(now_ + absl::Milliseconds(2), std::move(closure));
  }
  void RunUntil(absl::Time end) {
    while (!closures_.empty() && closures_.begin()->first <= end) {
      auto node = closures_.extract(closures_.begin());
      now_ = node.key();
      node.mapped()();
    }
    now_ = end;
  }

 private:
  absl::Time now_ = absl::FromUnixSeconds(1'000'000);
  std::multimap<absl::Time, std::function<void()>> closures_;
};

// The platform's table, as one host sees it.
class FakeTable {
 public:
  using Rows = std::map<std::string, store::Row>;
  FakeTable(Agenda* agenda, Rows* rows) : agenda_(agenda), rows_(rows) {}

  void SetReachable(bool reachable) { reachable_ = reachable; }

  void Commit(store::Transaction transaction,
              std::function<void(store::CommitResult)> done) {
    agenda_->Soon([this, transaction = std::move(transaction),
                   done = std::move(done)] { done(Apply(transaction)); });
  }
  void Read(std::vector<std::string> keys,
            std::function<void(store::ReadResult)> done) {
    agenda_->Soon([this, keys = std::move(keys), done = std::move(done)] {
      if (!reachable_) return done(Error{Code::kPlatformUnavailable, ""});
      std::vector<store::Row> found;
      for (const std::string& key : keys) {
        if (rows_->contains(key)) found.push_back((*rows_)[key]);
      }
      done(std::move(found));
    });
  }
  void Scan(std::string prefix, std::function<void(store::ReadResult)> done) {
    agenda_->Soon([this, prefix = std::move(prefix), done = std::move(done)] {
      if (!reachable_) return done(Error{Code::kPlatformUnavailable, ""});
      std::vector<store::Row> found;
      for (auto row = rows_->lower_bound(prefix);
           row != rows_->end() && row->first.starts_with(prefix); ++row) {
        found.push_back(row->second);
      }
      done(std::move(found));
    });
  }

 private:
  store::CommitResult Apply(const store::Transaction& transaction) {
    using store::CommitState;
    if (!reachable_) return {CommitState::kNotApplied, {}, {}};
    for (const store::Condition& condition : transaction.conditions) {
      auto row = rows_->find(condition.key);
      auto version = row == rows_->end() ? 0 : row->second.version;
      if (version != condition.version) {
        return {CommitState::kConflict, {condition.key}, {}};
      }
    }
    store::CommitResult result{CommitState::kCommitted, {}, {}};
    for (const store::Write& write : transaction.writes) {
      if (!write.value) {
        rows_->erase(write.key);
        continue;
      }
      store::Row& row = (*rows_)[write.key];
      row = {write.key, *write.value, row.version + 1};
      result.versions.push_back({write.key, "", row.version});
    }
    return result;
  }

  Agenda* agenda_;
  Rows* rows_;
  bool reachable_ = true;
};

struct Site;

struct FakePeers {
  Site* site;
  int self;
  void Query(const EntryHostId& peer, const PeerQuery& query,
             std::function<void(std::optional<PeerAnswer>)> done);
};

// The table through a host of another zone.
struct PeerTable {
  Site* site;
  int self;
  FakeTable* Carrier();
  void Commit(store::Transaction transaction,
              std::function<void(store::CommitResult)> done) {
    FakeTable* carrier = Carrier();
    if (carrier == nullptr) {
      return done({store::CommitState::kNotApplied, {}, {}});
    }
    carrier->Commit(std::move(transaction), std::move(done));
  }
  void Read(std::vector<std::string> keys,
            std::function<void(store::ReadResult)> done) {
    FakeTable* carrier = Carrier();
    if (carrier == nullptr) return done(Error{Code::kPeerUnreachable, ""});
    carrier->Read(std::move(keys), std::move(done));
  }
  void Scan(std::string prefix, std::function<void(store::ReadResult)> done) {
    FakeTable* carrier = Carrier();
    if (carrier == nullptr) return done(Error{Code::kPeerUnreachable, ""});
    carrier->Scan(std::move(prefix), std::move(done));
  }
};

using Table = store::FallbackTable<FakeTable, PeerTable>;
using Claims = ClaimTable<Table, FakePeers, std::function<absl::Time()>>;

struct Host {
  std::unique_ptr<FakeTable> table;
  std::unique_ptr<PeerTable> peer_table;
  std::unique_ptr<Table> either_table;
  std::unique_ptr<FakePeers> peers;
  std::unique_ptr<Claims> claims;
  bool dead = false;
};

EntryHostId Name(int host) { return EntryHostId(std::to_string(host)); }
int ZoneOf(int host) { return host % kZones; }

struct Site {
  Agenda agenda;
  FakeTable::Rows rows;
  std::vector<Host> hosts = std::vector<Host>(kHosts);
  bool zone_alone = false;
  bool relayed = false;
  std::map<std::string, int> executions;
  int doubles = 0;
  std::map<std::pair<Period, Class>, Count> counts;
  std::map<std::pair<Period, Class>, Count> cut_zone;
  Period period = Period::kBefore;
  std::mt19937_64 random{11};
  int next_key = 0;

  Site() {
    for (int h = 0; h < kHosts; ++h) {
      Host& host = hosts[static_cast<std::size_t>(h)];
      host.table = std::make_unique<FakeTable>(&agenda, &rows);
      host.peer_table = std::make_unique<PeerTable>(PeerTable{this, h});
      host.either_table =
          std::make_unique<Table>(host.table.get(), host.peer_table.get());
      host.peers = std::make_unique<FakePeers>(FakePeers{this, h});
      ClaimOptions options;
      options.self = Name(h);
      options.incarnation = 1;
      host.claims = std::make_unique<Claims>(options, host.either_table.get(),
                                             host.peers.get(),
                                             [this] { return agenda.now(); });
      std::vector<EntryHostId> others;
      for (int o = 0; o < kHosts; ++o) {
        if (o != h) others.push_back(Name(o));
      }
      host.claims->SetPeers(others);
      Tick(h);
    }
  }

  Host& At(int host) { return hosts[static_cast<std::size_t>(host)]; }

  bool Linked(int a, int b) {
    if (At(a).dead || At(b).dead) return false;
    return !zone_alone || (ZoneOf(a) == 0) == (ZoneOf(b) == 0);
  }

  void Tick(int h) {
    if (At(h).dead) return;
    At(h).claims->OnTimer();
    agenda.At(std::max(At(h).claims->NextWakeup(),
                       agenda.now() + absl::Milliseconds(100)),
              [this, h] { Tick(h); });
  }

  int AnyHost() {
    int host = static_cast<int>(random() % kHosts);
    return At(host).dead ? AnyHost() : host;
  }

  void NewRequest() {
    auto kind = static_cast<Class>(next_key % 3);
    std::string key = std::to_string(next_key++);
    Send(key, kind, 1);
    std::uniform_real_distribution<double> draw(0, 1);
    if (draw(random) < kResends) {
      agenda.At(agenda.now() + kResendAfter,
                [this, key, kind] { Send(key, kind, 2); });
    }
    agenda.At(agenda.now() + kBetweenRequests, [this] { NewRequest(); });
  }

  void Send(const std::string& key, Class kind, int attempt) {
    int h = AnyHost();
    Count& count = counts[{period, kind}];
    Count* local = ZoneOf(h) == 0 ? &cut_zone[{period, kind}] : nullptr;
    ++count.sent;
    if (local != nullptr) ++local->sent;
    ClaimRequest request;
    request.key = ClaimKey(key);
    request.idempotent = kind != Class::kNonIdempotent;
    request.attempt = kind == Class::kUnmarked ? 0 : attempt;
    auto answered = std::make_shared<bool>(false);
    ClaimId id = At(h).claims->Open(
        request, [this, h, key, &count, local, answered](
                     ClaimId claim, const ClaimVerdict& verdict) {
          *answered = true;
          if (std::holds_alternative<Refuse>(verdict)) return;
          ++count.served;
          if (local != nullptr) ++local->served;
          if (std::holds_alternative<Proceed>(verdict)) Run(h, claim, key);
          if (std::holds_alternative<Attach>(verdict)) {
            agenda.Soon([this, h, claim] { At(h).claims->Abandon(claim); });
          }
        });
    agenda.At(agenda.now() + kPatience, [this, h, id, answered] {
      if (!*answered) At(h).claims->Abandon(id);
    });
  }

  void Run(int h, ClaimId claim, const std::string& key) {
    At(h).claims->RequestDispatch(
        claim, ServerId("s"),
        [this, h, claim, key](const std::optional<Refuse>& refusal) {
          if (refusal) return;
          if (++executions[key] > 1) ++doubles;
          agenda.At(agenda.now() + kRunTime, [this, h, claim] {
            At(h).claims->FinishDispatch(claim, true);
          });
        });
  }

  void SetFault(const Fault& fault, bool on) {
    zone_alone = on && fault.zone_loses_peers;
    relayed = fault.relayed;
    for (int h = 0; h < kHosts; ++h) {
      bool cut =
          fault.all_lose_table || (fault.zone_loses_table && ZoneOf(h) == 0);
      At(h).table->SetReachable(!(on && cut));
    }
  }
};

FakeTable* PeerTable::Carrier() {
  int other = (self + 1) % kHosts;
  bool reachable = site->relayed && site->Linked(self, other);
  return reachable ? site->At(other).table.get() : nullptr;
}

void FakePeers::Query(const EntryHostId& peer, const PeerQuery& query,
                      std::function<void(std::optional<PeerAnswer>)> done) {
  int to = std::stoi(peer.str());
  site->agenda.Soon([this, to, query, done = std::move(done)] {
    if (!site->Linked(self, to)) return done(std::nullopt);
    done(site->At(to).claims->HandleQuery(query));
  });
}

double Percent(const Count& count) {
  return count.sent == 0 ? 0 : 100.0 * count.served / count.sent;
}

void PrintRow(const Fault& fault, Site& site, Class kind, const char* name) {
  std::printf("| %s | %s | %.1f | %.1f | %.1f | %.1f |\n", fault.name, name,
              Percent(site.counts[{Period::kBefore, kind}]),
              Percent(site.counts[{Period::kDuring, kind}]),
              Percent(site.cut_zone[{Period::kDuring, kind}]),
              Percent(site.counts[{Period::kAfter, kind}]));
}

void Measure(const Fault& fault) {
  Site site;
  absl::Time start = site.agenda.now();
  site.agenda.At(start + absl::Seconds(1), [&] { site.NewRequest(); });
  site.agenda.RunUntil(start + kWarmUp);
  site.period = Period::kDuring;
  site.SetFault(fault, true);
  site.agenda.RunUntil(start + kWarmUp + absl::Minutes(10));
  if (fault.host_dies) site.At(kHosts - 1).dead = true;
  site.agenda.RunUntil(start + kWarmUp + kOutage);
  site.period = Period::kAfter;
  site.SetFault(fault, false);
  site.agenda.RunUntil(start + kWarmUp + kOutage + kRecovery);
  PrintRow(fault, site, Class::kMarked, "repeatable, sendings marked");
  PrintRow(fault, site, Class::kUnmarked, "repeatable, unmarked");
  PrintRow(fault, site, Class::kNonIdempotent, "non-idempotent, marked");
  if (site.doubles > 0) std::printf("DOUBLE EXECUTIONS: %d\n", site.doubles);
}

}  // namespace
}  // namespace gentianlb::claim

int main() {
  std::puts(
      "| fault of an hour | class | served before % | during % | in the cut "
      "zone % | after % |");
  std::puts("| --- | --- | --- | --- | --- | --- |");
  using gentianlb::claim::Measure;
  Measure({"none"});
  Measure({.name = "platform out for all", .all_lose_table = true});
  Measure({.name = "platform out, one host dies",
           .all_lose_table = true,
           .host_dies = true});
  Measure({.name = "one host dies", .host_dies = true});
  Measure({.name = "zone cut from the platform", .zone_loses_table = true});
  Measure({.name = "zone cut from the platform, relayed",
           .zone_loses_table = true,
           .relayed = true});
  Measure({.name = "zone cut from the zones", .zone_loses_peers = true});
  Measure({.name = "zone cut from both",
           .zone_loses_table = true,
           .zone_loses_peers = true});
  Measure({.name = "platform out, zone cut",
           .all_lose_table = true,
           .zone_loses_peers = true});
  return 0;
}
