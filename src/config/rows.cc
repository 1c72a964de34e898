#include "config/rows.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "config/codec.h"

namespace gentianlb::config {
namespace {

Json::Value TextsToJson(const std::vector<std::string>& texts) {
  Json::Value list(Json::arrayValue);
  for (const std::string& text : texts) list.append(text);
  return list;
}

std::vector<std::string> TextsFromJson(const Json::Value& list) {
  std::vector<std::string> texts;
  for (const Json::Value& text : list) texts.push_back(text.asString());
  return texts;
}

// Reads `text` by `read`, which may throw Json::Exception.
template <typename T, typename Read>
Outcome<T> Decode(std::string_view text, const Read& read) {
  auto json = ReadJson(text);
  if (!json.ok()) return json.error();
  T value;
  try {
    read(json.value(), &value);
  } catch (const Json::Exception& error) {
    return Error{Code::kBadPlatformAnswer, error.what()};
  }
  return value;
}

template <typename T>
void AppendParts(const Json::Value& list, std::vector<T>* out) {
  for (const Json::Value& json : list) FromJson(json, &out->emplace_back());
}

template <typename T>
void Append(const std::vector<T>& from, std::vector<T>* to) {
  to->insert(to->end(), from.begin(), from.end());
}

Error Broken(const std::string& key, std::string_view what) {
  return {Code::kBadPlatformAnswer,
          absl::StrCat("row ", key, " ", std::string(what))};
}

}  // namespace

std::string EncodeHead(const Head& head) {
  Json::Value json;
  json["version"] = static_cast<Json::Int64>(head.version);
  json["index"] = head.index;
  // A cut or damaged head must not point anywhere.
  json["digest"] = Digest(absl::StrCat(head.version, " ", head.index));
  return WriteJson(json);
}

Outcome<Head> DecodeHead(std::string_view text) {
  return Decode<Head>(text, [](const Json::Value& json, Head* head) {
    head->version = json["version"].asInt64();
    head->index = json["index"].asString();
    std::string digest = Digest(absl::StrCat(head->version, " ", head->index));
    if (json["digest"].asString() != digest || head->version < 1) {
      Json::throwRuntimeError("the head's digest does not fit");
    }
  });
}

std::string EncodeHistory(const HistoryEntry& entry) {
  Json::Value json;
  json["version"] = static_cast<Json::Int64>(entry.version);
  json["who"] = entry.who;
  json["when"] = static_cast<Json::Int64>(absl::ToUnixMicros(entry.when));
  json["plan"] = entry.plan;
  json["token"] = entry.token;
  json["index"] = entry.index;
  json["summary"] = entry.summary;
  json["added"] = TextsToJson(entry.added);
  json["removed"] = TextsToJson(entry.removed);
  return WriteJson(json);
}

Outcome<HistoryEntry> DecodeHistory(std::string_view text) {
  return Decode<HistoryEntry>(
      text, [](const Json::Value& json, HistoryEntry* entry) {
        entry->version = json["version"].asInt64();
        entry->who = json["who"].asString();
        entry->when = absl::FromUnixMicros(json["when"].asInt64());
        entry->plan = json["plan"].asString();
        entry->token = json["token"].asString();
        entry->index = json["index"].asString();
        entry->summary = json["summary"].asString();
        entry->added = TextsFromJson(json["added"]);
        entry->removed = TextsFromJson(json["removed"]);
      });
}

std::string HistoryKey(Version version) {
  return absl::StrFormat("%s%019d", kHistoryPrefix, version);
}

bool Intact(const std::string& key, std::string_view text) {
  std::size_t slash = key.rfind('/');
  return slash != std::string::npos && key.substr(slash + 1) == Digest(text);
}

std::string EncodeIndex(const Index& index) {
  Json::Value json;
  json["shards"] = TextsToJson(index.shards);
  json["parts"] = Json::Value(Json::arrayValue);
  for (std::uint64_t parts : index.parts) {
    json["parts"].append(static_cast<Json::UInt64>(parts));
  }
  return WriteJson(json);
}

Outcome<Index> DecodeIndex(std::string_view text) {
  return Decode<Index>(text, [](const Json::Value& json, Index* index) {
    index->shards = TextsFromJson(json["shards"]);
    for (const Json::Value& parts : json["parts"]) {
      index->parts.push_back(parts.asUInt64());
    }
    if (index->parts.size() != index->shards.size()) {
      Json::throwRuntimeError("an index without a count for each shard");
    }
  });
}

std::vector<std::string> TakeLast(std::vector<std::string>* keys,
                                  std::size_t most) {
  std::vector<std::string> taken;
  for (; !keys->empty() && taken.size() < most; keys->pop_back()) {
    taken.push_back(std::move(keys->back()));
  }
  return taken;
}

// The parts of one shard; the lists of other kinds are empty.
struct Assembler::Shard {
  std::vector<SiteConfig> sites;
  Configuration parts;
};

Outcome<Assembler::ShardPtr> Assembler::ReadShard(const std::string& key,
                                                  const RowTexts& rows) {
  auto kept = shards_.find(key);
  if (kept != shards_.end()) return kept->second;
  auto row = rows.find(key);
  if (row == rows.end()) return Broken(key, "is missing");
  if (!Intact(key, row->second)) return Broken(key, "is corrupt");
  auto read =
      Decode<Shard>(row->second, [](const Json::Value& json, Shard* shard) {
        AppendParts(json["site"], &shard->sites);
        AppendParts(json["zones"], &shard->parts.zones);
        AppendParts(json["tiers"], &shard->parts.tiers);
        AppendParts(json["services"], &shard->parts.services);
        AppendParts(json["models"], &shard->parts.models);
        AppendParts(json["servers"], &shard->parts.servers);
        AppendParts(json["workspaces"], &shard->parts.workspaces);
      });
  if (!read.ok()) return read.error();
  ShardPtr shard = std::make_shared<const Shard>(std::move(read.value()));
  return shard;
}

Outcome<Configuration> Assembler::Assemble(Version version,
                                           const Snapshot& snapshot) {
  auto index = snapshot.rows.find(snapshot.index);
  if (index == snapshot.rows.end()) return Broken(snapshot.index, "is missing");
  if (!Intact(snapshot.index, index->second)) {
    return Broken(snapshot.index, "is corrupt");
  }
  auto keys = DecodeIndex(index->second);
  if (!keys.ok()) return keys.error();
  Configuration whole;
  whole.version = version;
  absl::flat_hash_map<std::string, ShardPtr> used;
  for (const std::string& key : keys.value().shards) {
    auto shard = ReadShard(key, snapshot.rows);
    if (!shard.ok()) return shard.error();
    const Configuration& parts = shard.value()->parts;
    for (const SiteConfig& site : shard.value()->sites) {
      whole.site = site.name;
      whole.power_cap_watts = site.power_cap_watts;
      whole.weights = site.weights;
    }
    Append(parts.zones, &whole.zones);
    Append(parts.tiers, &whole.tiers);
    Append(parts.services, &whole.services);
    Append(parts.models, &whole.models);
    Append(parts.servers, &whole.servers);
    Append(parts.workspaces, &whole.workspaces);
    used.emplace(key, shard.value());
  }
  // Only after the whole was put together; a refused version changes nothing.
  shards_ = std::move(used);
  return whole;
}

}  // namespace gentianlb::config
