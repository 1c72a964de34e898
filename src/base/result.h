// Numbered result codes and the error type of the system.
//
// Within one thread, functions return Result<T> (Boost.LEAF), which carries an
// Error. LEAF stores error objects in the thread that raised them, so results
// that are passed between threads are an Outcome<T>, a plain value that holds a
// T or an Error.

#ifndef GENTIANLB_BASE_RESULT_H_
#define GENTIANLB_BASE_RESULT_H_

#include <boost/leaf.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace gentianlb {

template <typename T>
using Result = boost::leaf::result<T>;

// Whether a backend server ran a request that was refused.
enum class RunState {
  kNo,       // Certainly not run, and never will be under this claim.
  kUnknown,  // It may or may not have run.
};

// One row per code: identifier, number, HTTP status, run state and meaning.
// docs/RESULT_CODES.md repeats the table; a test compares them. A number never
// changes its meaning and is not reused after it is retired.
//   1xxx the caller's message       2xxx refused under load or limits
//   3xxx backend servers            4xxx claims and keys
//   5xxx platform and control       6xxx settings and intent
//   7xxx operators and peers
#define GENTIANLB_RESULT_CODES(X)                                             \
  X(kMalformedRequest, 1001, 400, kNo,                                        \
    "the message is not valid HTTP or JSON")                                  \
  X(kBodyTooLarge, 1002, 413, kNo, "the body exceeds the configured limit")   \
  X(kHeaderTooLarge, 1003, 431, kNo, "the headers exceed the limit")          \
  X(kRequestTooSlow, 1004, 408, kNo, "the message did not arrive in time")    \
  X(kUnknownPath, 1005, 404, kNo, "no service is routed under this path")     \
  X(kBadMethod, 1006, 405, kNo, "the method is not allowed on this path")     \
  X(kBadToken, 1007, 401, kNo, "the bearer token is missing or unknown")      \
  X(kNotPermitted, 1008, 403, kNo, "the workspace may not use this service")  \
  X(kUnknownModel, 1009, 404, kNo, "no such model for this workspace")        \
  X(kBadDeadline, 1010, 400, kNo, "the deadline header is not a duration")    \
  X(kBadKey, 1011, 400, kNo, "the idempotency key is malformed")              \
  X(kKeyRequired, 1012, 400, kNo, "a non-idempotent call needs a key")        \
  X(kBadParameter, 1013, 400, kNo, "a field of the request is out of range")  \
  X(kDeadlineUnreachable, 2001, 503, kNo, "it can't finish in time")          \
  X(kQueueFull, 2002, 503, kNo, "the queue for this service is full")         \
  X(kWorkspaceQueueFull, 2003, 429, kNo, "the workspace's queue is full")     \
  X(kRateLimited, 2004, 429, kNo, "the workspace is over its rate")           \
  X(kShedForHigherTier, 2005, 503, kNo, "shed in favour of a higher tier")    \
  X(kDraining, 2006, 503, kNo, "this entry host is shutting down")            \
  X(kPowerShort, 2007, 503, kNo, "the power cap leaves no room in time")      \
  X(kDeadlinePassed, 2008, 504, kNo, "the deadline passed while waiting")     \
  X(kCallerGone, 2009, 499, kNo, "the caller closed the connection")          \
  X(kHoldsTooMuch, 2010, 503, kNo, "this host holds as much as it may")       \
  X(kNoServer, 3001, 503, kNo, "no backend server can take this request")     \
  X(kServerUnreachable, 3002, 502, kNo, "no connection to a backend server")  \
  X(kServerBroke, 3003, 502, kUnknown, "the server broke off the answer")     \
  X(kServerRefused, 3004, 502, kUnknown, "the server answered an error")      \
  X(kServerTimeout, 3005, 504, kUnknown, "the server did not finish in time") \
  X(kCancelledRunning, 3006, 504, kUnknown, "cancelled after it had begun")   \
  X(kEndsServers, 3007, 503, kNo,                                             \
    "servers have ended under this content or a part of its prompt")          \
  X(kNoServerOfVersion, 3008, 503, kNo,                                       \
    "no server is known to have the version that began this stream")          \
  X(kAnswerTooLong, 3009, 502, kUnknown, "the server's answer does not end")  \
  X(kCallerTooSlow, 3010, 502, kUnknown, "the caller does not read on")       \
  X(kServersCoolingDown, 3011, 503, kNo,                                      \
    "the servers have asked this host to send them nothing for now")          \
  X(kClaimHeldElsewhere, 4001, 409, kUnknown,                                 \
    "the key is being run elsewhere")                                         \
  X(kClaimStoreDown, 4002, 503, kNo, "the key can't be claimed now")          \
  X(kClaimInDoubt, 4003, 503, kUnknown, "whether the key ran isn't known")    \
  X(kKeyAlreadyRun, 4004, 409, kUnknown, "the key was already run")           \
  X(kKeyReused, 4005, 422, kNo, "the key was used with another body")         \
  X(kAnswerGone, 4006, 410, kUnknown, "the answer is no longer available")    \
  X(kPlatformUnavailable, 5001, 503, kNo, "the platform does not answer")     \
  X(kPlatformConflict, 5002, 409, kNo, "a conditional write found a change")  \
  X(kPlatformUnknown, 5003, 503, kUnknown, "a write's answer was lost")       \
  X(kPlatformRate, 5004, 429, kNo, "the platform's rate limit is reached")    \
  X(kNotReady, 5005, 503, kNo, "no configuration is in force yet")            \
  X(kLeaseLost, 5006, 409, kNo, "the lease has lapsed or moved")              \
  X(kBadPlatformAnswer, 5007, 502, kUnknown, "the answer does not parse")     \
  X(kSettingsSyntax, 6001, 400, kNo, "a line is not valid INI")               \
  X(kUnknownSection, 6002, 400, kNo, "the section is not known")              \
  X(kUnknownSetting, 6003, 400, kNo, "the key is not known")                  \
  X(kDuplicateSetting, 6004, 400, kNo, "the key or section stands twice")     \
  X(kBadUnit, 6005, 400, kNo, "the value has no or a wrong unit")             \
  X(kOutOfRange, 6006, 400, kNo, "the value is out of range")                 \
  X(kContradiction, 6007, 400, kNo, "two settings contradict each other")     \
  X(kMissingSetting, 6008, 400, kNo, "a required key is missing")             \
  X(kFileUnreadable, 6009, 400, kNo, "the file can't be read")                \
  X(kBadTrace, 6010, 400, kNo, "a line of the trace is not valid")            \
  X(kBadPeerKey, 7001, 401, kNo, "the peer or operator key is wrong")         \
  X(kMalformedRpc, 7002, 400, kNo, "the JSON-RPC message is malformed")       \
  X(kStaleMessage, 7003, 409, kNo, "a replayed or outdated message")          \
  X(kUnknownPlan, 7004, 404, kNo, "no such plan, or it has expired")          \
  X(kPlanConflict, 7005, 409, kNo, "another change was confirmed first")      \
  X(kStaleFence, 7006, 409, kNo, "the fencing number is outdated")            \
  X(kPeerUnreachable, 7007, 503, kNo, "the entry host does not answer")       \
  X(kUsage, 7008, 400, kNo, "the command line is not valid")                  \
  X(kInternal, 9001, 500, kUnknown, "a fault in the system itself")

