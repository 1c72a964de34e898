// Table service with a fallback path: calls go to the platform, and to a peer
// that still reaches it if they certainly took no effect there.

#ifndef GENTIANLB_STORE_FALLBACK_TABLE_H_
#define GENTIANLB_STORE_FALLBACK_TABLE_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "store/messages.h"

namespace gentianlb::store {

// Keeps a zone working that is partitioned from the platform but not from the
// other zones. Without it the zone's callers would get 4002 for every request
// that needs a row. The rows are the same on both paths, so decisions are too.
//
// Only calls that certainly took no effect use the fallback: after a lost
// answer the caller reads its rows back. A peer serves relayed calls by its own
// primary path, never through a third host.
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
