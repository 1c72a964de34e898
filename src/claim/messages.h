// What the claim machine is told and what it answers. A claim is the right to
// dispatch one key of one workspace; at most one backend server ever receives
// the key. docs/design/at-most-once.md gives the rules and why they hold.

#ifndef GENTIANLB_CLAIM_MESSAGES_H_
#define GENTIANLB_CLAIM_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "base/result.h"
#include "store/messages.h"

namespace gentianlb::claim {

// Digest of (workspace, idempotency key). It names the claim's row, and the
// stream at a model engine (X-Request-Id), so that any entry host can find
// either later.
using ClaimKey = Id<struct ClaimKeyTag>;

// 32 hexadecimal digits.
ClaimKey DigestKey(const WorkspaceId& workspace, const IdempotencyKey& key);

// Tells whether a key comes back with another body.
std::string DigestBody(std::string_view method_and_path, std::string_view body);

// The time inside a UUIDv7, or nothing when `key` isn't one.
std::optional<absl::Time> TimeOfKey(const IdempotencyKey& key);

// Names one Open() of this process.
using ClaimId = std::uint64_t;

// A keyed request that wants to be dispatched. Requests without a key need no
// claim: one entry host alone knows them.
struct ClaimRequest {
  ClaimKey key;
  std::string body_digest;
  bool idempotent = true;  // False: may not be repeated; needs a durable row.
  int attempt = 0;         // Gentian-Attempt: 1 first, more a re-send; 0: none.
  // Time inside the key, if the workspace's keys carry an honest one.
  std::optional<absl::Time> key_time;
  bool operator==(const ClaimRequest&) const = default;
};

// --- Verdicts ---------------------------------------------------------------

// The claim is held here; it may be dispatched after RequestDispatch().
struct Proceed {
  bool operator==(const Proceed&) const = default;
};

// `owner` (possibly this host) has it: attach to its answer there.
struct Attach {
  EntryHostId owner;
  bool operator==(const Attach&) const = default;
};

// It was dispatched, and its owner is gone or has forgotten the stream. Look
// for the stream called `key` at `server`, or at each server of the service
// when `server` is empty; when there is none: kAnswerGone if `finished`, else
// kClaimInDoubt. Never dispatch.
struct Resume {
  ClaimKey key;
  ServerId server;
  bool finished = false;
  bool operator==(const Resume&) const = default;
};

// Final. `run` follows from the code.
struct Refuse {
  Error error;
  absl::Duration retry_after;
  bool operator==(const Refuse&) const = default;
};

using ClaimVerdict = std::variant<Proceed, Attach, Resume, Refuse>;

// --- Between entry hosts ----------------------------------------------------

// "Have you got this key?" The one who answers that it hasn't also promises
// not to dispatch the key without a row in the table.
struct PeerQuery {
  ClaimKey key;
  EntryHostId requester;
  Incarnation incarnation = 0;  // Of the asker.
  std::string token;     // Of the row found, if any: the claim asked for.
  bool durable = false;  // The asker has its own row in the table.
  bool operator==(const PeerQuery&) const = default;
};

enum class PeerState {
  kNotHeld,    // Not known here, and promised.
  kHeld,       // Waiting or running here: attach.
  kFinished,   // Ran here; `server` has the stream if anyone has.
  kAbandoned,  // Was held here, and never will be dispatched under its token.
  kNoPromise,  // Not known, but can't be promised: as good as no answer.
};

struct PeerAnswer {
  PeerState state = PeerState::kNoPromise;
  Incarnation incarnation = 0;
  // Earlier keys may have been forgotten by this host.
  absl::Time memory_start = absl::InfiniteFuture();
  ServerId server;
  bool operator==(const PeerAnswer&) const = default;
};

// --- Events and actions of the machine --------------------------------------

// Names a table or peer call until its answer.
using CallId = std::uint64_t;

struct ClaimOpened {
  ClaimId id = 0;
  ClaimRequest request;
};

// A server was granted; DispatchAllowed says whether the first byte may leave.
struct DispatchRequested {
  ClaimId id = 0;
  ServerId server;
};

// The request ended after its dispatch. `sent` is false only when it is certain
// that no byte left, so that another server may be wanted.
struct DispatchFinished {
  ClaimId id = 0;
  bool sent = true;
};

// The caller left or the request was refused before its dispatch.
struct ClaimAbandoned {
  ClaimId id = 0;
};

// An Attach didn't work: the owner can't be reached or no longer has it.
struct AttachFailed {
  ClaimId id = 0;
};

struct CommitAnswered {
  CallId call = 0;
  store::CommitResult result;
};

// Nothing: the table gave no answer.
struct ReadAnswered {
  CallId call = 0;
  std::optional<std::vector<store::Row>> rows;
};

// Nothing: the peer can't be reached.
struct PeerAnswered {
  CallId call = 0;
  std::optional<PeerAnswer> answer;
};

struct TimerFired {};

using Event = std::variant<ClaimOpened, DispatchRequested, DispatchFinished,
                           ClaimAbandoned, AttachFailed, CommitAnswered,
                           ReadAnswered, PeerAnswered, TimerFired>;

struct CommitCall {
  CallId call = 0;
  store::Transaction transaction;
  bool operator==(const CommitCall&) const = default;
};

struct ReadCall {
  CallId call = 0;
  std::vector<std::string> keys;
  bool operator==(const ReadCall&) const = default;
};

struct ScanCall {
  CallId call = 0;
  std::string prefix;
  bool operator==(const ScanCall&) const = default;
};

struct QueryCall {
  CallId call = 0;
  EntryHostId peer;
  PeerQuery query;
  bool operator==(const QueryCall&) const = default;
};

struct VerdictGiven {
  ClaimId id = 0;
  ClaimVerdict verdict;
  bool operator==(const VerdictGiven&) const = default;
};

// `refusal` is empty when the first byte may leave now.
struct DispatchAnswered {
  ClaimId id = 0;
  std::optional<Refuse> refusal;
  bool operator==(const DispatchAnswered&) const = default;
};

using Action = std::variant<CommitCall, ReadCall, ScanCall, QueryCall,
                            VerdictGiven, DispatchAnswered>;

}  // namespace gentianlb::claim

#endif  // GENTIANLB_CLAIM_MESSAGES_H_
