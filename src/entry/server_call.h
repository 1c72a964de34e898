// The messages to a backend server for one request: the call itself, the rest
// of a broken stream, the search for a stream, and its cancellation.

#ifndef GENTIANLB_ENTRY_SERVER_CALL_H_
#define GENTIANLB_ENTRY_SERVER_CALL_H_

#include <optional>
#include <string>

#include "entry/caller_request.h"
#include "http/client.h"

namespace gentianlb::entry {

// A stream at a model engine, as the engine lists it.
struct EngineStream {
  std::string id;
  int tokens = 0;
  bool done = false;
  bool operator==(const EngineStream&) const = default;
};

// `base` is http://IP:PORT of the server; `engine_request` its X-Request-Id.
http::ClientRequest MakeCall(const CallerRequest& request,
                             const std::string& base,
                             const std::string& engine_request,
                             absl::Duration limit);

// Reads stream `stream` from token `offset` on.
http::ClientRequest MakeResume(const std::string& base,
                               const std::string& stream, int offset);

http::ClientRequest MakeStreamSearch(const std::string& base,
                                     const std::string& engine_request);

http::ClientRequest MakeCancel(const std::string& base,
                               const std::string& stream);

// The first stream in the answer to MakeStreamSearch(); nothing when there is
// none. An error when the answer can't be relied on.
Outcome<std::optional<EngineStream>> ReadStreamSearch(const http::Reply& reply);

}  // namespace gentianlb::entry

#endif  // GENTIANLB_ENTRY_SERVER_CALL_H_