enum class Code : int {
#define GENTIANLB_ENUM(name, number, status, run, text) name = number,
  GENTIANLB_RESULT_CODES(GENTIANLB_ENUM)
#undef GENTIANLB_ENUM
};

// The table row of one code.
struct CodeInfo {
  Code code;
  std::string_view name;  // Without the leading k.
  int http_status;
  RunState run;
  std::string_view meaning;
};

// Returns the row of `code`.
const CodeInfo& Describe(Code code);

// Returns all rows, ordered by number.
const std::vector<CodeInfo>& AllCodes();

// An error: its code and a human-readable detail.
struct Error {
  Code code = Code::kInternal;
  std::string detail;
  bool operator==(const Error&) const = default;
};

// Raises an error inside a function that returns Result<T>.
inline boost::leaf::error_id Fail(Code code, std::string detail) {
  return boost::leaf::new_error(Error{code, std::move(detail)});
}

// Either a value or an Error; may be stored and passed between threads.
template <typename T>
class [[nodiscard]] Outcome {
 public:
  Outcome(T value) : state_(std::move(value)) {}      // NOLINT: implicit
  Outcome(Error error) : state_(std::move(error)) {}  // NOLINT: implicit

  bool ok() const { return std::holds_alternative<T>(state_); }
  const T& value() const { return std::get<T>(state_); }
  T& value() { return std::get<T>(state_); }
  const Error& error() const { return std::get<Error>(state_); }

 private:
  std::variant<T, Error> state_;
};

// Runs `body`, which returns Result<T>, and returns its value or the error that
// it raised as an Outcome<T>.
template <typename Body>
auto Capture(Body&& body) {
  using T = std::decay_t<decltype(body().value())>;
  return boost::leaf::try_handle_all(
      [&]() -> Result<Outcome<T>> {
        BOOST_LEAF_AUTO(value, body());
        return Outcome<T>(std::move(value));
      },
      [](const Error& error) { return Outcome<T>(error); },
      [] {
        return Outcome<T>(Error{Code::kInternal, "unmatched error"});
      });
}

}  // namespace gentianlb

#endif  // GENTIANLB_BASE_RESULT_H_
