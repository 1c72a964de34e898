// A table service that asks a second way when the first is certainly out of
// reach: the platform itself, and then a peer that still reaches it.

#ifndef GENTIANLB_STORE_FALLBACK_TABLE_H_
#define GENTIANLB_STORE_FALLBACK_TABLE_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "store/messages.h"

namespace gentianlb::store {

// A zone that is cut off from the platform, but not from the other zones, would
// refuse all that needs a row, for as long as the cut lasts. One would notice
// that its callers get 4002 while everybody else is served. The rows are the
// same whoever carries the transaction, so nothing is decided differently.
//
// Only what certainly took no effect goes the second way: after a lost answer
// the caller reads its rows back. A peer answers what comes to it by its own
// first way, never by a third host.
template <TableService Primary, TableService Fallback>
class FallbackTable {
 public:
  // Both outlive this object and every call.
  FallbackTable(Primary* primary, Fallback* fallback)
      : primary_(primary), fallback_(fallback) {}

  void Commit(Transaction transaction, std::function<void(CommitResult)> done) {
    auto on_result = [this, transaction,
                      done = std::move(done)](CommitResult result) {
      if (result.state != CommitState::kNotApplied) return done(result);
      fallback_->Commit(transaction, done);
    };
    primary_->Commit(std::move(transaction), std::move(on_result));
  }

  void Read(std::vector<std::string> keys,
            std::function<void(ReadResult)> done) {
    auto on_result = [this, keys, done = std::move(done)](ReadResult result) {
      if (result.ok()) return done(std::move(result));
      fallback_->Read(keys, done);
    };
    primary_->Read(std::move(keys), std::move(on_result));
  }

  void Scan(std::string prefix, std::function<void(ReadResult)> done) {
    auto on_result = [this, prefix, done = std::move(done)](ReadResult result) {
      if (result.ok()) return done(std::move(result));
      fallback_->Scan(prefix, done);
    };
    primary_->Scan(std::move(prefix), std::move(on_result));
  }

 private:
  Primary* primary_;
  Fallback* fallback_;
};

}  // namespace gentianlb::store

#endif  // GENTIANLB_STORE_FALLBACK_TABLE_H_
