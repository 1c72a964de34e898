// What is known of the sends of one request: whether one is open, and whether
// one that ended may have run it.
//
// Decisions come from dispatchers on several hosts, over a network that loses,
// doubles and delays them, and from timers. Whatever arrives, a request that
// may run once must not be sent while a server may have it, and no answer may
// promise "not run" of it.

#ifndef GENTIANLB_GATEWAY_SEND_STATE_H_
#define GENTIANLB_GATEWAY_SEND_STATE_H_

namespace gentianlb::gateway {

enum class SendEnd {
  kNotRun,      // Not sent, or the server states that it has not run it.
  kMayHaveRun,  // Anything else.
};

class SendState {
 public:
  bool operator==(const SendState&) const = default;

  // Returns whether a server has the request.
  bool open() const { return open_; }
  // Returns whether an earlier send may have run the request.
  bool may_have_run() const { return may_have_run_; }

  // Returns whether a server may get the request now. `repeatable`: it may run
  // more than once.
  bool MayBegin(bool repeatable) const {
    return !open_ && (repeatable || !may_have_run_);
  }
  // Returns whether it is true that the request has not run and never will, if
  // it is not sent any more.
  bool MayPromiseNotRun() const { return !open_ && !may_have_run_; }

  // To be called only if MayBegin().
  void Begin() { open_ = true; }
  // Does nothing if no send is open.
  void End(SendEnd end) {
    if (open_ && end == SendEnd::kMayHaveRun) may_have_run_ = true;
    open_ = false;
  }

 private:
  bool open_ = false;
  bool may_have_run_ = false;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_SEND_STATE_H_
