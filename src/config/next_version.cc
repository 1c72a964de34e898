#include "config/next_version.h"

#include <set>
#include <utility>

#include "config/snapshot_writer.h"
#include "config/table_sequence.h"

namespace gentianlb::config {
namespace {

std::size_t BytesOf(const std::vector<store::Write>& writes) {
  std::size_t bytes = 0;
  for (const store::Write& write : writes) {
    bytes += write.key.size() + (write.value ? write.value->size() : 0);
  }
  return bytes;
}

// Keys of rows in `one` that `other` lacks.
std::vector<std::string> Missing(const RowTexts& one, const RowTexts& other) {
  std::vector<std::string> keys;
  for (const auto& [key, text] : one) {
    if (!other.contains(key)) keys.push_back(key);
  }
  return keys;
}

// What was dropped on the way out of the oldest kept version and never came
// back since.
std::vector<std::string> Unused(const HistoryEntry& next,
                                const std::vector<HistoryEntry>& recent) {
  Version oldest = next.version - kVersionsKept + 1;
  std::set<std::string> unused;
  for (const HistoryEntry& entry : recent) {
    if (entry.version != oldest) continue;
    unused.insert(entry.removed.begin(), entry.removed.end());
  }
  for (const HistoryEntry& entry : recent) {
    if (entry.version <= oldest) continue;
    for (const std::string& key : entry.added) unused.erase(key);
  }
  for (const std::string& key : next.added) unused.erase(key);
  return {unused.begin(), unused.end()};
}

}  // namespace

Outcome<NextVersion> MakeNextVersion(const InForce& base,
                                     const StoredPlan& plan,
                                     const ConfirmRequest& request,
                                     const std::vector<HistoryEntry>& recent) {
  auto configuration = Apply(base.configuration, plan.changes);
  if (!configuration.ok()) return configuration.error();
  Snapshot snapshot = EncodeSnapshot(configuration.value(), base);

  NextVersion next;
  HistoryEntry& entry = next.entry;
  entry.version = plan.base + 1;
  entry.who = request.who;
  entry.when = request.now;
  entry.plan = plan.id;
  entry.token = request.token;
  entry.index = snapshot.index;
  entry.summary = Summary(plan.changes);
  entry.added = Missing(snapshot.rows, base.snapshot.rows);
  entry.removed = Missing(base.snapshot.rows, snapshot.rows);

  next.final.push_back({kHeadKey, EncodeHead({entry.version, entry.index})});
  next.final.push_back({HistoryKey(entry.version), EncodeHistory(entry)});
  if (entry.version > kHistoryKept) {
    next.final.push_back(
        {HistoryKey(entry.version - kHistoryKept), std::nullopt});
  }
  std::size_t chunks = EncodePlan(plan).chunks.size();
  next.final.push_back({PlanKey(plan.id), std::nullopt});
  for (std::size_t i = 0; i < chunks; ++i) {
    next.final.push_back({PlanChunkKey(plan.id, i), std::nullopt});
  }
  for (const std::string& key : Unused(entry, recent)) {
    next.final.push_back({key, std::nullopt});
  }
  std::vector<store::Write> rows;
  for (const std::string& key : entry.added) {
    rows.push_back({key, snapshot.rows[key]});
  }
  bool fits = BytesOf(next.final) + BytesOf(rows) <= kMaxTransactionBytes &&
              next.final.size() + rows.size() <= kMaxTransactionRows;
  auto& place = fits ? next.final : next.staged;
  place.insert(place.end(), rows.begin(), rows.end());
  return next;
}

}  // namespace gentianlb::config
