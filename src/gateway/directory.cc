#include "gateway/directory.h"

#include <glog/logging.h>

#include <algorithm>

namespace gentianlb::gateway {
namespace {

// A server that leaves may end many seconds after its drain time.
constexpr absl::Duration kForgetLeavesAfter = absl::Minutes(10);

}  // namespace

bool Directory::Update(const std::string& key,
                       const std::optional<ServerEntry>& entry,
                       absl::Time now) {
  if (!entry) return Remove(key, now);
  Registration& registration = entries_[key];
  registration.removed = false;
  if (registration.stated == *entry) return false;
  registration.stated = *entry;
  const auto leave = leaves_.find(entry->id);
  if (leave != leaves_.end() &&
      IsRestart(leave->second.started, entry->started)) {
    leaves_.erase(leave);
  }
  ApplyLeaves(now);
  return true;
}

bool Directory::Replace(
    const std::vector<std::pair<std::string, ServerEntry>>& entries,
    absl::Time now) {
  has_list_ = true;
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
  ApplyLeaves(now);
  return true;
}

bool Directory::Expire(absl::Time now) {
  if (now < RemovalsDue()) return ApplyLeaves(now);
  const auto removed = absl::erase_if(entries_, [](const auto& item) {
    if (!item.second.removed) return false;
    LOG(INFO) << "event=removal-applied server=" << item.first;
    return true;
  });
  return ApplyLeaves(now) || removed > 0;
}

bool Directory::MarkLeaving(const LeavingServer& server, absl::Time now) {
  const ServerEntry* const registered = Find(server.server);
  if (registered != nullptr && IsRestart(server.started, registered->started)) {
    return false;
  }
  ForgetOldLeaves(now);
  const absl::Time since = now - server.age;
  const auto [found, is_new] =
      leaves_.try_emplace(server.server, Leave{server.started, since});
  if (is_new) return ApplyLeaves(now);
  if (IsRestart(found->second.started, server.started)) {
    found->second = {server.started, since};
  }
  return ApplyLeaves(now);
}

bool Directory::IsMarkedLeaving(const ServerId& server) const {
  return leaves_.contains(server);
}

bool Directory::HasLeft(const ServerId& server) const {
  if (!IsMarkedLeaving(server)) return false;
  const ServerEntry* const registered = Find(server);
  return registered == nullptr || registered->draining;
}

std::vector<LeavingServer> Directory::LeavingServers(absl::Time now) const {
  std::vector<LeavingServer> leaving;
  for (const auto& [server, leave] : leaves_) {
    if (!entries_.contains(server.str())) continue;
    leaving.push_back({server, leave.started, now - leave.since});
  }
  return leaving;
}

bool Directory::ApplyLeaves(absl::Time now) {
  const absl::flat_hash_set<ServiceId> staying = ServicesThatStay();
  bool changed = false;
  for (auto& [key, registration] : entries_) {
    ServerEntry entry = registration.stated;
    const auto leave = leaves_.find(entry.id);
    if (leave != leaves_.end()) {
      entry.draining |= staying.contains(entry.service) ||
                        now >= leave->second.since + drain_time_;
    }
    changed |= registration.entry != entry;
    registration.entry = std::move(entry);
  }
  return changed;
}

absl::flat_hash_set<ServiceId> Directory::ServicesThatStay() const {
  absl::flat_hash_set<ServiceId> services;
  for (const auto& [key, registration] : entries_) {
    const ServerEntry& server = registration.stated;
    const bool leaves = server.draining || IsMarkedLeaving(server.id);
    if (!leaves) services.insert(server.service);
  }
  return services;
}

void Directory::ForgetOldLeaves(absl::Time now) {
  absl::erase_if(leaves_, [&](const auto& item) {
    return !entries_.contains(item.first.str()) &&
           now - item.second.since > kForgetLeavesAfter;
  });
}

absl::Time Directory::NextExpiry() const {
  absl::Time next = absl::InfiniteFuture();
  for (const auto& [key, registration] : entries_) {
    if (registration.removed) next = std::min(next, RemovalsDue());
    const auto leave = leaves_.find(registration.entry.id);
    if (leave == leaves_.end() || registration.entry.draining) continue;
    next = std::min(next, leave->second.since + drain_time_);
  }
  return next;
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
