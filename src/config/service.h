// What operators ask an entry host about the configuration, as calls with JSON
// parameters and answers. Every answer has a `text` for people beside the
// fields for scripts. No answer holds a token of a workspace.

#ifndef GENTIANLB_CONFIG_SERVICE_H_
#define GENTIANLB_CONFIG_SERVICE_H_

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "config/answers.h"
#include "config/confirm.h"
#include "config/intent.h"
#include "config/plan.h"
#include "config/plan_store.h"

namespace gentianlb::config {

// Owned by the control thread. Each Handle...() calls `done` once, later or at
// once, on the control thread.
template <store::TableService Table>
class Service {
 public:
  using Done = std::function<void(Outcome<Json::Value>)>;
  using Current = std::function<InForcePtr()>;
  // What a plan is made from beside the version in force, which is filled in.
  using State = std::function<PlanState()>;

  Service(Table& table, Current current, State state)
      : table_(table),
        store_(table),
        current_(std::move(current)),
        state_(std::move(state)) {}

  // Called when a confirm has made a version, so that this host reads it at
  // once instead of at its next poll.
  void OnConfirmed(std::function<void(Version)> confirmed) {
    confirmed_ = std::move(confirmed);
  }

  // The method without its `config.`; kMalformedRpc for an unknown one.
  void Handle(std::string_view method, const Json::Value& params,
              absl::Time now, Done done) {
    if (method == "plan") return HandlePlan(params, now, done);
    if (method == "confirm") return HandleConfirm(params, now, done);
    if (method == "history") return HandleHistory(params, done);
    if (method == "show") return HandleShow(params, done);
    if (method == "abandon") return HandleAbandon(params, now, done);
    done(Error{Code::kMalformedRpc, "no method config." + std::string(method)});
  }

  // {"intent", "who", "file"}: checks the intent, keeps the plan, answers it.
  void HandlePlan(const Json::Value& params, absl::Time now, Done done) {
    std::string file = TextOf(params, "file");
    auto intent =
        ParseIntent(file.empty() ? "intent" : file, TextOf(params, "intent"));
    if (!intent.ok()) return done(intent.error());
    PlanState state = state_();
    state.in_force = current_()->configuration;
    state.now = now;
    Plan plan = MakePlan(state, std::move(intent.value()));
    store_.Sweep(now);
    store_.Save(ToStored(plan, WhoOf(params)),
                [plan, done](Outcome<StoredPlan> saved) {
                  if (!saved.ok()) return done(saved.error());
                  done(PlanAnswer(plan));
                });
  }

  // {"plan", "who", "token"}: the same token asks for the same confirm.
  void HandleConfirm(const Json::Value& params, absl::Time now, Done done) {
    std::string id = TextOf(params, "plan");
    ConfirmRequest request{WhoOf(params), now, TextOf(params, "token")};
    if (request.token.empty()) request.token = id + "/" + request.who;
    store_.Load(id, now, [this, id, request, done](Outcome<StoredPlan> plan) {
      if (!plan.ok()) return Missed(id, request, plan.error(), done);
      Confirm<Table>::Make(table_, current_(), plan.value(), request,
                           [this, done](Outcome<HistoryEntry> entry) {
                             Confirmed(std::move(entry), done);
                           });
    });
  }

  // {"limit"}: the last changes, newest first.
  void HandleHistory(const Json::Value& params, Done done) {
    std::size_t limit = LimitOf(params);
    table_.Scan(kHistoryPrefix, [limit, done](store::ReadResult rows) {
      if (!rows.ok()) return done(rows.error());
      done(HistoryAnswer(rows.value(), limit));
    });
  }

  // {"version"}: the whole of one version, tokens left out; 0 for the newest.
  void HandleShow(const Json::Value& params, Done done) {
    Version version = VersionOf(params);
    InForcePtr current = current_();
    if (version == 0 || version == current->configuration.version) {
      return done(ShowAnswer(current->configuration));
    }
    table_.Read({HistoryKey(version)},
                [this, version, done](store::ReadResult rows) {
                  if (!rows.ok()) return done(rows.error());
                  if (rows.value().empty()) return done(NoVersion(version));
                  auto entry = DecodeHistory(rows.value()[0].value);
                  if (!entry.ok()) return done(entry.error());
                  ReadVersion(entry.value(), done);
                });
  }

  // {"plan"}: forgets a plan.
  void HandleAbandon(const Json::Value& params, absl::Time now, Done done) {
    std::string id = TextOf(params, "plan");
    store_.Load(id, now, [this, done](Outcome<StoredPlan> plan) {
      if (!plan.ok()) return done(plan.error());
      store_.Remove(plan.value(), [done](Outcome<StoredPlan> removed) {
        if (!removed.ok()) return done(removed.error());
        done(TextAnswer("plan " + removed.value().id + " is abandoned"));
      });
    });
  }

 private:
  // A plan that was confirmed may have expired by the time its lost answer is
  // asked for again; the history still knows what became of it.
  void Missed(const std::string& id, const ConfirmRequest& request,
              const Error& error, Done done) {
    if (error.code != Code::kUnknownPlan) return done(error);
    table_.Scan(kHistoryPrefix, [=](store::ReadResult rows) {
      if (!rows.ok()) return done(rows.error());
      auto entry = FindConfirmed(rows.value(), id);
      if (!entry) return done(error);
      bool own = entry->token == request.token;
      return own ? done(ConfirmAnswer(*entry)) : done(ConflictWith(*entry));
    });
  }

  void Confirmed(Outcome<HistoryEntry> entry, Done done) {
    if (!entry.ok()) return done(entry.error());
    if (confirmed_) confirmed_(entry.value().version);
    done(ConfirmAnswer(entry.value()));
  }

  void ReadVersion(const HistoryEntry& entry, Done done) {
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->index = entry.index;
    table_.Read({entry.index}, [=, this](store::ReadResult rows) {
      if (!rows.ok()) return done(rows.error());
      if (rows.value().empty()) return done(NoVersion(entry.version));
      snapshot->rows.emplace(entry.index, rows.value()[0].value);
      auto keys = DecodeIndex(rows.value()[0].value);
      if (!keys.ok()) return done(keys.error());
      ReadShards(entry.version, keys.value().shards, snapshot, done);
    });
  }

  void ReadShards(Version version, std::vector<std::string> keys,
                  std::shared_ptr<Snapshot> snapshot, Done done) {
    std::vector<std::string> now = TakeLast(&keys, kShardsPerRead);
    table_.Read(now, [=, this](store::ReadResult rows) {
      if (!rows.ok()) return done(rows.error());
      for (const store::Row& row : rows.value()) {
        snapshot->rows.emplace(row.key, row.value);
      }
      if (!keys.empty()) return ReadShards(version, keys, snapshot, done);
      auto whole = Assembler().Assemble(version, *snapshot);
      if (!whole.ok()) return done(whole.error());
      done(ShowAnswer(whole.value()));
    });
  }

  static constexpr std::size_t kShardsPerRead = 16;

  Table& table_;
  PlanStore<Table> store_;
  Current current_;
  State state_;
  std::function<void(Version)> confirmed_;
};

}  // namespace gentianlb::config

#endif  // GENTIANLB_CONFIG_SERVICE_H_
