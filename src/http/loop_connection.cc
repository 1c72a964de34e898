#include "http/loop_connection.h"

#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "http/framing.h"
#include "http/response_text.h"
#include "loop/tcp_socket.h"

namespace gentianlb::http {
namespace {

// A request is held once more while it is sent to a server.
constexpr std::size_t kCopiesOfRequest = 2;

// What gives way holds much; most of it ends within seconds.
constexpr absl::Duration kRetryAfterGivingWay = absl::Seconds(1);

// Blocks that are read of one connection before others have their turn.
constexpr int kBlocksPerTurn = 4;

// A caller that still sends gets the end of its response, and then its own
// connection's end, within this time. A reset would destroy the response.
constexpr absl::Duration kLingerTime = absl::Seconds(1);
constexpr std::size_t kMaxLingering = 64;

// A body that has been sent to half and further is moved within its block.
constexpr std::size_t kMinMovedBytes = 64 << 10;

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

bool IsLineEnd(char c) { return c == '\r' || c == '\n'; }

bool HasUnreadBytes(int socket) {
  int bytes = 0;
  return ioctl(socket, FIONREAD, &bytes) == 0 && bytes > 0;
}

}  // namespace

const std::string& LoopServerState::Date() {
  const absl::Time now = absl::Now();
  if (now >= date_until_ || now < date_until_ - absl::Seconds(1)) {
    date_ = FormatDate(now);
    date_until_ = absl::FromUnixSeconds(absl::ToUnixSeconds(now) + 1);
  }
  return date_;
}

LoopConnection::LoopConnection(LoopServerState* state, int socket)
    : state_(state),
      socket_(socket),
      waits_since_(state->loop->now()),
      last_progress_(state->loop->now()),
      held_input_(state->budget, HeldKind::kRequest,
                  [this] { GiveInputWay(); }),
      held_unread_(state->budget, HeldKind::kUnread,
                   [this] { GiveUnreadWay(); }) {}

LoopConnection::~LoopConnection() {
  if (phase_ == Phase::kClosed) return;
  state_->loop->Unwatch(socket_);
  close(socket_);
}

void LoopConnection::Start() {
  loop::SetKeepalive(socket_);
  const int on = 1;
  if (setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on) != 0) {
    PLOG(WARNING) << "event=socket-option-refused option=TCP_NODELAY";
  }
  // Edge-triggered, so that no call to the kernel is needed for each change of
  // what the connection waits for.
  state_->loop->Watch(socket_, EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET,
                      [weak = weak_from_this()](std::uint32_t events) {
                        const auto self = weak.lock();
                        if (self != nullptr) self->OnEvents(events);
                      });
}

void LoopConnection::OnEvents(std::uint32_t events) {
  if ((events & (EPOLLERR | EPOLLHUP)) != 0) return Close();
  if ((events & EPOLLRDHUP) != 0) caller_closed_ = true;
  if ((events & (EPOLLIN | EPOLLRDHUP)) != 0) readable_ = true;
  if ((events & EPOLLOUT) != 0) writable_ = true;
  if (phase_ == Phase::kResponding) {
    if (caller_closed_) OnCallerGone();
    if (writable_) Flush();
  } else if (phase_ == Phase::kReading) {
    ReadRequests();
  } else if (phase_ == Phase::kLingering) {
    DiscardInput();
  }
}

// A whole response is sent all the same: the caller may only have closed its
// own side.
void LoopConnection::OnCallerGone() {
  if (progress_ == Progress::kComplete) return;
  Close();
}

void LoopConnection::ReadRequests() {
  const bool has_next = !unparsed_.empty() && !parser_;
  if (has_next) TakeBytes({});
  for (int i = 0; phase_ == Phase::kReading && readable_; ++i) {
    if (i == kBlocksPerTurn) return ScheduleTurn();
    if (!ReadBlock()) return;
  }
}

bool LoopConnection::ReadBlock() {
  std::string& block = state_->block;
  const ssize_t count = recv(socket_, block.data(), block.size(), 0);
  if (count < 0 && errno == EINTR) return true;
  if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
    readable_ = false;
    return false;
  }
  if (count <= 0) {
    Close();
    return false;
  }
  const auto bytes = static_cast<std::size_t>(count);
  // The end of the caller's side may follow without another event.
  if (bytes < block.size() && !caller_closed_) readable_ = false;
  last_progress_ = state_->loop->now();
  TakeBytes({block.data(), bytes});
  return true;
}

