// Carries what a backend server, or a peer that holds the answer, sends into an
// answer log. Runs on the client's thread, so that no byte of an answer passes
// through the control thread.

#ifndef GENTIANLB_ENTRY_ANSWER_RELAY_H_
#define GENTIANLB_ENTRY_ANSWER_RELAY_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "entry/answer_log.h"
#include "entry/event_stream.h"
#include "http/client.h"

namespace gentianlb::entry {

// How one transfer ended.
struct RelayEnd {
  bool complete = false;  // The log has the whole answer.
  bool not_sent = false;  // Certain: the server never got the request.
  bool corrupt = false;   // What came can't be trusted; never resumed.
  bool refused = false;   // The server answered an error.
  int status = 0;
  Error error;          // Why it is not complete.
  int next_offset = 0;  // Where a resumed transfer goes on.
  StreamUsage usage;
};

// What the relay tells its owner, from the client's thread.
struct RelayEvents {
  std::function<void(std::string stream_id)> on_stream;
  std::function<void(int tokens)> on_progress;
  std::function<void(RelayEnd end)> on_end;
};

// One answer; any number of transfers one after the other: the next one may
// start after on_end of the last.
class AnswerRelay : public std::enable_shared_from_this<AnswerRelay> {
 public:
  // `engine_request` is the X-Request-Id that each chunk must carry; empty for
  // a plain service, whose answer is passed on whole, and only if it states
  // where it ends.
  AnswerRelay(std::string engine_request, std::shared_ptr<AnswerLog> log,
              RelayEvents events);

  // The sink of the next transfer, whose request has `method`.
  http::TransferSink MakeSink(std::string method);

  // Where a resumed transfer goes on; not while one is under way.
  int next_offset() const { return next_offset_; }

 private:
  http::ReadAction OnHead(int status, std::vector<http::Header> headers);
  void OnData(std::string_view bytes);
  void OnChunks(std::string_view bytes);
  void OnEnd(http::TransferEnd end, const std::string& detail);
  bool Deliver(http::TransferEnd end);
  Error Explain(http::TransferEnd end, const std::string& detail) const;

  bool plain() const { return engine_request_.empty(); }

  const std::string engine_request_;
  const std::shared_ptr<AnswerLog> log_;
  const RelayEvents events_;

  // Of the current transfer.
  std::string method_;
  int status_ = 0;
  std::vector<http::Header> headers_;
  std::string body_;  // Of a plain answer, or an engine's refusal.
  std::unique_ptr<EventStreamReader> reader_;
  Error fault_;
  bool corrupt_ = false;

  int next_offset_ = 0;  // Of the whole answer.
};

}  // namespace gentianlb::entry

#endif  // GENTIANLB_ENTRY_ANSWER_RELAY_H_
