// Plans that wait to be confirmed, kept in the table so that any entry host can
// confirm one, also when the host that made it is gone.

#ifndef GENTIANLB_CONFIG_PLAN_STORE_H_
#define GENTIANLB_CONFIG_PLAN_STORE_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "config/plan.h"
#include "config/rows.h"
#include "config/stored_plan.h"
#include "config/table_sequence.h"

namespace gentianlb::config {

// Lives as long as the table; owned by the control thread.
template <store::TableService Table>
class PlanStore {
 public:
  using Done = std::function<void(Outcome<StoredPlan>)>;

  explicit PlanStore(Table& table) : table_(table) {}

  // The head row is written last: a plan that was half written is no plan.
  void Save(StoredPlan plan, Done done) {
    PlanRows rows = EncodePlan(plan);
    std::vector<store::Write> writes;
    for (std::size_t i = 0; i < rows.chunks.size(); ++i) {
      writes.push_back({PlanChunkKey(plan.id, i), rows.chunks[i]});
    }
    writes.push_back({PlanKey(plan.id), rows.head});
    // Without the time in it, a plan made anew would be taken for the old one
    // that was abandoned, and would not be written.
    std::string token =
        absl::StrCat("plan/", plan.id, "/", absl::ToUnixMicros(plan.expiry));
    auto all = std::make_shared<std::vector<store::Transaction>>(
        CutWrites(std::move(writes), token));
    CommitAll(table_, all, [plan, done](store::CommitResult result) {
      bool committed = result.state == store::CommitState::kCommitted;
      if (!committed) return done(ErrorOf(result));
      done(plan);
    });
  }

  // kUnknownPlan when there is none or it has expired.
  void Load(const std::string& id, absl::Time now, Done done) {
    table_.Read({PlanKey(id)}, [this, id, now, done](store::ReadResult head) {
      if (!head.ok()) return done(head.error());
      if (head.value().empty()) return done(Unknown(id));
      auto plan = DecodePlanHead(head.value()[0].value);
      if (!plan.ok()) return done(plan.error());
      auto rows = std::make_shared<PlanRows>();
      rows->head = head.value()[0].value;
      ReadChunks(id, now, plan.value().chunks, rows, done);
    });
  }

  // Forgets plans that expired unconfirmed; best effort.
  void Sweep(absl::Time now) {
    table_.Scan(kPlanPrefix, [this, now](store::ReadResult rows) {
      if (!rows.ok()) return;
      for (const store::Row& row : rows.value()) {
        auto plan = ExpiredPlan(row, now);
        if (plan) DeleteRows(*plan, [](store::CommitResult) {});
      }
    });
  }

  void Remove(const StoredPlan& plan, Done done) {
    DeleteRows({plan.id, plan.expiry, EncodePlan(plan).chunks.size()},
               [plan, done](store::CommitResult result) {
                 bool committed =
                     result.state == store::CommitState::kCommitted;
                 if (!committed) return done(ErrorOf(result));
                 done(plan);
               });
  }

 private:
  static Error Unknown(const std::string& id) {
    return {Code::kUnknownPlan, "plan " + id + " is unknown or has expired"};
  }

  void DeleteRows(const PlanHead& plan,
                  std::function<void(store::CommitResult)> done) {
    std::vector<store::Write> writes{{PlanKey(plan.id), std::nullopt}};
    for (std::size_t i = 0; i < plan.chunks; ++i) {
      writes.push_back({PlanChunkKey(plan.id, i), std::nullopt});
    }
    std::string token =
        absl::StrCat("abandon/", plan.id, "/", absl::ToUnixMicros(plan.expiry));
    auto all = std::make_shared<std::vector<store::Transaction>>(
        CutWrites(std::move(writes), token));
    CommitAll(table_, all, std::move(done));
  }

  // One row a read: a chunk has nearly the size of a transaction.
  void ReadChunks(const std::string& id, absl::Time now, std::size_t wanted,
                  std::shared_ptr<PlanRows> rows, Done done) {
    if (rows->chunks.size() == wanted) {
      auto plan = DecodePlan(*rows);
      bool expired = plan.ok() && plan.value().expiry <= now;
      return expired ? done(Unknown(id)) : done(std::move(plan));
    }
    auto next = [=, this](store::ReadResult read) {
      if (!read.ok()) return done(read.error());
      if (read.value().empty()) return done(Unknown(id));
      rows->chunks.push_back(read.value()[0].value);
      ReadChunks(id, now, wanted, rows, done);
    };
    table_.Read({PlanChunkKey(id, rows->chunks.size())}, next);
  }

  Table& table_;
};

}  // namespace gentianlb::config

#endif  // GENTIANLB_CONFIG_PLAN_STORE_H_
