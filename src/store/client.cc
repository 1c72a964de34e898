#include "store/client.h"

#include <algorithm>
#include <deque>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/random/random.h"
#include "absl/strings/str_cat.h"

namespace gentianlb::store {
namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;
constexpr int kServerErrors = 500;

// Result of a call after its retries.
struct CallResult {
  AnswerKind kind = AnswerKind::kNotApplied;
  http::Reply reply;
};

struct Call {
  CallKind kind = CallKind::kRead;
  http::ClientRequest request;
  std::function<void(CallResult)> done;
  absl::Time deadline;
  int retries = 0;
  bool maybe_applied = false;  // An earlier attempt was lost.
};

AnswerKind Classify(const http::Reply& reply) {
  if (reply.end == http::TransferEnd::kNotSent) return AnswerKind::kNotApplied;
  if (reply.end != http::TransferEnd::kComplete) return AnswerKind::kLost;
  if (reply.status == kTooMany) return AnswerKind::kRateLimited;
  if (reply.status == kUnavailable) return AnswerKind::kNotApplied;
  // Other errors of the service may occur after the write.
  if (reply.status >= kServerErrors) return AnswerKind::kLost;
  return AnswerKind::kAnswered;
}

CommitResult ToCommitResult(const CallResult& outcome) {
  if (outcome.kind == AnswerKind::kLost) return {CommitState::kUnknown, {}, {}};
  if (outcome.kind != AnswerKind::kAnswered) {
    return {CommitState::kNotApplied, {}, {}};
  }
  if (outcome.reply.status != kOk && outcome.reply.status != kConflict) {
    return {CommitState::kNotApplied, {}, {}};
  }
  auto decoded = Capture(
      [&] { return DecodeCommit(outcome.reply.status, outcome.reply.body); });
  // An answer that cannot be decoded counts as lost.
  if (!decoded.ok()) return {CommitState::kUnknown, {}, {}};
  return decoded.value();
}

// Returns the body of a successful answer, or an error.
Outcome<std::string> ToBody(CallResult outcome) {
  if (outcome.kind == AnswerKind::kRateLimited) {
    return Error{Code::kPlatformRate, "rate limited"};
  }
  if (outcome.kind != AnswerKind::kAnswered) {
    return Error{Code::kPlatformUnavailable, outcome.reply.detail};
  }
  if (outcome.reply.status != kOk) {
    return Error{Code::kBadPlatformAnswer,
                 absl::StrCat("status ", outcome.reply.status)};
  }
  return std::move(outcome.reply.body);
}

}  // namespace

// Shared with the transfers in flight, which may outlive the client.
struct Client::Impl : std::enable_shared_from_this<Impl> {
  Impl(ClientOptions options_in, http::Client* http_in, TimerService* timers_in,
       Post post_in)
      : options(std::move(options_in)),
        http(http_in),
        timers(timers_in),
        post(std::move(post_in)),
        gate(options.gate),
        group(options.group) {}

  ClientOptions options;
  http::Client* http;
  TimerService* timers;
  Post post;
  CallGate gate;
  TransactionGroup group;
  std::deque<Call> waiting;
  absl::flat_hash_map<MemberId, std::function<void(CommitResult)>> members;
  MemberId next_member = 1;
  std::uint64_t next_token = 1;
  TimerId wakeup = 0;
  bool was_up = true;
  bool closed = false;
  std::function<void(bool)> on_state;
  absl::BitGen random;
  ClientCounters counters;

  http::ClientRequest Request(std::string method, std::string_view path,
                              std::string body) const {
    http::ClientRequest request;
    request.method = std::move(method);
    request.url = "http://" + options.address + std::string(path);
    request.body = std::move(body);
    if (!request.body.empty()) {
      request.headers.push_back({"Content-Type", "application/json"});
    }
    return request;
  }

  void Submit(CallKind kind, http::ClientRequest request,
              std::function<void(CallResult)> done) {
    absl::Time now = absl::Now();
    Call call{kind, std::move(request), std::move(done),
              now + options.deadline};
    if (waiting.size() >= options.max_waiting) {
      ++counters.rejected_immediately;
      Finish(std::move(call), AnswerKind::kNotApplied, {});
      return;
    }
    waiting.push_back(std::move(call));
    ProcessQueue(now);
  }

  // Sends the calls that may be sent, and sets the timer for the others.
  void ProcessQueue(absl::Time now) {
    if (closed) return;
    FormBatches(now);
    std::deque<Call> remaining;
    while (!waiting.empty()) {
      Call call = std::move(waiting.front());
      waiting.pop_front();
      StartOrQueue(std::move(call), now, &remaining);
    }
    // A callback may have added calls in the meantime.
    remaining.insert(remaining.end(), std::make_move_iterator(waiting.begin()),
                     std::make_move_iterator(waiting.end()));
    waiting = std::move(remaining);
    ReportState();
    SetTimer(now);
  }

