#include "entry/config_link.h"

#include <utility>

namespace gentianlb::entry {
namespace {

constexpr char kRowsMethod[] = "config.rows";

// Rows of a shard are some 50 KB; a living peer sends them in milliseconds.
constexpr absl::Duration kRowsTimeout = absl::Seconds(2);

store::ReadResult RowsFromJson(const Json::Value& json) {
  Error malformed{Code::kMalformedRpc, "rows of a peer"};
  if (!json.isArray()) return malformed;
  std::vector<store::Row> rows;
  for (const Json::Value& item : json) {
    bool whole =
        item.isObject() && item["key"].isString() && item["value"].isString();
    if (!whole) return malformed;
    rows.push_back({item["key"].asString(), item["value"].asString(), 1});
  }
  return rows;
}

}  // namespace

void ConfigLink::ReadRows(const EntryHostId& peer,
                          const std::vector<std::string>& keys,
                          std::function<void(store::ReadResult)> read) {
  Json::Value params;
  params["keys"] = Json::Value(Json::arrayValue);
  for (const std::string& key : keys) params["keys"].append(key);
  peers_->Call(peer, kRowsMethod, std::move(params), kRowsTimeout,
               [read = std::move(read)](std::optional<Json::Value> json) {
                 if (!json.has_value()) {
                   read(Error{Code::kPeerUnreachable, ""});
                   return;
                 }
                 read(RowsFromJson(*json));
               });
}

std::vector<EntryHostId> ConfigLink::Candidates() const {
  std::vector<EntryHostId> living;
  for (const member::Member& member : peers_->membership().Peers()) {
    if (member.state != member::MemberState::kDead) {
      living.push_back(member.id);
    }
  }
  return living;
}

void RegisterConfigRows(rpc::AsyncMethodTable* methods,
                        const Follower* follower) {
  methods->AddMethod(kRowsMethod,
                     [follower](const Json::Value& params,
                                const rpc::AsyncMethodTable::Done& done) {
                       std::vector<std::string> keys;
                       if (params["keys"].isArray()) {
                         for (const Json::Value& key : params["keys"]) {
                           if (key.isString()) keys.push_back(key.asString());
                         }
                       }
                       Json::Value rows(Json::arrayValue);
                       for (const store::Row& row : follower->RowsFor(keys)) {
                         Json::Value item;
                         item["key"] = row.key;
                         item["value"] = row.value;
                         rows.append(std::move(item));
                       }
                       done(rpc::RpcError{0, ""}, std::move(rows));
                     });
}

}  // namespace gentianlb::entry
