// A caller's connection to a server on an event loop. It reads a request,
// passes it on and writes the response, one at a time. What it holds grows by
// need: an idle connection holds no bytes, and the head of a response finds
// room whatever the request has taken.

#ifndef GENTIANLB_HTTP_LOOP_CONNECTION_H_
#define GENTIANLB_HTTP_LOOP_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "base/byte_budget.h"
#include "base/result.h"
#include "http/messages.h"
#include "http/request_parser.h"
#include "http/response_text.h"
#include "http/server_limits.h"
#include "loop/event_loop.h"

namespace gentianlb::http {

using RequestHandler =
    std::function<void(Request request, std::shared_ptr<Responder> responder)>;

class LoopConnection;

// What the connections of a server share.
struct LoopServerState {
  loop::EventLoop* loop = nullptr;
  ServerLimits limits;
  std::shared_ptr<ByteBudget> budget;  // Null: nothing is counted.
  RequestHandler handler;
  // Called last by a connection that has closed.
  std::function<void(LoopConnection* connection)> on_closed;
  std::string block;  // Bytes are read here first.
  std::size_t open_responses = 0;
  std::size_t lingering = 0;  // Connections that wait for their caller's end.

  // Returns the header Date of now.
  const std::string& Date();

 private:
  std::string date_;
  absl::Time date_until_ = absl::InfinitePast();
};

class LoopConnection : public std::enable_shared_from_this<LoopConnection> {
 public:
  // Owns `socket`, which must not block. `state` must outlive this.
  LoopConnection(LoopServerState* state, int socket);
  ~LoopConnection();
  LoopConnection(const LoopConnection&) = delete;
  LoopConnection& operator=(const LoopConnection&) = delete;

  // Begins to read.
  void Start();

  // Whether the connection waits for a message or its rest; since when.
  bool waits() const { return phase_ == Phase::kReading; }
  absl::Time waits_since() const { return waits_since_; }

  // Refuses a message that isn't complete, so that others get its place, and
  // closes the connection.
  void Evict();

  // Closes the connection if nothing has moved for its time: `keep_alive` while
  // it waits for a message, `stall` while the caller doesn't read a response.
  void CheckTimeouts(absl::Duration keep_alive, absl::Duration stall);

  // Closes the connection at once. An incomplete response doesn't look whole.
  void Close();

  // The following are for the response to the request of that number. Those of
  // earlier requests have no effect.
  void Respond(std::uint64_t request, int status, std::vector<Header> headers,
               std::string body);
  void Begin(std::uint64_t request, int status, std::vector<Header> headers);
  void Write(std::uint64_t request, std::string_view bytes);
  void Finish(std::uint64_t request);
  void Abort(std::uint64_t request);
  void OnDisconnect(std::uint64_t request, std::function<void()> callback);
  std::size_t Backlog(std::uint64_t request) const;
  absl::Duration UnacknowledgedFor(std::uint64_t request) const;

 private:
  enum class Phase {
    kReading,     // A request, or nothing yet.
    kResponding,  // The request is whole, or refused.
    kLingering,   // The response is sent; the caller may still write.
    kClosed,
  };
  enum class Progress {
    kWaiting,    // For the handler.
    kStreaming,  // More of the body may come.
    kComplete,
    kAborted,  // What is there is sent, and the connection closes.
  };

  void OnEvents(std::uint32_t events);
  void OnCallerGone();

  // Reads and parses until a request is whole or no bytes are there. Others get
  // their turn in between.
  void ReadRequests();
  // Reads a block. Returns false if there is none.
  bool ReadBlock();
  void TakeBytes(std::string_view bytes);
  // Parses from the front of `bytes`. Returns how many were parsed.
  std::size_t Parse(std::string_view bytes);
  void BeginMessage();
  void OnParsed();
  void OnHead();
  void AppendBody(std::string_view block);
  void CountRequest();
  void GiveRequestWay();
  void OnWholeRequest();
  // Responds with a refusal and closes the connection behind it, as where the
  // next message begins isn't known.
  void RefuseAndClose(Error error,
                      absl::Duration retry_after = absl::ZeroDuration());
  void BeginResponding();
  void ScheduleTurn();

  // Returns whether `request` awaits its response, or a part of it.
  bool Is(std::uint64_t request) const;
  void WriteHead(int status, const std::vector<Header>& headers,
                 std::size_t length);
  void ScheduleFlush();
  // Sends what the socket takes.
  void Flush();
  void SendSome();
  void DropSent();
  void CountUnread();
  void EndResponse();
  void GiveUnreadWay();
  void GiveInputWay();
  void CloseBehindResponse();
  void Linger();
  void DiscardInput();
  // Sets whether the end of this process resets the connection: otherwise a
  // part of a body without framing looks whole.
  void SetAbortive(bool abortive) const;
  std::size_t unread() const;

  LoopServerState* const state_;
  const int socket_;
  Phase phase_ = Phase::kReading;
  absl::Time waits_since_;
  absl::Time last_progress_;
  bool readable_ = true;  // Since the last read that emptied the socket.
  bool writable_ = true;
  bool caller_closed_ = false;
  bool turn_pending_ = false;
  bool flush_pending_ = false;

  // The request.
  std::uint64_t request_number_ = 0;
  std::optional<RequestParser> parser_;  // From its first byte.
  bool head_seen_ = false;
  std::size_t headers_held_ = 0;  // Allocated, in bytes.
  bool too_large_ = false;
  bool gave_way_ = false;
  std::string unparsed_;  // Of it, or of the next one.
  HeldBytes held_input_;  // The above.

  // The response.
  Progress progress_ = Progress::kComplete;
  bool message_whole_ = true;   // The request was read to its end.
  bool accepts_chunks_ = true;  // The caller, by its version.
  bool is_head_ = false;        // The request's method is HEAD.
  bool closes_ = false;         // The connection closes behind it.
  BodyFraming framing_ = BodyFraming::kLength;
  std::string head_;  // Sent before the body.
  std::size_t head_sent_ = 0;
  std::string body_;
  std::size_t body_sent_ = 0;
  HeldBytes held_unread_;
  std::function<void()> on_disconnect_;
};

// The Responder of one request. Its destructor aborts a response that isn't
// complete.
class LoopResponder : public Responder {
 public:
  LoopResponder(std::weak_ptr<LoopConnection> connection, std::uint64_t request)
      : connection_(std::move(connection)), request_(request) {}
  ~LoopResponder() override { LoopResponder::Abort(); }

  void Respond(int status, std::vector<Header> headers,
               std::string body) override;
  void Begin(int status, std::vector<Header> headers) override;
  void Write(std::string_view bytes) override;
  void Finish() override;
  void Abort() override;
  void OnDisconnect(std::function<void()> callback) override;
  std::size_t Backlog() const override;
  absl::Duration UnacknowledgedFor() const override;

 private:
  const std::weak_ptr<LoopConnection> connection_;
  const std::uint64_t request_;
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_LOOP_CONNECTION_H_
