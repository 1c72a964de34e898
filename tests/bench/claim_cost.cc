// The real claim machine against a table in memory that answers at once: what a
// keyed request writes, and what a host's lease costs each second beside that.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "claim/claim_machine.h"
#include "config/codec.h"
#include "costs.h"
#include "meter.h"
#include "store/rate_share.h"
#include "store/transaction_group.h"
#include "store/wire.h"

namespace gentianlb::bench {
namespace {

using claim::Action;
using claim::ClaimMachine;

// One host, its table and the lease rows of `hosts` in all.
class Host {
 public:
  explicit Host(int hosts) : machine_(Options(), now_) {
    std::vector<EntryHostId> peers;
    for (int i = 1; i < hosts; ++i) {
      EntryHostId peer(absl::StrCat("entry-", 1000 + i));
      peers.push_back(peer);
      claim::LeaseRow lease{peer, 1'790'000'000'000'000, now_,
                            now_ + absl::Hours(9)};
      lease.named = now_ - absl::Hours(9);
      rows_[claim::LeaseKey(peer)] = {claim::LeaseKey(peer),
                                      claim::Encode(lease), 1};
    }
    machine_.SetPeers(peers);
    Pass(absl::Seconds(60));
  }

  // One keyed request from its opening to its end; false when not run.
  bool Request(bool idempotent) {
    ++requests_;
    claim::ClaimRequest request;
    request.key = claim::DigestKey(WorkspaceId("workspace-00017"),
                                   IdempotencyKey(absl::StrCat(requests_)));
    request.body_digest = claim::DigestBody("POST /v1", "body");
    request.idempotent = idempotent;
    request.attempt = 1;
    proceed_ = allowed_ = false;
    Handle(claim::Opened{requests_, request});
    if (!proceed_) return false;
    Handle(claim::DispatchWanted{requests_, ServerId("server-0123")});
    Handle(claim::DispatchEnded{requests_, true});
    return allowed_;
  }

  void Pass(absl::Duration span) {
    for (absl::Time end = now_ + span; now_ < end; now_ += absl::Seconds(1)) {
      Handle(claim::TimePassed{});
    }
  }

  void Reset() {
    commits_ = row_bytes_ = commit_bytes_ = reads_ = read_bytes_ = 0;
    watch_ = {};
  }

  double commits() const { return commits_; }
  double row_bytes() const { return row_bytes_; }
  double commit_bytes() const { return commit_bytes_; }
  double reads() const { return reads_; }
  double read_bytes() const { return read_bytes_; }
  double seconds() const { return watch_.seconds(); }

 private:
  static claim::ClaimOptions Options() {
    claim::ClaimOptions options;
    options.self = EntryHostId("entry-1000");
    options.incarnation = 1'790'000'000'000'000;
    return options;
  }

  void Handle(const claim::Event& event) {
    std::deque<claim::Event> events = {event};
    while (!events.empty()) {
      std::vector<Action> actions;
      watch_.Start();
      machine_.Handle(events.front(), now_, &actions);
      watch_.Stop();
      events.pop_front();
      for (const Action& action : actions) Carry(action, &events);
    }
  }

  void Carry(const Action& action, std::deque<claim::Event>* events) {
    if (const auto* commit = std::get_if<claim::CommitCall>(&action)) {
      events->push_back(
          claim::CommitAnswered{commit->call, Commit(commit->transaction)});
    } else if (const auto* read = std::get_if<claim::ReadCall>(&action)) {
      events->push_back(claim::ReadAnswered{read->call, Rows(read->keys[0])});
    } else if (const auto* scan = std::get_if<claim::ScanCall>(&action)) {
      events->push_back(claim::ReadAnswered{scan->call, Rows(scan->prefix)});
    } else if (const auto* verdict =
                   std::get_if<claim::VerdictGiven>(&action)) {
      proceed_ = std::holds_alternative<claim::Proceed>(verdict->verdict);
    } else if (const auto* answer =
                   std::get_if<claim::DispatchAnswered>(&action)) {
      allowed_ = !answer->refusal.has_value();
    }
  }

  // The claims of one host don't meet each other, so every condition holds.
  store::CommitResult Commit(const store::Transaction& transaction) {
    store::CommitResult result{store::CommitState::kCommitted, {}, {}};
    ++commits_;
    commit_bytes_ +=
        static_cast<double>(store::EncodeCommit(transaction).size());
    for (const store::Write& write : transaction.writes) {
      store::Row& row = rows_[write.key];
      row.key = write.key;
      row.value = write.value.value_or("");
      ++row.version;
      row_bytes_ += static_cast<double>(write.key.size() + row.value.size());
      result.versions.push_back({write.key, "", row.version});
    }
    return result;
  }