  // Sends the call, appends it to `remaining`, or fails it.
  void StartOrQueue(Call call, absl::Time now, std::deque<Call>* remaining) {
    if (now >= call.deadline) {
      Finish(std::move(call), AnswerKind::kNotApplied, {});
      return;
    }
    switch (gate.TryStart(call.kind, now)) {
      case GateState::kOpen:
        Send(std::move(call), now);
        return;
      case GateState::kWait:
        remaining->push_back(std::move(call));
        return;
      case GateState::kDown:
        ++counters.rejected_immediately;
        Finish(std::move(call), AnswerKind::kNotApplied, {});
        return;
    }
  }

  // Forms batches and starts their commits. A batch is formed only when its
  // commit can be sent: until then, more transactions join the group.
  void FormBatches(absl::Time now) {
    while (group.NextDue() <= now &&
           (gate.NextAt(CallKind::kWrite, now) <= now || !gate.up())) {
      std::optional<Batch> batch = group.TakeBatch(now);
      if (!batch) return;
      batch->transaction.token =
          absl::StrCat(options.host_name, "/group/", next_token++);
      ++counters.commits;
      http::ClientRequest request =
          Request("POST", "/v1/table/commit", EncodeCommit(batch->transaction));
      auto shared = std::make_shared<Batch>(std::move(*batch));
      Call call{CallKind::kWrite, std::move(request),
                [this, shared](CallResult outcome) {
                  FinishMembers(std::move(*shared), ToCommitResult(outcome));
                },
                now + options.deadline};
      std::deque<Call> remaining;
      StartOrQueue(std::move(call), now, &remaining);
      for (Call& queued : remaining) waiting.push_back(std::move(queued));
    }
  }

  void FinishMembers(Batch batch, const CommitResult& result) {
    for (MemberResult& finished : group.OnResult(std::move(batch), result)) {
      auto node = members.extract(finished.id);
      if (!node.empty()) node.mapped()(std::move(finished.result));
    }
  }

  void Send(Call call, absl::Time now) {
    call.request.timeout =
        std::min(options.attempt_timeout, call.deadline - now);
    http::ClientRequest request = call.request;
    auto shared = std::make_shared<Call>(std::move(call));
    auto self = shared_from_this();
    http->Fetch(std::move(request), [self, shared](http::Reply reply) {
      // Move from the HTTP client's thread to the control thread.
      auto moved = std::make_shared<http::Reply>(std::move(reply));
      self->post([self, shared, moved] {
        if (!self->closed) self->OnReply(std::move(*shared), std::move(*moved));
      });
    });
  }

  void OnReply(Call call, http::Reply reply) {
    absl::Time now = absl::Now();
    AnswerKind kind = Classify(reply);
    bool lost = kind == AnswerKind::kLost;
    double random_fraction = absl::Uniform(random, 0.0, 1.0);
    auto retry_at = gate.OnAnswer(kind, call.retries, now, random_fraction);
    call.maybe_applied = call.maybe_applied || lost;
    if (kind != AnswerKind::kAnswered && retry_at &&
        *retry_at < call.deadline) {
      ++call.retries;
      if (lost) ++counters.token_retries;
      RetryAt(std::move(call), *retry_at);
    } else {
      Finish(std::move(call), kind, std::move(reply));
    }
    ProcessQueue(now);
  }

  void RetryAt(Call call, absl::Time when) {
    auto shared = std::make_shared<Call>(std::move(call));
    timers->At(when, [self = shared_from_this(), shared](absl::Time now) {
      if (self->closed) return;
      self->waiting.push_front(std::move(*shared));
      self->ProcessQueue(now);
    });
  }

  void Finish(Call call, AnswerKind kind, http::Reply reply) {
    // After a lost attempt the result stays unknown until the service answers,
    // even if a retry was refused. With kNotApplied the caller would report
    // "not run" for a claim that another host may find in the table.
    bool in_doubt = call.maybe_applied && kind != AnswerKind::kAnswered;
    if (in_doubt) kind = AnswerKind::kLost;
    // Post the callback even if the call failed at once, so that no caller is
    // called back from within its own call.
    auto outcome =
        std::make_shared<CallResult>(CallResult{kind, std::move(reply)});
    post([self = shared_from_this(), done = std::move(call.done), outcome] {
      if (self->closed) return;
      done(std::move(*outcome));
      // Members of a group with a conflict may wait for the next batch.
      self->ProcessQueue(absl::Now());
    });
  }

  void ReportState() {
    if (gate.up() == was_up) return;
    was_up = gate.up();
    if (on_state) on_state(was_up);
  }

