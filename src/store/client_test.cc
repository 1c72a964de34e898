#include "store/client.h"

#include <json/json.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <sstream>

#include "absl/synchronization/mutex.h"
#include "http/server.h"

namespace gentianlb::store {
namespace {

// In-memory table service with configurable faults.
class FakePlatform {
 public:
  FakePlatform() {
    auto started =
        http::Server::Start({}, [this](http::Request request, auto answer) {
          absl::MutexLock lock(&mutex_);
          HandleRequest(request, *answer);
        });
    BOOST_REQUIRE(started.ok());
    server_ = std::move(started.value());
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(server_->port());
  }
  // Drops the answers of the next `count` commits, which still take effect.
  void LoseAnswers(int count) {
    absl::MutexLock lock(&mutex_);
    answers_to_lose_ = count;
  }
  void SetDown(bool down) {
    absl::MutexLock lock(&mutex_);
    down_ = down;
  }
  int commits() {
    absl::MutexLock lock(&mutex_);
    return commits_;
  }

 private:
  void HandleRequest(const http::Request& request, http::Responder& answer)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    if (down_) return answer.Respond(503, {}, "{}");
    Json::Value body;
    std::istringstream(request.body) >> body;
    if (request.path == "/v1/table/commit") return Commit(body, answer);
    if (request.path == "/v1/table/scan") return Scan(body, answer);
    answer.Respond(404, {}, "{}");
  }

  void Commit(const Json::Value& body, http::Responder& answer)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    ++commits_;
    std::string token = body["token"].asString();
    if (!answers_.contains(token)) answers_[token] = Apply(body);
    if (answers_to_lose_ > 0) {
      --answers_to_lose_;
      return answer.Abort();
    }
    const Json::Value& result = answers_[token];
    int status = result.isMember("committed") ? 200 : 409;
    answer.Respond(status, {}, result.toStyledString());
  }

  Json::Value Apply(const Json::Value& body)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    Json::Value conflicts(Json::arrayValue);
    for (const Json::Value& condition : body["conditions"]) {
      std::string key = condition["key"].asString();
      std::uint64_t version = rows_.contains(key) ? rows_[key].version : 0;
      if (version != condition["version"].asUInt64()) conflicts.append(key);
    }
    Json::Value result;
    if (!conflicts.empty()) {
      result["conflicts"] = conflicts;
      return result;
    }
    result["committed"] = true;
    result["versions"] = Json::Value(Json::arrayValue);
    for (const Json::Value& write : body["writes"]) {
      Row& row = rows_[write["key"].asString()];
      row = {write["key"].asString(), write["value"].asString(),
             row.version + 1};
      result["versions"].append(ToJson(row));
    }
    return result;
  }

  void Scan(const Json::Value& body, http::Responder& answer)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    Json::Value result;
    result["rows"] = Json::Value(Json::arrayValue);
    auto row = rows_.upper_bound(body["after"].asString());
    for (int i = 0; i < 2 && row != rows_.end(); ++i, ++row) {
      result["rows"].append(ToJson(row->second));
    }
    result["more"] = row != rows_.end();
    answer.Respond(200, {}, result.toStyledString());
  }

  static Json::Value ToJson(const Row& row) {
    Json::Value json;
    json["key"] = row.key;
    json["value"] = row.value;
    json["version"] = Json::UInt64{row.version};
    return json;
  }

  absl::Mutex mutex_;
  std::map<std::string, Row> rows_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, Json::Value> answers_ ABSL_GUARDED_BY(mutex_);
  int answers_to_lose_ ABSL_GUARDED_BY(mutex_) = 0;
  bool down_ ABSL_GUARDED_BY(mutex_) = false;
  int commits_ ABSL_GUARDED_BY(mutex_) = 0;
  std::unique_ptr<http::Server> server_;
};

// Runs the control thread's work on the test's thread, with a mailbox and
// timers.
class ControlThread {
 public:
  explicit ControlThread(const std::string& address)
      : client_({.address = address, .host_name = "host/1"}, &http_, &timers_,
                [this](std::function<void()> closure) {
                  absl::MutexLock lock(&mutex_);
                  mailbox_.push_back(std::move(closure));
                }) {}

