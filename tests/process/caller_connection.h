// A caller's connection to an entry host, over a plain socket: it tells how an
// answer ended, and sees bytes that nobody asked for.

#ifndef GENTIANLB_PROCESS_CALLER_CONNECTION_H_
#define GENTIANLB_PROCESS_CALLER_CONNECTION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "http/server.h"

namespace gentianlb::process {

enum class AnswerEnd {
  kNone,    // No whole head came.
  kFramed,  // It is complete by its length or its last chunk.
  kClosed,  // It has neither, and its connection ended in good order.
  kBroken,  // It stopped before its end, or was reset.
};

// An answer as it came.
struct RawAnswer {
  int status = 0;
  std::vector<http::Header> headers;
  std::string body;  // What came of it.
  AnswerEnd end = AnswerEnd::kNone;
  bool timed_out = false;
  // Bytes came before the request was sent.
  bool unasked_bytes = false;

  std::string Header(const std::string& name) const;
};

class CallerConnection {
 public:
  // `address`: IP:PORT. Not connected if nobody listens there.
  explicit CallerConnection(const std::string& address);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  // False once the other side has closed it, or an answer has not ended whole.
  // Bytes that nobody asked for leave it open.
  bool IsOpen();

  // Sends `request`, as it stands, and reads its answer for at most `timeout`.
  RawAnswer Ask(const std::string& request, absl::Duration timeout);

  // From now on takes few bytes at a time, and lets the rest wait in a kernel's
  // buffer that is as small as it may be.
  void ReadSlowly();

  // Cuts the link: from now on nothing arrives, and the end of the connection
  // doesn't reach the other side before this object is destroyed. May be called
  // while Ask() runs. Does nothing once the connection has ended.
  void CutLink();

 private:
  enum class Read { kBytes, kEnd, kReset, kTimeout };

  Read ReadMore(absl::Time end);
  void ReadBody(RawAnswer& answer, absl::Time end);
  void ReadChunks(RawAnswer& answer, absl::Time end);
  bool NeedBytes(std::size_t count, RawAnswer& answer, absl::Time end);
  void Close();

  int socket_ = -1;
  // Held while `socket_` is closed, and while its link is cut.
  absl::Mutex close_mutex_;
  int cut_socket_ = -1;  // Kept open once the link is cut.
  bool cut_ = false;
  bool slow_ = false;
  std::string received_;
};

}  // namespace gentianlb::process

#endif  // GENTIANLB_PROCESS_CALLER_CONNECTION_H_
