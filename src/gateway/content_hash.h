// Identifies what a request asks for, whatever attempt of its caller it is.
//
// Each retry by a caller has a new request id and usually another entry host.
// What it asks for stays the same.

#ifndef GENTIANLB_GATEWAY_CONTENT_HASH_H_
#define GENTIANLB_GATEWAY_CONTENT_HASH_H_

#include "gateway/messages.h"

namespace gentianlb::gateway {

// Returns the hash of the workspace, method, target, prompt and body. The event
// after which a stream resumes doesn't count. Never returns kNoContent.
schedule::ContentHash HashContent(const CallerRequest& request,
                                  const WorkspaceId& workspace);

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_CONTENT_HASH_H_
