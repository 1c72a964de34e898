// The configuration in force, indexed for the way of a request: workspaces by
// token, services by path and by model, servers by service and zone. Immutable,
// shared by server threads and the control thread.

#ifndef GENTIANLB_ENTRY_CONFIG_INDEX_H_
#define GENTIANLB_ENTRY_CONFIG_INDEX_H_

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "config/configuration.h"

namespace gentianlb::entry {

// Compares in a time that depends on the lengths alone, so that a stranger
// can't learn a key byte by byte from how long a refusal takes.
bool EqualInConstantTime(std::string_view a, std::string_view b);

class ConfigIndex {
 public:
  explicit ConfigIndex(config::Configuration configuration);

  const config::Configuration& configuration() const { return configuration_; }

  // Null when there is none. The pointers live as long as the index.
  const config::WorkspaceConfig* WorkspaceByToken(std::string_view token) const;
  const config::TierConfig* TierByName(std::string_view name) const;
  const config::ServiceConfig* Service(const ServiceId& id) const;
  const config::ServerConfig* Server(const ServerId& id) const;
  const config::ModelConfig* Model(const ModelId& id) const;

  // The plain service whose prefix begins `path`; the longest one wins.
  const config::ServiceConfig* ServiceByPath(std::string_view path) const;

  // The servers of `service` in `zone`, in the order of the configuration.
  std::vector<schedule::ServerSpec> Servers(const ServiceId& service,
                                            const ZoneId& zone) const;

  // Every (service, zone) that has a server, sorted.
  std::vector<std::pair<ServiceId, ZoneId>> Domains() const;

 private:
  const config::Configuration configuration_;
  absl::flat_hash_map<std::uint64_t, std::vector<int>> workspace_by_hash_;
  absl::flat_hash_map<ServerId, int> server_by_id_;
};

using ConfigIndexPtr = std::shared_ptr<const ConfigIndex>;

}  // namespace gentianlb::entry

#endif  // GENTIANLB_ENTRY_CONFIG_INDEX_H_