void LoopConnection::TakeBytes(std::string_view bytes) {
  const auto self = shared_from_this();
  const bool joins = !unparsed_.empty();
  if (joins) {
    unparsed_.append(bytes);
    unparsed_.erase(0, Parse(unparsed_));
  } else {
    unparsed_.assign(bytes.substr(Parse(bytes)));
  }
  if (unparsed_.empty()) Deallocate(unparsed_);
  held_input_.Set(AllocatedBytes(unparsed_));
  OnParsed();
  // Last, as it may end any connection.
  if (state_->budget != nullptr) state_->budget->Relieve();
}

std::size_t LoopConnection::Parse(std::string_view bytes) {
  std::size_t read = 0;
  if (!parser_) {
    // Some callers write an empty line behind a body.
    while (read < bytes.size() && IsLineEnd(bytes[read])) ++read;
    if (read == bytes.size()) return read;
    BeginMessage();
  }
  return read + parser_->Read(bytes.substr(read));
}

void LoopConnection::BeginMessage() {
  parser_.emplace(state_->limits,
                  [this](std::string_view block) { AppendBody(block); });
  ++request_number_;
  head_seen_ = false;
  headers_held_ = 0;
  accepts_chunks_ = true;
  is_head_ = false;
  too_large_ = false;
  gave_way_ = false;
  closes_ = false;
}

void LoopConnection::OnParsed() {
  if (!parser_) return;
  if (!head_seen_) {
    // Lines are parsed as they come.
    headers_held_ = AllocatedHeaderBytes(parser_->request().headers);
    CountRequest();
    if (parser_->has_head()) OnHead();
  }
  if (phase_ != Phase::kReading) return;
  if (parser_->problem()) return RefuseAndClose(*parser_->problem());
  if (parser_->complete()) return OnWholeRequest();
}

void LoopConnection::OnHead() {
  head_seen_ = true;
  accepts_chunks_ = parser_->accepts_chunks();
  is_head_ = parser_->request().method == "HEAD";
  const std::string_view problem = FramingProblem(parser_->request().headers);
  if (!problem.empty()) {
    return RefuseAndClose({Code::kMalformedRequest, std::string(problem)});
  }
  const bool continues = parser_->expects_continue() && !parser_->complete() &&
                         unparsed_.empty() && parser_->request().body.empty();
  if (!continues) return;
  const ssize_t sent =
      send(socket_, kContinue.data(), kContinue.size(), MSG_NOSIGNAL);
  if (sent != static_cast<ssize_t>(kContinue.size())) Close();
}

// A body that isn't kept is read to its end all the same, so that the
// connection can go on.
void LoopConnection::AppendBody(std::string_view block) {
  std::string& body = parser_->request().body;
  if (body.size() + block.size() > state_->limits.max_body_bytes) {
    too_large_ = true;
    Deallocate(body);
  }
  if (gave_way_) return;
  if (!too_large_) body.append(block);
  if (head_seen_) CountRequest();
}

void LoopConnection::CountRequest() {
  if (state_->budget == nullptr) return;
  Request& request = parser_->request();
  if (request.held == nullptr) {
    request.held = std::make_shared<HeldBytes>(
        state_->budget, HeldKind::kRequest, [this] { GiveRequestWay(); });
  }
  request.held->Set(kCopiesOfRequest *
                    (headers_held_ + AllocatedBytes(request.body)));
}

// Behind a whole head the rest of the message is read, so that the connection
// can go on.
void LoopConnection::GiveRequestWay() {
  const auto self = shared_from_this();
  if (!head_seen_) {
    return RefuseAndClose({Code::kHoldsTooMuch, "no room for the request"},
                          kRetryAfterGivingWay);
  }
  gave_way_ = true;
  headers_held_ = 0;
  Request& request = parser_->request();
  Deallocate(request.body);
  std::vector<Header>().swap(request.headers);
  request.held->Set(0);
}

