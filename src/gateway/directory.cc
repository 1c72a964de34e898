#include "gateway/directory.h"

#include <glog/logging.h>

#include <algorithm>

#include "absl/container/flat_hash_set.h"

namespace gentianlb::gateway {

bool Directory::Update(const std::string& key,
                       const std::optional<ServerEntry>& entry,
                       absl::Time now) {
  if (!entry) return Remove(key, now);
  Registration& registration = entries_[key];
  registration.removed = false;
  if (registration.entry == *entry) return false;
  registration.entry = *entry;
  return true;
}

bool Directory::Replace(
    const std::vector<std::pair<std::string, ServerEntry>>& entries,
    absl::Time now) {
  bool changed = false;
  absl::flat_hash_set<std::string> listed;
  for (const auto& [key, entry] : entries) {
    changed |= Update(key, entry, now);
    listed.insert(key);
  }
  std::vector<std::string> missing;
  for (const auto& [key, registration] : entries_) {
    if (!listed.contains(key)) missing.push_back(key);
  }
  for (const std::string& key : missing) changed |= Remove(key, now);
  return changed;
}

bool Directory::Remove(const std::string& key, absl::Time now) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return false;
  if (now < RemovalsDue()) {
    found->second.removed = true;
    LOG(INFO) << "event=removal-delayed server=" << key
              << " delay_ms=" << absl::ToInt64Milliseconds(RemovalsDue() - now)
              << " table_recovered_ms_ago="
              << absl::ToInt64Milliseconds(now - recovered_at_);
    return false;
  }
  entries_.erase(found);
  return true;
}

bool Directory::Expire(absl::Time now) {
  if (now < RemovalsDue()) return false;
  return absl::erase_if(entries_, [](const auto& item) {
           if (!item.second.removed) return false;
           LOG(INFO) << "event=removal-applied server=" << item.first;
           return true;
         }) > 0;
}

absl::Time Directory::NextExpiry() const {
  const bool delayed =
      std::any_of(entries_.begin(), entries_.end(),
                  [](const auto& item) { return item.second.removed; });
  return delayed ? RemovalsDue() : absl::InfiniteFuture();
}

std::vector<ServerEntry> Directory::ServersOf(const ServiceId& service) const {
  std::vector<ServerEntry> servers;
  for (const auto& [key, row] : entries_) {
    if (row.entry.service == service) servers.push_back(row.entry);
  }
  // Sorted, because decisions must not depend on the order of the hash map.
  std::sort(
      servers.begin(), servers.end(),
      [](const ServerEntry& a, const ServerEntry& b) { return a.id < b.id; });
  return servers;
}

std::vector<ServerEntry> Directory::AllServers() const {
  std::vector<ServerEntry> servers;
  servers.reserve(entries_.size());
  for (const auto& [key, row] : entries_) servers.push_back(row.entry);
  return servers;
}

const ServerEntry* Directory::FindByAddress(
    const settings::Endpoint& address) const {
  for (const auto& [key, row] : entries_) {
    if (row.entry.address == address && !row.entry.draining) return &row.entry;
  }
  return nullptr;
}

const ServerEntry* Directory::Find(const ServerId& id) const {
  const auto found = entries_.find(id.str());
  return found == entries_.end() ? nullptr : &found->second.entry;
}

std::vector<ServiceId> Directory::Services() const {
  std::vector<ServiceId> services;
  for (const auto& [key, row] : entries_) {
    services.push_back(row.entry.service);
  }
  std::sort(services.begin(), services.end());
  services.erase(std::unique(services.begin(), services.end()), services.end());
  return services;
}

}  // namespace gentianlb::gateway
