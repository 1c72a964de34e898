// The confirm of a plan: one conditional transaction on the base version.
//
// Operators race: two confirm on the same base, and without the condition the
// later one would silently undo the earlier. The platform may lose the answer
// after the write took effect: an operator who then takes the change for failed
// makes it again on top. So each confirm writes its token into the history row
// of its version, in the same transaction as the head; whoever asks again by
// the same token is told from that row what became of it.

#ifndef GENTIANLB_CONFIG_CONFIRM_H_
#define GENTIANLB_CONFIG_CONFIRM_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "config/in_force.h"
#include "config/next_version.h"
#include "config/rows.h"
#include "config/table_sequence.h"

namespace gentianlb::config {

// The conflict that names the change that won.
inline Error ConflictWith(const HistoryEntry& winner) {
  return {Code::kPlanConflict,
          absl::StrCat("version ", winner.version, " was confirmed first by ",
                       winner.who, " at ", absl::FormatTime(winner.when),
                       ", plan ", winner.plan, " (", winner.summary, ")")};
}

// One confirm, from the first read to the answer. Make() starts it; it keeps
// itself alive until `done` was called.
template <store::TableService Table>
class Confirm : public std::enable_shared_from_this<Confirm<Table>> {
 public:
  // The entry of the version that the plan became; kPlanConflict when another
  // change won; kPlatformUnknown when it must be asked again by the same token.
  using Done = std::function<void(Outcome<HistoryEntry>)>;

  static void Make(Table& table, InForcePtr base, StoredPlan plan,
                   ConfirmRequest request, Done done) {
    auto confirm = std::shared_ptr<Confirm>(
        new Confirm(table, std::move(base), std::move(plan), std::move(request),
                    std::move(done)));
    confirm->ReadState();
  }

 private:
  Confirm(Table& table, InForcePtr base, StoredPlan plan,
          ConfirmRequest request, Done done)
      : table_(table),
        base_(std::move(base)),
        plan_(std::move(plan)),
        request_(std::move(request)),
        done_(std::move(done)) {}

  Version Wanted() const { return plan_.base + 1; }

  // The head, the history row that this confirm would write, and those that
  // tell which rows are no longer used.
  void ReadState() {
    std::vector<std::string> keys{kHeadKey, HistoryKey(Wanted())};
    Version oldest = std::max<Version>(1, Wanted() - kVersionsKept + 1);
    for (Version v = oldest; v < Wanted(); ++v) keys.push_back(HistoryKey(v));
    auto self = this->shared_from_this();
    table_.Read(keys, [self](store::ReadResult rows) {
      if (!rows.ok()) return self->done_(rows.error());
      self->Examine(rows.value());
    });
  }

  void Examine(const std::vector<store::Row>& rows) {
    Head head;
    store::RowVersion head_row = 0;
    std::vector<HistoryEntry> recent;
    for (const store::Row& row : rows) {
      if (row.key == kHeadKey) {
        auto decoded = DecodeHead(row.value);
        if (!decoded.ok()) return done_(decoded.error());
        head = decoded.value();
        head_row = row.version;
        continue;
      }
      auto entry = DecodeHistory(row.value);
      if (!entry.ok()) return done_(entry.error());
      if (entry.value().version == Wanted()) return Answer(entry.value());
      recent.push_back(std::move(entry.value()));
    }
    if (!Ready(head)) return;
    Write(head_row, recent);
  }

  // Whether the plan may be carried out on what is in force; answers if not.
  bool Ready(const Head& head) {
    if (!plan_.feasible) {
      done_(
          Error{Code::kPlanConflict, "the plan has parts that can't be done"});
    } else if (head.version > plan_.base) {
      done_(Error{Code::kPlanConflict, absl::StrCat("version ", head.version,
                                                    " is in force, the "
                                                    "plan was made on ",
                                                    plan_.base)});
    } else if (head.version < plan_.base) {
      // A table that went back would let two changes have one version.
      done_(Error{Code::kPlatformConflict,
                  absl::StrCat("the table went back to version ", head.version,
                               " from ", plan_.base)});
    } else if (base_->configuration.version != plan_.base) {
      done_(Error{
          Code::kNotReady,
          absl::StrCat("this host has version ", base_->configuration.version,
                       " in force, not ", plan_.base, "; ask again")});
    } else {
      return true;
    }
    return false;
  }

  void Write(store::RowVersion head_row,
             const std::vector<HistoryEntry>& recent) {
    auto next = MakeNextVersion(*base_, plan_, request_, recent);
    if (!next.ok()) return done_(next.error());
    entry_ = next.value().entry;
    auto all = std::make_shared<std::vector<store::Transaction>>(
        CutWrites(std::move(next.value().staged), request_.token));
    store::Transaction last;
    // The base tells an attempt on another version from this one; the row
    // version tells one that found another head.
    last.token = absl::StrCat(request_.token, "/", plan_.base, "/", head_row);
    last.conditions = {{kHeadKey, head_row}, {HistoryKey(Wanted()), 0}};
    last.writes = std::move(next.value().final);
    all->push_back(std::move(last));
    auto self = this->shared_from_this();
    CommitAll(table_, all, [self](store::CommitResult result) {
      self->Committed(std::move(result));
    });
  }

  void Committed(store::CommitResult result) {
    using store::CommitState;
    if (result.state == CommitState::kCommitted) return done_(entry_);
    if (result.state == CommitState::kNotApplied) return done_(ErrorOf(result));
    ReadBack(ErrorOf(result));
  }

  // The history row tells what became of it, and who won otherwise.
  void ReadBack(Error otherwise) {
    auto self = this->shared_from_this();
    auto read = [self, otherwise](store::ReadResult rows) {
      // A write whose answer was lost may still take effect, so that a missing
      // row proves nothing.
      bool none = !rows.ok() || rows.value().empty();
      if (none) return self->done_(otherwise);
      auto entry = DecodeHistory(rows.value()[0].value);
      if (!entry.ok()) return self->done_(entry.error());
      self->Answer(entry.value());
    };
    table_.Read({HistoryKey(Wanted())}, read);
  }

  void Answer(const HistoryEntry& winner) {
    bool own = winner.token == request_.token && winner.plan == plan_.id;
    if (own) return done_(winner);
    done_(ConflictWith(winner));
  }

  Table& table_;
  InForcePtr base_;
  StoredPlan plan_;
  ConfirmRequest request_;
  Done done_;
  HistoryEntry entry_;
};

}  // namespace gentianlb::config

#endif  // GENTIANLB_CONFIG_CONFIRM_H_
