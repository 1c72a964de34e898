// Limits of an HTTP server.

#ifndef GENTIANLB_HTTP_SERVER_LIMITS_H_
#define GENTIANLB_HTTP_SERVER_LIMITS_H_

#include <cstddef>

#include "absl/time/time.h"

namespace gentianlb::http {

// A message that exceeds one gets a numbered error.
struct ServerLimits {
  std::size_t max_body_bytes = 8 << 20;
  // Of the request line, and of all header lines together, as sent.
  std::size_t max_header_bytes = 32 << 10;
  // Of the header lines: short ones take some times their length.
  std::size_t max_header_lines = 512;
  absl::Duration idle_timeout = absl::Seconds(30);
  unsigned max_connections = 4096;
  // What the kernel takes of a caller's bytes before the server reads them; 0:
  // as the kernel chooses.
  int receive_buffer_bytes = 0;
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_SERVER_LIMITS_H_
