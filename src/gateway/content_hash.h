// Identifies what a request asks for, whatever attempt of its caller it is, and
// the parts of prompts that requests share.
//
// Each retry by a caller has a new request id and usually another entry host.
// What it asks for stays the same.

#ifndef GENTIANLB_GATEWAY_CONTENT_HASH_H_
#define GENTIANLB_GATEWAY_CONTENT_HASH_H_

#include <vector>

#include "gateway/messages.h"

namespace gentianlb::gateway {

// Returns the hash of the workspace, method, target, prompt and body. The event
// after which a stream resumes doesn't count. Never returns kNoContent.
schedule::ContentHash HashContent(const CallerRequest& request,
                                  const WorkspaceId& workspace);

// Returns the prompt's parts with hashes that differ between services and
// models: a part says nothing about the servers of others.
std::vector<schedule::PromptPart> PartsAt(const ServiceId& service,
                                          const Prompt& prompt);

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_CONTENT_HASH_H_