  Client& client() { return client_; }

  void RunUntil(const std::function<bool()>& done) {
    while (!done()) {
      std::vector<std::function<void()>> closures;
      {
        absl::MutexLock lock(&mutex_);
        auto has_mail = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
          return !mailbox_.empty();
        };
        mutex_.AwaitWithDeadline(absl::Condition(&has_mail),
                                 absl::Now() + absl::Milliseconds(2));
        closures.swap(mailbox_);
      }
      for (auto& closure : closures) closure();
      timers_.Advance(absl::Now());
    }
  }

  CommitResult Commit(Transaction transaction) {
    std::optional<CommitResult> received;
    client_.Commit(std::move(transaction),
                   [&](CommitResult result) { received = std::move(result); });
    RunUntil([&] { return received.has_value(); });
    return *received;
  }

 private:
  absl::Mutex mutex_;
  std::vector<std::function<void()>> mailbox_ ABSL_GUARDED_BY(mutex_);
  TimerService timers_;
  http::Client http_;
  Client client_;
};

Transaction Insert(const std::string& key, const std::string& token = "") {
  return {token, {{key, 0}}, {{key, "value"}}};
}

BOOST_AUTO_TEST_CASE(GroupsCommitsAndScansPageByPage) {
  FakePlatform platform;
  ControlThread control(platform.address());
  int done = 0;
  for (const char* key : {"a", "b", "c", "d", "e"}) {
    control.client().Commit(Insert(key), [&](const CommitResult& result) {
      done += result.state == CommitState::kCommitted;
    });
  }
  control.RunUntil([&] { return done == 5; });
  BOOST_TEST(platform.commits() == 1);
  std::optional<ReadResult> rows;
  control.client().Scan(
      "", [&](ReadResult received) { rows = std::move(received); });
  control.RunUntil([&] { return rows.has_value(); });
  BOOST_REQUIRE(rows->ok());
  BOOST_TEST(rows->value().size() == 5u);
}

// A write takes effect and its answer is lost. A retry with a new token would
// conflict with the write's own row, and the caller would be refused although
// it holds the claim.
BOOST_AUTO_TEST_CASE(LostAnswerIsRetriedWithTheSameToken) {
  FakePlatform platform;
  ControlThread control(platform.address());
  platform.LoseAnswers(1);
  CommitResult result = control.Commit(Insert("a"));
  BOOST_TEST((result.state == CommitState::kCommitted));
  BOOST_TEST(result.versions[0].version == 1u);
  BOOST_TEST(control.client().counters().token_retries == 1u);
}

// Every answer is lost until the retries are used up. The client must not
// report that nothing was written: the caller would report "not run", and
// another host could find a row that is never deleted.
BOOST_AUTO_TEST_CASE(LostAnswersAreReportedAsUnknown) {
  FakePlatform platform;
  ControlThread control(platform.address());
  platform.LoseAnswers(1000);
  CommitResult result = control.Commit(Insert("a", "token"));
  BOOST_TEST((result.state == CommitState::kUnknown));
}

// The platform has an outage. Every commit must report that nothing was
// written, and after the recovery commits must succeed again.
BOOST_AUTO_TEST_CASE(OutageReportsNotAppliedAndRecovers) {
  FakePlatform platform;
  ControlThread control(platform.address());
  std::vector<bool> states;
  control.client().OnStateChange([&](bool up) { states.push_back(up); });
  platform.SetDown(true);
  for (int i = 0; i < 3; ++i) {
    CommitResult result = control.Commit(Insert("a" + std::to_string(i)));
    BOOST_TEST((result.state == CommitState::kNotApplied));
  }
  BOOST_TEST(!control.client().up());
  platform.SetDown(false);
  while (control.Commit(Insert("b")).state == CommitState::kNotApplied) {
  }
  BOOST_TEST(control.client().up());
  BOOST_TEST(states == (std::vector<bool>{false, true}),
             boost::test_tools::per_element());
}

}  // namespace
}  // namespace gentianlb::store
