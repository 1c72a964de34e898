// A caller that doesn't read its answer until it is told to. What it hasn't
// read waits in the kernel's buffers, and then in the entry host's.

#ifndef GENTIANLB_PROCESS_SLOW_READER_H_
#define GENTIANLB_PROCESS_SLOW_READER_H_

#include <optional>
#include <string>

namespace gentianlb::process {

class SlowReader {
 public:
  // Connects to `address`, IP:PORT, and sends `request`, an HTTP/1.1 request.
  SlowReader(const std::string& address, const std::string& request);
  ~SlowReader();
  SlowReader(const SlowReader&) = delete;
  SlowReader& operator=(const SlowReader&) = delete;

  // Waits for the first bytes of the answer.
  void WaitForStart();
  // Reads until the server closes the connection, and closes it.
  void ReadToEnd();
  // Returns the answer's body; nullopt if its end is missing.
  std::optional<std::string> Body() const;

 private:
  // Returns false at the end of the connection.
  bool ReadSome();

  int socket_ = -1;
  std::string received_;
};

}  // namespace gentianlb::process

#endif  // GENTIANLB_PROCESS_SLOW_READER_H_
