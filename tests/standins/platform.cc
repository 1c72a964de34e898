#include "standins/platform.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/time/clock.h"
#include "standins/json.h"

namespace gentianlb::standins {
namespace {

constexpr std::string_view kObjectsPath = "/v1/objects/";
constexpr std::string_view kWeightsPath = "/v1/weights/";
constexpr std::size_t kMaxRows = 500;
constexpr std::size_t kMaxCommitBytes = 1 << 20;
constexpr std::size_t kMaxScanRows = 1000;

// Half a second's flow may come at once.
constexpr double kBurstSeconds = 0.5;

store::Transaction ParseTransaction(const Json::Value& body) {
  store::Transaction transaction;
  transaction.token = body["token"].asString();
  for (const Json::Value& condition : body["conditions"]) {
    transaction.conditions.push_back(
        {condition["key"].asString(), condition["version"].asUInt64()});
  }
  for (const Json::Value& write : body["writes"]) {
    std::optional<std::string> value;
    if (!write["value"].isNull()) value = write["value"].asString();
    transaction.writes.push_back({write["key"].asString(), value});
  }
  return transaction;
}

Json::Value ToJson(const std::vector<store::Row>& rows) {
  Json::Value list(Json::arrayValue);
  for (const store::Row& row : rows) {
    Json::Value entry;
    entry["key"] = row.key;
    entry["value"] = row.value;
    entry["version"] = row.version;
    list.append(entry);
  }
  return list;
}

void RespondCommit(http::Responder& answer, const store::CommitResult& result) {
  Json::Value body;
  if (result.state != store::CommitState::kCommitted) {
    for (const std::string& key : result.conflicts) {
      body["conflicts"].append(key);
    }
    RespondJson(answer, 409, body);
    return;
  }
  body["committed"] = true;
  body["versions"] = Json::Value(Json::arrayValue);
  for (const store::Row& row : result.versions) {
    Json::Value entry;
    entry["key"] = row.key;
    entry["version"] = row.version;
    body["versions"].append(entry);
  }
  RespondJson(answer, 200, body);
}

bool IsWrite(const http::Request& request) {
  return request.path == "/v1/table/commit" || request.method == "PUT";
}

bool IsLimited(const http::Request& request) {
  return request.path.starts_with("/v1/table/") ||
         request.path.starts_with(kObjectsPath);
}

}  // namespace

Json::Value Platform::Switches() {
  Json::Value own;
  own["down"] = "";
  own["lose_answer"] = 0;
  own["lose_probability"] = 0.0;
  own["writes_per_second"] = 500;
  own["reads_per_second"] = 2000;
  own["hosts"] = Json::Value(Json::arrayValue);
  own["hosts_lag_ms"] = 500;
  own["weights"] = Json::Value(Json::objectValue);
  own["weight_bytes_per_second"] = 1e9;
  return WithCommonSwitches(own);
}

void Platform::Handle(const http::Request& request, const Answer& answer) {
  if (!IsUp(answer) || !Admit(request, answer)) return;
  Route(request, answer);
}

bool Platform::IsUp(const Answer& answer) {
  std::string down = control_.Text("down");
  absl::MutexLock lock(&mutex_);
  // What hung when the outage ended is never served: it took no effect.
  if (down != "hang") hanging_.clear();
  if (down.empty()) return true;
  control_.Count("turned_away");
  if (down == "hang") {
    hanging_.push_back(answer);
  } else if (down == "503") {
    RespondError(*answer, 503, "outage");
  } else {
    answer->Abort();
  }
  return false;
}

bool Platform::Admit(const http::Request& request, const Answer& answer) {
  if (!IsLimited(request)) return true;
  bool write = IsWrite(request);
  double rate =
      control_.Number(write ? "writes_per_second" : "reads_per_second");
  absl::MutexLock lock(&mutex_);
  RateLimit& limit = write ? writes_ : reads_;
  if (limit.Take(absl::Now(), 1, rate, rate * kBurstSeconds)) {
    control_.Count(write ? "writes" : "reads");
    return true;
  }
  control_.Count("over_rate");
  RespondError(*answer, 429, "over the rate");
  return false;
}

void Platform::Route(const http::Request& request, const Answer& answer) {
  const std::string& path = request.path;
  if (path == "/v1/hosts") return ShowHosts(answer);
  if (path == "/v1/weights") return ShowWeights(answer);
  if (path.starts_with(kWeightsPath)) return GetWeights(request, answer);
  if (path.starts_with(kObjectsPath)) {
    if (request.method == "PUT") return PutObject(request, answer);
    return GetObject(request, answer);
  }
  auto body = ParseObject(request.body);
  if (!body.has_value()) return RespondError(*answer, 400, "not JSON");
  if (path == "/v1/table/commit") return Commit(*body, answer);
  if (path == "/v1/table/read") return Read(*body, answer);
  if (path == "/v1/table/scan") return Scan(*body, answer);
  RespondError(*answer, 404, "no such path");
}

void Platform::Commit(const Json::Value& body, const Answer& answer) {
  store::Transaction transaction = ParseTransaction(body);
  std::size_t bytes = 0;
  for (const store::Write& write : transaction.writes) {
    bytes += write.key.size() + write.value.value_or("").size();
  }
  if (transaction.writes.size() > kMaxRows ||
      transaction.conditions.size() > kMaxRows || bytes > kMaxCommitBytes) {
    return RespondError(*answer, 413, "too large a transaction");
  }
  absl::MutexLock lock(&mutex_);
  store::CommitResult result = table_.Commit(transaction);
  bool committed = result.state == store::CommitState::kCommitted;
  control_.Count(committed ? "committed" : "conflicts");
  if (committed) {
    control_.Count("rows_written",
                   static_cast<std::int64_t>(transaction.writes.size()));
  }
  if (LosesAnswer()) {
    answer->Abort();
  } else {
    RespondCommit(*answer, result);
  }
}

void Platform::Read(const Json::Value& body, const Answer& answer) {
  std::vector<std::string> keys;
  for (const Json::Value& key : body["keys"]) keys.push_back(key.asString());
  if (keys.size() > kMaxRows) return RespondError(*answer, 413, "too many");
  absl::MutexLock lock(&mutex_);
  Json::Value found;
  found["rows"] = ToJson(table_.Read(keys));
  RespondJson(*answer, 200, found);
}

void Platform::Scan(const Json::Value& body, const Answer& answer) {
  std::size_t limit =
      body.isMember("limit") ? body["limit"].asUInt() : kMaxScanRows;
  limit = std::clamp<std::size_t>(limit, 1, kMaxScanRows);
  absl::MutexLock lock(&mutex_);
  std::vector<store::Row> rows = table_.Scan(
      body["prefix"].asString(), body["after"].asString(), limit + 1);
  bool more = rows.size() > limit;
  if (more) rows.pop_back();
  Json::Value found;
  found["rows"] = ToJson(rows);
  found["more"] = more;
  RespondJson(*answer, 200, found);
}

void Platform::PutObject(const http::Request& request, const Answer& answer) {
  absl::MutexLock lock(&mutex_);
  objects_[request.path.substr(kObjectsPath.size())] = request.body;
  if (LosesAnswer()) {
    answer->Abort();
  } else {
    RespondJson(*answer, 200, Json::objectValue);
  }
}

void Platform::GetObject(const http::Request& request, const Answer& answer) {
  absl::MutexLock lock(&mutex_);
  auto object = objects_.find(request.path.substr(kObjectsPath.size()));
  if (object == objects_.end()) {
    return RespondError(*answer, 404, "no such object");
  }
  answer->Respond(200, {{"Content-Type", "application/octet-stream"}},
                  object->second);
}

void Platform::ShowHosts(const Answer& answer) {
  Json::Value body;
  body["hosts"] =
      control_.ValueAgo("hosts", control_.Milliseconds("hosts_lag_ms"));
  RespondJson(*answer, 200, body);
}

void Platform::ShowWeights(const Answer& answer) {
  Json::Value body;
  body["models"] = Json::Value(Json::arrayValue);
  Json::Value weights = control_.Value("weights");
  for (const std::string& model : weights.getMemberNames()) {
    Json::Value entry;
    entry["model"] = model;
    entry["bytes"] = weights[model];
    body["models"].append(entry);
  }
  body["bytes_per_second"] = control_.Number("weight_bytes_per_second");
  RespondJson(*answer, 200, body);
}

// Sends no real bytes, only counts them against the rate.
void Platform::GetWeights(const http::Request& request, const Answer& answer) {
  std::string model = request.path.substr(kWeightsPath.size());
  Json::Value weights = control_.Value("weights");
  if (!weights.isMember(model)) {
    return RespondError(*answer, 404, "no such model");
  }
  double bytes = weights[model].asDouble();
  double rate = control_.Number("weight_bytes_per_second");
  absl::MutexLock lock(&mutex_);
  // A model larger than the burst is let through when nothing else is.
  double burst = std::max(bytes, rate * kBurstSeconds);
  if (!weights_.Take(absl::Now(), bytes, rate, burst)) {
    return RespondError(*answer, 429, "over the rate");
  }
  Json::Value body;
  body["model"] = model;
  body["bytes"] = bytes;
  RespondJson(*answer, 200, body);
}

bool Platform::LosesAnswer() {
  double probability = control_.Number("lose_probability");
  bool chance = std::uniform_real_distribution<>(0, 1)(random_) < probability;
  bool lost = control_.TakeOne("lose_answer") || chance;
  if (lost) control_.Count("answers_lost");
  return lost;
}

}  // namespace gentianlb::standins
