// A configuration as rows of the table.
//
// One row can't hold 47,000 workspaces, and a change of one must not rewrite
// them all. The parts are therefore cut into shards, rows named by the digest
// of their text; an index row, named likewise, lists them in order; and the
// head row names the index and the version. A shard never changes, so whoever
// reads while another writes finds either whole rows or none, and anyone,
// a peer included, may hand them on: the name proves the text.

#ifndef GENTIANLB_CONFIG_ROWS_H_
#define GENTIANLB_CONFIG_ROWS_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "config/configuration.h"

namespace gentianlb::config {

inline constexpr char kHeadKey[] = "config/head";
inline constexpr char kIndexPrefix[] = "config/index/";
inline constexpr char kShardPrefix[] = "config/shard/";
inline constexpr char kHistoryPrefix[] = "config/history/";
inline constexpr char kPlanPrefix[] = "config/plan/";

// What is in force.
struct Head {
  Version version = 0;
  std::string index;  // The row that lists the shards.
  bool operator==(const Head&) const = default;
};

// One change that was confirmed.
struct HistoryEntry {
  Version version = 0;
  std::string who;
  absl::Time when;
  std::string plan;
  std::string token;  // Of the confirm that won.
  std::string index;
  std::string summary;
  std::vector<std::string> added;    // Rows that came with this version.
  std::vector<std::string> removed;  // Rows that it no longer uses.
  bool operator==(const HistoryEntry&) const = default;
};

using RowTexts = std::map<std::string, std::string>;

// All rows of one version but the head.
struct Snapshot {
  std::string index;  // Key of the index row, which is in `rows` too.
  RowTexts rows;
  bool operator==(const Snapshot&) const = default;
};

std::string EncodeHead(const Head& head);
Outcome<Head> DecodeHead(std::string_view text);

std::string EncodeHistory(const HistoryEntry& entry);
Outcome<HistoryEntry> DecodeHistory(std::string_view text);
// Digits so that the keys sort by version.
std::string HistoryKey(Version version);

// Whether the text is the one that the row's name stands for.
bool Intact(const std::string& key, std::string_view text);

// The shards of a version in order, and how many parts each has.
struct Index {
  std::vector<std::string> shards;
  std::vector<std::uint64_t> parts;
  bool operator==(const Index&) const = default;
};

std::string EncodeIndex(const Index& index);
Outcome<Index> DecodeIndex(std::string_view text);

// Takes up to `most` keys off the end of the list: the next ones to read.
std::vector<std::string> TakeLast(std::vector<std::string>* keys,
                                  std::size_t most);

// Puts versions together; keeps what it read of the last one, so that a change
// of one shard reads one. Refuses whole what lacks a row or has a corrupt one.
class Assembler {
 public:
  Outcome<Configuration> Assemble(Version version, const Snapshot& snapshot);

 private:
  struct Shard;
  using ShardPtr = std::shared_ptr<const Shard>;
  Outcome<ShardPtr> ReadShard(const std::string& key, const RowTexts& rows);

  absl::flat_hash_map<std::string, ShardPtr> shards_;
};

}  // namespace gentianlb::config

#endif  // GENTIANLB_CONFIG_ROWS_H_