void LoopConnection::OnWholeRequest() {
  if (caller_closed_) return Close();
  closes_ = !parser_->keeps_connection();
  Request request = std::move(parser_->request());
  // The message is whole, so nothing of it is left to give way.
  const bool keeps =
      request.held == nullptr || gave_way_ || request.held->Keep();
  BeginResponding();
  auto responder =
      std::make_shared<LoopResponder>(weak_from_this(), request_number_);
  if (too_large_) {
    return RespondProblem(
        *responder, {Code::kBodyTooLarge,
                     absl::StrCat("at most ", state_->limits.max_body_bytes,
                                  " bytes are taken")});
  }
  if (gave_way_ || !keeps) {
    return RespondProblem(*responder,
                          {Code::kHoldsTooMuch, "no room for the request"},
                          kRetryAfterGivingWay);
  }
  state_->handler(std::move(request), std::move(responder));
}

void LoopConnection::RefuseAndClose(Error error, absl::Duration retry_after) {
  if (!parser_) BeginMessage();  // Nothing of it is parsed yet.
  BeginResponding();
  closes_ = true;
  message_whole_ = false;
  Deallocate(unparsed_);
  held_input_.Set(0);
  LoopResponder responder(weak_from_this(), request_number_);
  RespondProblem(responder, error, retry_after);
}

void LoopConnection::BeginResponding() {
  phase_ = Phase::kResponding;
  progress_ = Progress::kWaiting;
  message_whole_ = true;
  parser_.reset();
  ++state_->open_responses;
}

void LoopConnection::ScheduleTurn() {
  if (turn_pending_) return;
  turn_pending_ = true;
  // In the next round, after the events of the others.
  const absl::Time next = state_->loop->now() + absl::Nanoseconds(1);
  state_->loop->timers().At(next, [weak = weak_from_this()](absl::Time) {
    const auto self = weak.lock();
    if (self == nullptr) return;
    self->turn_pending_ = false;
    if (self->phase_ == Phase::kReading) self->ReadRequests();
    if (self->phase_ == Phase::kLingering) self->DiscardInput();
  });
}

void LoopConnection::Evict() {
  const auto self = shared_from_this();
  if (!parser_ && unparsed_.empty()) return Close();
  RefuseAndClose({Code::kRequestTooSlow, "others wait for the connection"});
  Flush();
}

void LoopConnection::CheckTimeouts(absl::Duration keep_alive,
                                   absl::Duration stall) {
  const auto self = shared_from_this();
  const absl::Duration idle = state_->loop->now() - last_progress_;
  switch (phase_) {
    case Phase::kReading:
      // This process may have stood still, and bytes wait.
      if (idle < keep_alive || HasUnreadBytes(socket_)) return;
      if (!parser_ && unparsed_.empty()) return Close();
      RefuseAndClose({Code::kRequestTooSlow, "the message is not complete"});
      return Flush();
    case Phase::kResponding:
      if (unread() > 0 && idle >= stall) Close();
      return;
    case Phase::kLingering:
      if (idle >= kLingerTime) Close();
      return;
    case Phase::kClosed:
      return;
  }
}

bool LoopConnection::Is(std::uint64_t request) const {
  return phase_ == Phase::kResponding && request == request_number_;
}

void LoopConnection::Respond(std::uint64_t request, int status,
                             std::vector<Header> headers, std::string body) {
  if (!Is(request) || progress_ != Progress::kWaiting) return;
  progress_ = Progress::kComplete;
  const bool has_body = !is_head_ && !HasNoBody(status);
  framing_ = has_body ? BodyFraming::kLength : BodyFraming::kNone;
  WriteHead(status, headers, body.size());
  if (has_body) body_ = std::move(body);
  ScheduleFlush();
}

void LoopConnection::Begin(std::uint64_t request, int status,
                           std::vector<Header> headers) {
  if (!Is(request) || progress_ != Progress::kWaiting) return;
  progress_ = Progress::kStreaming;
  if (is_head_ || HasNoBody(status)) {
    framing_ = BodyFraming::kNone;
  } else if (accepts_chunks_) {
    framing_ = BodyFraming::kChunks;
  } else {
    framing_ = BodyFraming::kConnection;
    closes_ = true;
    SetAbortive(true);
  }
  WriteHead(status, headers, 0);
  ScheduleFlush();
}

void LoopConnection::WriteHead(int status, const std::vector<Header>& headers,
                               std::size_t length) {
  closes_ = closes_ || AsksToClose(headers);
  head_ = ResponseHeadText({.status = status,
                            .headers = &headers,
                            .framing = framing_,
                            .length = length,
                            .closes = closes_,
                            .states_keep_alive = !accepts_chunks_},
                           state_->Date());
}

