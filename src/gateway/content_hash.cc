#include "gateway/content_hash.h"

#include <xxhash.h>

#include <string_view>

namespace gentianlb::gateway {
namespace {

using schedule::ContentHash;

// Hashes a sequence of fields.
class FieldHasher {
 public:
  void Add(std::string_view field) {
    hash_ = XXH3_64bits_withSeed(field.data(), field.size(), hash_);
  }
  void Add(std::uint64_t number) {
    hash_ = XXH3_64bits_withSeed(&number, sizeof number, hash_);
  }
  ContentHash hash() const { return hash_; }

 private:
  std::uint64_t hash_ = 0;
};

}  // namespace

ContentHash HashContent(const CallerRequest& request,
                        const WorkspaceId& workspace) {
  FieldHasher hasher;
  hasher.Add(workspace.str());
  hasher.Add(request.method);
  hasher.Add(request.host);
  hasher.Add(request.target);
  if (request.prompt) {
    const Prompt& prompt = *request.prompt;
    hasher.Add(prompt.model.str());
    hasher.Add(static_cast<std::uint64_t>(prompt.prompt_tokens));
    hasher.Add(static_cast<std::uint64_t>(prompt.max_output_tokens));
    for (const schedule::PromptPart& part : prompt.parts) hasher.Add(part.hash);
  }
  hasher.Add(request.body);
  return hasher.hash() == schedule::kNoContent ? 1 : hasher.hash();
}

std::vector<schedule::PromptPart> PartsAt(const ServiceId& service,
                                          const Prompt& prompt) {
  FieldHasher scope;
  scope.Add(service.str());
  scope.Add(prompt.model.str());
  std::vector<schedule::PromptPart> parts = prompt.parts;
  for (schedule::PromptPart& part : parts) {
    FieldHasher hasher = scope;
    hasher.Add(part.hash);
    part.hash = hasher.hash();
  }
  return parts;
}

}  // namespace gentianlb::gateway
