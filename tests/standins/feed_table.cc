#include "standins/feed_table.h"

#include <algorithm>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/time/clock.h"
#include "base/json_text.h"

namespace gentianlb::standins {
namespace {

std::uint64_t NumberOf(const http::Request& request, std::string_view name) {
  std::uint64_t number = 0;
  const std::string text(request.argument(name));
  return absl::SimpleAtoi(text, &number) ? number : 0;
}

void Respond(http::Responder& answer, const Json::Value& body) {
  answer.Respond(200, {{"Content-Type", "application/json"}}, ToText(body));
}

}  // namespace

FeedTable::FeedTable() {
  http::ServerSettings settings;
  server_ = std::move(
      http::Server::Start(settings, [this](const http::Request& request,
                                           Answer answer) {
        Handle(request, answer);
      }).value());
}

void FeedTable::Put(const std::string& table, const std::string& key,
                    const std::string& value) {
  absl::MutexLock lock(&mutex_);
  Set(table, key, {value, 0, false});
}

void FeedTable::Remove(const std::string& table, const std::string& key) {
  absl::MutexLock lock(&mutex_);
  Set(table, key, {"", 0, true});
}

void FeedTable::SetDown(bool down) {
  absl::MutexLock lock(&mutex_);
  down_ = down;
  if (!down) return;
  for (const Waiter& waiter : waiters_) waiter.answer->Respond(503, {}, "");
  waiters_.clear();
}

void FeedTable::DropHistory() {
  absl::MutexLock lock(&mutex_);
  oldest_ = ++version_;
  for (const Waiter& waiter : waiters_) waiter.answer->Respond(410, {}, "");
  waiters_.clear();
}

void FeedTable::SetPageRows(int rows) {
  absl::MutexLock lock(&mutex_);
  page_rows_ = rows;
}

Json::Value FeedTable::Body() const {
  Json::Value body;
  body["ver"] = version_;
  body["now_ms"] = static_cast<Json::Int64>(absl::ToUnixMillis(absl::Now()));
  return body;
}

std::vector<std::string> FeedTable::Keys(const std::string& table) const {
  absl::MutexLock lock(&mutex_);
  std::vector<std::string> keys;
  for (const auto& [name, row] : rows_) {
    if (name.first == table && !row.removed) keys.push_back(name.second);
  }
  return keys;
}

void FeedTable::Set(const std::string& table, const std::string& key, Row row) {
  row.version = ++version_;
  rows_[{table, key}] = std::move(row);
  std::erase_if(waiters_, [this](const Waiter& waiter)
                              ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
                                return Tell(waiter);
                              });
}

bool FeedTable::Tell(const Waiter& waiter) {
  Json::Value body = Body();
  body["rows"] = Json::arrayValue;
  for (const auto& [name, row] : rows_) {
    if (name.first != waiter.table || row.version <= waiter.since) continue;
    Json::Value json;
    json["key"] = name.second;
    json["ver"] = row.version;
    if (row.removed) json["tombstone"] = true;
    if (!row.removed) json["value"] = absl::Base64Escape(row.value);
    body["rows"].append(json);
  }
  if (body["rows"].empty()) return false;
  Respond(*waiter.answer, body);
  return true;
}

void FeedTable::Handle(const http::Request& request, const Answer& answer) {
  {
    absl::MutexLock lock(&mutex_);
    if (down_) return answer->Respond(503, {}, "");
  }
  if (request.path == "/v1/rows-get") return Read(request, answer);
  if (request.path == "/v1/rows-feed") return Follow(request, answer);
  if (request.path == "/v1/rows-tx") return Write(request, answer);
  answer->Respond(404, {}, "");
}

void FeedTable::Read(const http::Request& request, const Answer& answer) {
  const std::string table(request.argument("table"));
  const std::string from(request.argument("from"));
  absl::MutexLock lock(&mutex_);
  Json::Value body = Body();
  body["rows"] = Json::arrayValue;
  body["has_more"] = false;
  for (const auto& [name, row] : rows_) {
    if (name.first != table || row.removed || name.second < from) continue;
    if (body["rows"].size() == static_cast<Json::ArrayIndex>(page_rows_)) {
      body["has_more"] = true;
      break;
    }
    Json::Value json;
    json["key"] = name.second;
    json["ver"] = row.version;
    json["value"] = absl::Base64Escape(row.value);
    body["rows"].append(json);
  }
  Respond(*answer, body);
}

void FeedTable::Follow(const http::Request& request, const Answer& answer) {
  const Waiter waiter{std::string(request.argument("table")),
                      NumberOf(request, "since_rev"), answer};
  const auto wait = absl::Milliseconds(NumberOf(request, "wait_ms"));
  absl::MutexLock lock(&mutex_);
  if (waiter.since < oldest_) return answer->Respond(410, {}, "");
  if (Tell(waiter)) return;
  if (wait == absl::ZeroDuration()) return RespondUnchanged(*answer);
  waiters_.push_back(waiter);
  timers_.After(wait, [this, answer] {
    absl::MutexLock held(&mutex_);
    const auto erased = std::erase_if(
        waiters_, [&](const Waiter& one) { return one.answer == answer; });
    if (erased > 0) RespondUnchanged(*answer);
  });
}

void FeedTable::RespondUnchanged(http::Responder& answer) const {
  Json::Value body = Body();
  body["rows"] = Json::arrayValue;
  Respond(answer, body);
}

void FeedTable::Write(const http::Request& request, const Answer& answer) {
  const auto body = ParseObject(request.body);
  if (!body) return answer->Respond(400, {}, "");
  absl::MutexLock lock(&mutex_);
  for (const Json::Value& row : (*body)["writes"]) {
    std::string value;
    absl::Base64Unescape(row["value"].asString(), &value);
    Set(row["table"].asString(), row["key"].asString(), {value, 0, false});
  }
  for (const Json::Value& row : (*body)["drop"]) {
    Set(row["table"].asString(), row["key"].asString(), {"", 0, true});
  }
  Respond(*answer, Body());
}

}  // namespace gentianlb::standins