void LoopConnection::Write(std::uint64_t request, std::string_view bytes) {
  if (!Is(request) || progress_ != Progress::kStreaming) return;
  if (framing_ == BodyFraming::kChunks) AppendChunk(bytes, &body_);
  if (framing_ == BodyFraming::kConnection) body_.append(bytes);
  ScheduleFlush();
}

void LoopConnection::Finish(std::uint64_t request) {
  if (!Is(request) || progress_ != Progress::kStreaming) return;
  progress_ = Progress::kComplete;
  if (framing_ == BodyFraming::kChunks) AppendLastChunk(&body_);
  ScheduleFlush();
}

void LoopConnection::Abort(std::uint64_t request) {
  if (!Is(request) || progress_ == Progress::kComplete) return;
  progress_ = Progress::kAborted;
  on_disconnect_ = nullptr;
  ScheduleFlush();
}

void LoopConnection::OnDisconnect(std::uint64_t request,
                                  std::function<void()> callback) {
  if (!Is(request)) return callback();
  if (progress_ == Progress::kAborted) return;
  on_disconnect_ = std::move(callback);
}

std::size_t LoopConnection::Backlog(std::uint64_t request) const {
  return Is(request) ? unread() : 0;
}

absl::Duration LoopConnection::UnacknowledgedFor(std::uint64_t request) const {
  return Is(request) ? loop::UnacknowledgedFor(socket_) : absl::ZeroDuration();
}

std::size_t LoopConnection::unread() const {
  return head_.size() - head_sent_ + body_.size() - body_sent_;
}

// All that is written in one round of events goes out together.
void LoopConnection::ScheduleFlush() {
  CountUnread();
  if (flush_pending_) return;
  flush_pending_ = true;
  state_->loop->Defer([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self == nullptr) return;
    self->flush_pending_ = false;
    self->Flush();
  });
}

void LoopConnection::Flush() {
  if (phase_ != Phase::kResponding) return;
  while (unread() > 0 && writable_) SendSome();
  if (phase_ != Phase::kResponding) return;
  DropSent();
  if (unread() > 0) return;
  if (progress_ == Progress::kComplete) return EndResponse();
  if (progress_ == Progress::kAborted) return Close();
}

void LoopConnection::SendSome() {
  std::array<iovec, 2> pieces = {
      iovec{head_.data() + head_sent_, head_.size() - head_sent_},
      iovec{body_.data() + body_sent_, body_.size() - body_sent_}};
  msghdr message = {};
  message.msg_iov = pieces.data();
  message.msg_iovlen = pieces.size();
  const ssize_t count = sendmsg(socket_, &message, MSG_NOSIGNAL);
  if (count < 0 && errno == EINTR) return;
  if (count < 0) {
    writable_ = false;
    if (errno != EAGAIN && errno != EWOULDBLOCK) Close();
    return;
  }
  last_progress_ = state_->loop->now();
  const auto sent = static_cast<std::size_t>(count);
  const std::size_t of_head = std::min(sent, pieces[0].iov_len);
  head_sent_ += of_head;
  body_sent_ += sent - of_head;
}

// Frees what has been sent: all of it at once where nothing is left, and
// otherwise rarely enough that the rest is moved seldom.
void LoopConnection::DropSent() {
  if (head_sent_ == head_.size()) {
    Deallocate(head_);
    head_sent_ = 0;
  }
  if (body_sent_ == body_.size()) {
    if (body_.capacity() > kMinMovedBytes) Deallocate(body_);
    body_.clear();
    body_sent_ = 0;
  } else if (body_sent_ > kMinMovedBytes && body_sent_ > body_.size() / 2) {
    body_.erase(0, body_sent_);
    body_sent_ = 0;
  }
  CountUnread();
}

void LoopConnection::CountUnread() {
  held_unread_.Set(AllocatedBytes(head_) + AllocatedBytes(body_));
}

void LoopConnection::EndResponse() {
  on_disconnect_ = nullptr;
  --state_->open_responses;
  Deallocate(body_);
  CountUnread();
  if (framing_ == BodyFraming::kConnection) SetAbortive(false);
  phase_ = Phase::kReading;
  waits_since_ = state_->loop->now();
  if (closes_) return CloseBehindResponse();
  if (!unparsed_.empty() || readable_ || caller_closed_) ScheduleTurn();
}

