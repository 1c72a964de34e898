// The bodies and events that FaultyServer writes, as functions of what a test
// knows, so that a caller can tell whose bytes it got and whether all are
// there.

#ifndef GENTIANLB_STANDINS_ANSWER_BYTES_H_
#define GENTIANLB_STANDINS_ANSWER_BYTES_H_

#include <cstddef>
#include <string>

#include "absl/strings/str_cat.h"

namespace gentianlb::standins {

// Returns the body, of at least `bytes` bytes, that a server writes to a
// request. No two of them are alike, and each states its length.
inline std::string AnswerBody(const std::string& server,
                              const std::string& request, std::size_t bytes) {
  std::string body = absl::StrCat("body of ", bytes, " bytes by ", server,
                                  " for ", request, "\n");
  const std::string line = absl::StrCat(server, "/", request, "\n");
  while (body.size() < bytes) body += line;
  return body;
}

// Returns an event of a stream. `last` is the number of the stream's last one.
inline std::string AnswerEvent(int number, int last, const std::string& server,
                               const std::string& version,
                               const std::string& request) {
  return absl::StrCat("id: ", number, "\ndata: of ", last, " by ", server,
                      " version ", version, " for ", request, "\n\n");
}

}  // namespace gentianlb::standins

#endif  // GENTIANLB_STANDINS_ANSWER_BYTES_H_
