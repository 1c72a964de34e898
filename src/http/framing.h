// Detects request smuggling. If two readers of a message disagree on where it
// ends, a caller can hide a second request in the body of the first, and that
// request runs with permissions checked for another route or not at all.
// Messages with ambiguous headers are refused. Where two readers of a response
// disagree, one takes a part of it for the whole.

#ifndef GENTIANLB_HTTP_FRAMING_H_
#define GENTIANLB_HTTP_FRAMING_H_

#include <string_view>
#include <vector>

#include "http/server.h"

namespace gentianlb::http {

// Returns a description of the first ambiguity in `headers`, or an empty
// string.
std::string_view FramingProblem(const std::vector<Header>& headers);

// Returns `text` without the blanks and line ends around it.
std::string_view TrimBlanks(std::string_view text);

// Returns the value of a header from what follows its colon in a line of a
// head: without the blanks around it and the line's end. Other space belongs to
// the value, since readers disagree on it.
std::string_view HeaderValue(std::string_view rest_of_line);

// Returns why it isn't certain where a response with `headers` ends, or an
// empty string. Equal lengths are one.
std::string_view ResponseFramingProblem(const std::vector<Header>& headers);

// Returns why it isn't certain where a response ends that follows an interim
// head with `headers`, or an empty string. Some readers keep what these state.
std::string_view InterimFramingProblem(const std::vector<Header>& headers);

// Returns whether the response to `method` has a body of which only the end of
// the connection marks the end.
bool EndsWithConnection(std::string_view method, int status,
                        const std::vector<Header>& headers);

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_FRAMING_H_