void LoopConnection::CloseBehindResponse() {
  const bool may_send_more = !message_whole_ || !unparsed_.empty() || readable_;
  if (may_send_more && state_->lingering < kMaxLingering) {
    Linger();
  } else {
    Close();
  }
}

void LoopConnection::Linger() {
  phase_ = Phase::kLingering;
  ++state_->lingering;
  Deallocate(unparsed_);
  held_input_.Set(0);
  shutdown(socket_, SHUT_WR);
  DiscardInput();
}

void LoopConnection::DiscardInput() {
  std::string& block = state_->block;
  for (int i = 0; i < kBlocksPerTurn; ++i) {
    const ssize_t count = recv(socket_, block.data(), block.size(), 0);
    if (count > 0) continue;
    const bool waits = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (!waits) Close();
    return;
  }
  ScheduleTurn();
}

// What the socket takes is sent. Where the caller doesn't read, the response
// ends visibly incomplete.
void LoopConnection::GiveUnreadWay() {
  const auto self = shared_from_this();
  Flush();
  if (phase_ != Phase::kResponding) return;
  if (unread() > 0) return Close();
  Deallocate(body_);
  CountUnread();
}

void LoopConnection::GiveInputWay() {
  const auto self = shared_from_this();
  if (phase_ == Phase::kReading) {
    return RefuseAndClose({Code::kHoldsTooMuch, "no room for the request"},
                          kRetryAfterGivingWay);
  }
  // Of the next request nothing has been read, as far as its caller can see.
  Deallocate(unparsed_);
  held_input_.Set(0);
  closes_ = true;
  message_whole_ = false;
}

void LoopConnection::Close() {
  if (phase_ == Phase::kClosed) return;
  const auto self = shared_from_this();
  const bool responding = phase_ == Phase::kResponding;
  const std::size_t unsent = unread();
  if (phase_ == Phase::kLingering) --state_->lingering;
  phase_ = Phase::kClosed;
  state_->loop->Unwatch(socket_);
  close(socket_);
  parser_.reset();
  for (std::string* text : {&unparsed_, &head_, &body_}) Deallocate(*text);
  head_sent_ = 0;
  body_sent_ = 0;
  held_input_.Set(0);
  held_unread_.Set(0);
  if (responding) {
    --state_->open_responses;
    if (progress_ == Progress::kComplete) {
      LOG(INFO) << "event=response-cut unsent_bytes=" << unsent
                << " caller_closed=" << caller_closed_;
    }
    const auto callback = std::exchange(on_disconnect_, nullptr);
    if (callback) callback();
  }
  state_->on_closed(this);
}

void LoopConnection::SetAbortive(bool abortive) const {
  const linger option = {abortive ? 1 : 0, 0};
  if (setsockopt(socket_, SOL_SOCKET, SO_LINGER, &option, sizeof option) == 0) {
    return;
  }
  PLOG(WARNING) << "event=socket-option-refused option=SO_LINGER";
}

void LoopResponder::Respond(int status, std::vector<Header> headers,
                            std::string body) {
  if (const auto connection = connection_.lock()) {
    connection->Respond(request_, status, std::move(headers), std::move(body));
  }
}

void LoopResponder::Begin(int status, std::vector<Header> headers) {
  if (const auto connection = connection_.lock()) {
    connection->Begin(request_, status, std::move(headers));
  }
}

void LoopResponder::Write(std::string_view bytes) {
  if (const auto connection = connection_.lock()) {
    connection->Write(request_, bytes);
  }
}

void LoopResponder::Finish() {
  if (const auto connection = connection_.lock()) connection->Finish(request_);
}

void LoopResponder::Abort() {
  if (const auto connection = connection_.lock()) connection->Abort(request_);
}

void LoopResponder::OnDisconnect(std::function<void()> callback) {
  if (const auto connection = connection_.lock()) {
    return connection->OnDisconnect(request_, std::move(callback));
  }
  callback();
}

std::size_t LoopResponder::Backlog() const {
  const auto connection = connection_.lock();
  return connection == nullptr ? 0 : connection->Backlog(request_);
}

absl::Duration LoopResponder::UnacknowledgedFor() const {
  const auto connection = connection_.lock();
  return connection == nullptr ? absl::ZeroDuration()
                               : connection->UnacknowledgedFor(request_);
}

}  // namespace gentianlb::http
