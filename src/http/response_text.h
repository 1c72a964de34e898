// Writes the heads and chunks of responses. Without network.

#ifndef GENTIANLB_HTTP_RESPONSE_TEXT_H_
#define GENTIANLB_HTTP_RESPONSE_TEXT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "http/messages.h"

namespace gentianlb::http {

// How a response's body ends.
enum class BodyFraming {
  kNone,        // There is no body: of a HEAD request, or by the status.
  kLength,      // By its length.
  kChunks,      // By the last chunk.
  kConnection,  // With the connection.
};

struct ResponseHeadFields {
  int status = 500;
  const std::vector<Header>* headers =
      nullptr;  // Those of framing are left out.
  BodyFraming framing = BodyFraming::kLength;
  std::size_t length = 0;          // Of the body, with kLength.
  bool closes = false;             // The connection closes behind the response.
  bool states_keep_alive = false;  // For a caller of HTTP/1.0.
};

// Returns whether responses with this status have no body, whatever the
// request.
bool HasNoBody(int status);

// Returns whether `headers` ask to close the connection.
bool AsksToClose(const std::vector<Header>& headers);

// Returns the head with its end. `date`: now, for the header of that name,
// which is left out where `headers` has one.
std::string ResponseHeadText(const ResponseHeadFields& fields,
                             std::string_view date);

// Returns `time` in the form of the header Date.
std::string FormatDate(absl::Time time);

// Appends `bytes` as a chunk, and the last one, to `text`.
void AppendChunk(std::string_view bytes, std::string* text);
void AppendLastChunk(std::string* text);

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_RESPONSE_TEXT_H_
