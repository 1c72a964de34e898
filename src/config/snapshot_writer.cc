#include "config/snapshot_writer.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "config/codec.h"

namespace gentianlb::config {
namespace {

// Parts up to one whose name ends a shard. How a run is cut into shards depends
// on its own parts alone, so that an equal run has equal shards.
struct Run {
  std::size_t first = 0;  // Of its parts.
  std::size_t count = 0;
  std::vector<std::string> shards;  // Their keys; of the base's runs only.
};

bool EndsRun(const std::string& name) {
  return XXH3_64bits(name.data(), name.size()) % kPartsPerShard == 0;
}

// The runs of `parts`, in order.
template <typename T>
std::vector<Run> RunsOf(const std::vector<T>& parts) {
  std::vector<Run> runs;
  std::size_t first = 0;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    bool last = i + 1 == parts.size();
    if (!last && !EndsRun(NameOf(parts[i]))) continue;
    runs.push_back({first, i + 1 - first, {}});
    first = i + 1;
  }
  return runs;
}

class SnapshotWriter {
 public:
  explicit SnapshotWriter(const Snapshot& base) : base_(base) {
    auto row = base.rows.find(base.index);
    if (row == base.rows.end()) return;
    auto index = DecodeIndex(row->second);
    if (index.ok()) base_index_ = std::move(index.value());
  }

  // All parts of one kind. The kinds are always written in the same order.
  template <typename T>
  void Write(const char* kind, const std::vector<T>& parts,
             const std::vector<T>& base_parts) {
    absl::flat_hash_map<std::string, Run> known;
    for (Run& run : BaseRuns(base_parts)) {
      std::string name = NameOf(base_parts[run.first]);
      known.emplace(std::move(name), std::move(run));
    }
    for (const Run& run : RunsOf(parts)) {
      auto same = known.find(NameOf(parts[run.first]));
      bool reuse =
          same != known.end() && Equal(parts, run, base_parts, same->second);
      if (reuse) Reuse(same->second);
      if (!reuse) WriteRun(kind, parts, run);
    }
  }

  Snapshot Finish() {
    std::string text = EncodeIndex(index_);
    snapshot_.index = kIndexPrefix + Digest(text);
    snapshot_.rows.emplace(snapshot_.index, std::move(text));
    return std::move(snapshot_);
  }

 private:
  // The base's runs with the shards that the base's index gives them. None when
  // the index does not fit: then everything is written anew.
  template <typename T>
  std::vector<Run> BaseRuns(const std::vector<T>& base_parts) {
    std::vector<Run> runs = RunsOf(base_parts);
    for (Run& run : runs) {
      std::uint64_t counted = 0;
      while (counted < run.count && base_at_ < base_index_.shards.size()) {
        counted += base_index_.parts[base_at_];
        run.shards.push_back(base_index_.shards[base_at_++]);
      }
      if (counted != run.count) return {};
    }
    return runs;
  }

  template <typename T>
  static bool Equal(const std::vector<T>& parts, const Run& run,
                    const std::vector<T>& base_parts, const Run& base_run) {
    if (run.count != base_run.count) return false;
    const T* first = parts.data() + run.first;
    return std::equal(first, first + run.count,
                      base_parts.data() + base_run.first);
  }

  void Reuse(const Run& run) {
    for (const std::string& key : run.shards) {
      auto row = base_.rows.find(key);
      auto position =
          std::find(base_index_.shards.begin(), base_index_.shards.end(), key);
      index_.shards.push_back(key);
      index_.parts.push_back(
          base_index_.parts[position - base_index_.shards.begin()]);
      snapshot_.rows.insert(*row);
    }
  }

  template <typename T>
  void WriteRun(const char* kind, const std::vector<T>& parts, const Run& run) {
    for (std::size_t i = 0; i < run.count; ++i) {
      std::string text = WriteJson(ToJson(parts[run.first + i]));
      bool full = shard_.size() + text.size() > kMaxShardBytes;
      if (full) Cut(kind);
      absl::StrAppend(&shard_, shard_.empty() ? "" : ",", text);
      ++shard_parts_;
    }
    Cut(kind);
  }

  void Cut(const char* kind) {
    if (shard_.empty()) return;
    std::string text = absl::StrCat("{\"", kind, "\":[", shard_, "]}");
    std::string key = kShardPrefix + Digest(text);
    index_.shards.push_back(key);
    index_.parts.push_back(shard_parts_);
    snapshot_.rows.emplace(std::move(key), std::move(text));
    shard_.clear();
    shard_parts_ = 0;
  }

  const Snapshot& base_;
  Index base_index_;
  std::size_t base_at_ = 0;  // Shards of the base that runs were given.
  Snapshot snapshot_;
  Index index_;
  std::string shard_;
  std::uint64_t shard_parts_ = 0;
};

}  // namespace

Snapshot EncodeSnapshot(const Configuration& c, const InForce& base) {
  const Configuration& old = base.configuration;
  // Without rows there is nothing to take from them.
  bool empty = base.snapshot.rows.empty();
  std::vector<SiteConfig> old_sites;
  if (!empty) old_sites.push_back(SiteOf(old));
  SnapshotWriter writer(base.snapshot);
  writer.Write("site", std::vector<SiteConfig>{SiteOf(c)}, old_sites);
  writer.Write("zones", c.zones, old.zones);
  writer.Write("tiers", c.tiers, old.tiers);
  writer.Write("services", c.services, old.services);
  writer.Write("models", c.models, old.models);
  writer.Write("servers", c.servers, old.servers);
  writer.Write("workspaces", c.workspaces, old.workspaces);
  return writer.Finish();
}

}  // namespace gentianlb::config