  void SetTimer(absl::Time now) {
    absl::Time due = group.NextDue();
    if (due <= now) due = gate.NextAt(CallKind::kWrite, now);
    for (const Call& call : waiting) {
      due = std::min({due, call.deadline, gate.NextAt(call.kind, now)});
    }
    timers->Cancel(wakeup);
    wakeup = 0;
    if (due == absl::InfiniteFuture()) return;
    wakeup = timers->At(std::max(due, now + absl::Microseconds(1)),
                        [self = shared_from_this()](absl::Time at) {
                          self->wakeup = 0;
                          self->ProcessQueue(at);
                        });
  }

  void ReadRows(std::string path, std::string body,
                std::function<void(Outcome<ScanPage>)> done) {
    Submit(CallKind::kRead, Request("POST", path, std::move(body)),
           [done = std::move(done)](CallResult outcome) {
             Outcome<std::string> text = ToBody(std::move(outcome));
             if (!text.ok()) return done(text.error());
             done(Capture([&] { return DecodeRows(text.value()); }));
           });
  }

  void ScanFrom(std::string prefix, std::string after, std::vector<Row> rows,
                std::function<void(ReadResult)> done) {
    std::string body = EncodeScan(prefix, after);
    ReadRows("/v1/table/scan", std::move(body),
             [this, prefix = std::move(prefix), rows = std::move(rows),
              done = std::move(done)](Outcome<ScanPage> page) mutable {
               if (!page.ok()) return done(page.error());
               std::vector<Row>& page_rows = page.value().rows;
               bool more = page.value().more && !page_rows.empty();
               rows.insert(rows.end(),
                           std::make_move_iterator(page_rows.begin()),
                           std::make_move_iterator(page_rows.end()));
               if (!more) return done(std::move(rows));
               std::string last = rows.back().key;
               ScanFrom(std::move(prefix), std::move(last), std::move(rows),
                        std::move(done));
             });
  }
};

Client::Client(ClientOptions options, http::Client* http, TimerService* timers,
               Post post)
    : impl_(std::make_shared<Impl>(std::move(options), http, timers,
                                   std::move(post))) {}

Client::~Client() {
  impl_->closed = true;
  impl_->timers->Cancel(impl_->wakeup);
}

void Client::Commit(Transaction transaction,
                    std::function<void(CommitResult)> done) {
  ++impl_->counters.transactions;
  absl::Time now = absl::Now();
  if (transaction.token.empty()) {
    MemberId id = impl_->next_member++;
    impl_->members[id] = std::move(done);
    impl_->group.Add(id, std::move(transaction), now);
    impl_->ProcessQueue(now);
    return;
  }
  ++impl_->counters.commits;
  impl_->Submit(
      CallKind::kWrite,
      impl_->Request("POST", "/v1/table/commit", EncodeCommit(transaction)),
      [done = std::move(done)](const CallResult& outcome) {
        done(ToCommitResult(outcome));
      });
}

void Client::Read(std::vector<std::string> keys,
                  std::function<void(ReadResult)> done) {
  impl_->ReadRows("/v1/table/read", EncodeRead(keys),
                  [done = std::move(done)](Outcome<ScanPage> page) {
                    if (!page.ok()) return done(page.error());
                    done(std::move(page.value().rows));
                  });
}

void Client::Scan(std::string prefix, std::function<void(ReadResult)> done) {
  impl_->ScanFrom(std::move(prefix), "", {}, std::move(done));
}

void Client::PutObject(std::string_view name, std::string bytes,
                       std::function<void(std::optional<Error>)> done) {
  http::ClientRequest request = impl_->Request(
      "PUT", "/v1/objects/" + std::string(name), std::move(bytes));
  impl_->Submit(
      CallKind::kWrite, std::move(request),
      [done = std::move(done)](CallResult outcome) {
        Outcome<std::string> body = ToBody(std::move(outcome));
        done(body.ok() ? std::nullopt : std::optional<Error>(body.error()));
      });
}

void Client::GetObject(std::string_view name,
                       std::function<void(Outcome<std::string>)> done) {
  impl_->Submit(CallKind::kRead,
                impl_->Request("GET", "/v1/objects/" + std::string(name), ""),
                [done = std::move(done)](CallResult outcome) {
                  done(ToBody(std::move(outcome)));
                });
}

void Client::ListHosts(
    std::function<void(Outcome<std::vector<ListedHost>>)> done) {
  impl_->Submit(CallKind::kRead, impl_->Request("GET", "/v1/hosts", ""),
                [done = std::move(done)](CallResult outcome) {
                  Outcome<std::string> body = ToBody(std::move(outcome));
                  if (!body.ok()) return done(body.error());
                  done(Capture([&] { return DecodeHosts(body.value()); }));
                });
}

void Client::SetLiveHosts(int hosts) { impl_->gate.SetHosts(hosts); }

void Client::OnStateChange(std::function<void(bool up)> callback) {
  impl_->on_state = std::move(callback);
}

bool Client::up() const { return impl_->gate.up(); }

ClientCounters Client::counters() const {
  ClientCounters counters = impl_->counters;
  counters.gate = impl_->gate.counters();
  return counters;
}

}  // namespace gentianlb::store
