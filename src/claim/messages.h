// Events, actions and messages of the claim machine. A claim is the right to
// dispatch one key of one workspace; at most one backend server ever receives
// the key. docs/design/at-most-once.md gives the rules and their proof.

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

// Digest of (workspace, idempotency key). It names the claim's row and the
// stream at a model engine (X-Request-Id), so that any entry host can find them
// later.
using ClaimKey = Id<struct ClaimKeyTag>;

// Returns 32 hexadecimal digits.
ClaimKey DigestKey(const WorkspaceId& workspace, const IdempotencyKey& key);

// Returns a digest that shows whether a key is re-sent with another body.
std::string DigestBody(std::string_view method_and_path, std::string_view body);

// Returns the time in a UUIDv7, or nothing when `key` is not a UUIDv7.
std::optional<absl::Time> TimeOfKey(const IdempotencyKey& key);

// Identifies one Open() call of this process.
using ClaimId = std::uint64_t;

// A keyed request to be dispatched. Requests without a key need no claim, since
// only one entry host receives them.
struct ClaimRequest {
  ClaimKey key;
  std::string body_digest;
  bool idempotent = true;  // False: must not run twice; needs a durable row.
  int attempt = 0;  // Gentian-Attempt: 1 first, >1 a re-send, 0 no header.
  // Time in the key, if the workspace's keys carry a reliable time.
  std::optional<absl::Time> key_time;
  bool operator==(const ClaimRequest&) const = default;
};

// --- Verdicts ---------------------------------------------------------------

// This host holds the claim and may dispatch it after RequestDispatch().
struct Proceed {
  bool operator==(const Proceed&) const = default;
};

// `owner`, possibly this host, holds the claim: read its answer from there.
struct Attach {
  EntryHostId owner;
  bool operator==(const Attach&) const = default;
};

// The key was dispatched, and its owner is unavailable or has forgotten the
// stream. The caller looks for the stream named `key` at `server`, or at each
// server of the service if `server` is empty. Without a stream the result is
// kAnswerGone if `finished`, else kClaimInDoubt. The key is never dispatched.
struct Resume {
  ClaimKey key;
  ServerId server;
  bool finished = false;
  // False: the owner sent the request so long ago that a server which has no
  // such stream now won't have one later.
  bool may_be_in_transit = false;
  bool operator==(const Resume&) const = default;
};

// Final refusal. Describe(error.code) tells whether the request ran.
struct Refuse {
  Error error;
  absl::Duration retry_after;
  bool operator==(const Refuse&) const = default;
};

using ClaimVerdict = std::variant<Proceed, Attach, Resume, Refuse>;

// --- Messages between entry hosts -------------------------------------------

// Asks a peer whether it holds or ran a key. A peer that answers kNotHeld also
// promises not to dispatch the key without a row in the table.
struct PeerQuery {
  ClaimKey key;
  EntryHostId requester;
  Incarnation incarnation = 0;  // Of the requester.
  std::string token;            // Token of the row found, if any.
  bool durable = false;         // The requester's own row is in the table.
  bool operator==(const PeerQuery&) const = default;
};

enum class PeerState {
  kNotHeld,    // Not known at the peer, which gives the promise.
  kHeld,       // Waiting or running at the peer: attach.
  kFinished,   // Ran at the peer; its stream, if kept, is at `server`.
  kAbandoned,  // Held before; nothing will be dispatched under its token.
  kNoPromise,  // Not known, and no promise is given: equals no answer.
};

struct PeerAnswer {
  PeerState state = PeerState::kNoPromise;
  Incarnation incarnation = 0;
  // The peer may have forgotten keys that were sent before this time.
  absl::Time memory_start = absl::InfiniteFuture();
  ServerId server;
  bool operator==(const PeerAnswer&) const = default;
};

// --- Events and actions of the claim machine --------------------------------

// Identifies a table or peer call until its answer arrives.
using CallId = std::uint64_t;

struct ClaimOpened {
  ClaimId id = 0;
  ClaimRequest request;
};

// A server was granted. DispatchAnswered says whether the first byte may be
// sent.
struct DispatchRequested {
  ClaimId id = 0;
  ServerId server;
};

// The request finished after its dispatch. `sent` is false only when it is
// certain that no byte was sent; another server may then be requested.
struct DispatchFinished {
  ClaimId id = 0;
  bool sent = true;
};

// The caller disconnected, or the request was refused before its dispatch.
struct ClaimAbandoned {
  ClaimId id = 0;
};

// An Attach failed: the owner is unreachable or no longer has the answer.
struct AttachFailed {
  ClaimId id = 0;
};

struct CommitAnswered {
  CallId call = 0;
  store::CommitResult result;
};

// `rows` is empty if the table gave no answer.
struct ReadAnswered {
  CallId call = 0;
  std::optional<std::vector<store::Row>> rows;
};

// `answer` is empty if the peer is unreachable.
struct PeerAnswered {
  CallId call = 0;
  std::optional<PeerAnswer> answer;
};

struct TimePassed {};

using Event = std::variant<ClaimOpened, DispatchRequested, DispatchFinished,
                           ClaimAbandoned, AttachFailed, CommitAnswered,
                           ReadAnswered, PeerAnswered, TimePassed>;

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

// `refusal` is empty when the first byte may be sent now.
struct DispatchAnswered {
  ClaimId id = 0;
  std::optional<Refuse> refusal;
  bool operator==(const DispatchAnswered&) const = default;
};

using Action = std::variant<CommitCall, ReadCall, ScanCall, QueryCall,
                            VerdictGiven, DispatchAnswered>;

}  // namespace gentianlb::claim

#endif  // GENTIANLB_CLAIM_MESSAGES_H_