  std::vector<store::Row> Rows(const std::string& prefix) {
    ++reads_;
    std::vector<store::Row> found;
    Json::Value answer(Json::arrayValue);
    for (auto row = rows_.lower_bound(prefix);
         row != rows_.end() && absl::StartsWith(row->first, prefix); ++row) {
      found.push_back(row->second);
      Json::Value& json = answer.append(Json::Value());
      json["key"] = row->second.key;
      json["value"] = row->second.value;
      json["version"] = Json::UInt64{row->second.version};
    }
    read_bytes_ += static_cast<double>(config::WriteJson(answer).size());
    return found;
  }

  absl::Time now_ = absl::UnixEpoch() + absl::Hours(500'000);
  ClaimMachine machine_;
  std::map<std::string, store::Row> rows_;
  std::uint64_t requests_ = 0;
  bool proceed_ = false;
  bool allowed_ = false;
  double commits_ = 0;
  double row_bytes_ = 0;
  double commit_bytes_ = 0;
  double reads_ = 0;
  double read_bytes_ = 0;
  Stopwatch watch_;
};

std::vector<double> Measure(int hosts, bool idempotent) {
  constexpr int kRequests = 2'000;
  Host host(hosts);
  host.Reset();
  constexpr int kSeconds = 120;
  host.Pass(absl::Seconds(kSeconds));
  std::vector<double> row = {
      static_cast<double>(hosts), host.commits() / kSeconds,
      host.reads() / kSeconds,
      (host.read_bytes() + host.commit_bytes()) / kSeconds,
      100 * host.seconds() / kSeconds};
  host.Reset();
  int run = 0;
  for (int i = 0; i < kRequests; ++i) run += host.Request(idempotent) ? 1 : 0;
  row.insert(
      row.end(),
      {idempotent ? 1.0 : 0.0, static_cast<double>(run) / kRequests,
       host.commits() / kRequests, host.row_bytes() / kRequests,
       host.commit_bytes() / kRequests, host.seconds() * 1e9 / kRequests});
  return row;
}

// --- Grouping ---------------------------------------------------------------

// What the table takes a second from all together, and what the leases of 350
// hosts leave of it.
constexpr double kWrites = 300;
constexpr double kWritesBesideLeases = 212.5;
constexpr absl::Duration kStep = absl::Microseconds(500);

// One of `groupers` alike, on a virtual clock; what it commits counts for all.
std::vector<double> Group(double rate, double writes, int groupers,
                          double seconds) {
  std::mt19937_64 random(7);
  std::exponential_distribution<double> gap(rate / groupers);
  store::TransactionGroup group(store::GroupOptions{});
  store::RateShare share(writes, absl::Seconds(1));
  share.SetHosts(groupers);
  double commits = 0;
  double rows = 0;
  double wait_ms = 0;
  double next = gap(random);
  store::MemberId id = 0;
  absl::Time start = absl::UnixEpoch();
  absl::Time end = start + absl::Seconds(seconds);
  Stopwatch watch;
  for (absl::Time now = start; now < end; now += kStep) {
    for (; start + absl::Seconds(next) <= now; next += gap(random)) {
      std::string key = absl::StrCat(++id);
      group.Add(id, {"", {{key, 0}}, {{key, ""}}}, start + absl::Seconds(next));
    }
    if (group.NextDue() > now || !share.Take(now)) continue;
    watch.Start();
    store::Batch batch = *group.Take(now);
    watch.Stop();
    ++commits;
    for (const store::GroupMember& member : batch.members) {
      wait_ms += absl::ToDoubleMilliseconds(now - member.added);
      ++rows;
    }
  }
  return {rate,
          writes,
          static_cast<double>(groupers),
          commits / seconds * groupers,
          rows / commits,
          wait_ms / rows,
          watch.seconds() * 1e9 / rows};
}

}  // namespace

Table MeasureClaims(bool quick) {
  Table table{"claims",
              {"hosts", "lease commits/s", "lease scans/s", "lease bytes/s",
               "lease % core", "repeatable", "share run", "commits/request",
               "row bytes/request", "commit bytes/request", "ns/request"},
              {}};
  std::vector<int> sizes = {8, 50, 350};
  if (quick) sizes.pop_back();
  for (int hosts : sizes) {
    table.rows.push_back(Measure(hosts, /*idempotent=*/true));
    table.rows.push_back(Measure(hosts, /*idempotent=*/false));
  }
  return table;
}

Table MeasureGrouping(bool quick) {
  double seconds = quick ? 5 : 30;
  return {"grouping",
          {"rows/s", "writes/s allowed", "groupers", "commits/s", "rows/commit",
           "mean wait ms", "ns/row"},
          {Group(20, kWrites, 8, seconds), Group(400, kWrites, 8, seconds),
           Group(200, kWritesBesideLeases, 350, seconds),
           Group(20'000, kWritesBesideLeases, 350, seconds),
           Group(20'000, kWritesBesideLeases, 72, seconds),
           Group(20'000, kWritesBesideLeases, 18, seconds)}};
}

}  // namespace gentianlb::bench
