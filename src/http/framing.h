// Whether the headers of a message leave no doubt where it ends. Whoever reads
// the end elsewhere than the next reader lets a caller hide a second request in
// the body of the first: it would run with that caller's rights checked for
// another route, or for none. Such a message is refused whole.

#ifndef GENTIANLB_HTTP_FRAMING_H_
#define GENTIANLB_HTTP_FRAMING_H_

#include <string_view>
#include <vector>

#include "http/server.h"

namespace gentianlb::http {

// What is wrong, for people; empty when nothing is.
std::string_view FramingProblem(const std::vector<Header>& headers);

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_FRAMING_H_
