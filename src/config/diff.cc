#include "config/diff.h"

#include <algorithm>
#include <map>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "config/codec.h"

namespace gentianlb::config {
namespace {

template <typename T>
std::map<std::string, const T*> ByName(const std::vector<T>& parts) {
  std::map<std::string, const T*> by_name;
  for (const T& part : parts) by_name.emplace(NameOf(part), &part);
  return by_name;
}

template <typename T>
void DiffParts(PartKind kind, const std::vector<T>& before,
               const std::vector<T>& after, Changes* changes) {
  auto old_parts = ByName(before);
  auto new_parts = ByName(after);
  // The union of both, by name.
  auto names = old_parts;
  names.insert(new_parts.begin(), new_parts.end());
  for (const auto& [name, any] : names) {
    auto old_part = old_parts.find(name);
    auto new_part = new_parts.find(name);
    bool was = old_part != old_parts.end();
    bool is = new_part != new_parts.end();
    if (was && is && *old_part->second == *new_part->second) continue;
    changes->push_back({kind, name,
                        was ? WriteJson(ToJson(*old_part->second)) : "",
                        is ? WriteJson(ToJson(*new_part->second)) : ""});
  }
}

// The new list of one kind after `changes` of other kinds too.
template <typename T>
class PartsAfter {
 public:
  PartsAfter(PartKind kind, const std::vector<T>& parts) : kind_(kind) {
    for (const T& part : parts) parts_.emplace(NameOf(part), part);
  }

  // Fills `error` when a change does not fit.
  std::vector<T> Make(const Changes& changes, Error* error) {
    for (const Change& change : changes) {
      if (change.kind == kind_) Take(change, error);
    }
    std::vector<T> list;
    list.reserve(parts_.size());
    for (auto& [name, part] : parts_) list.push_back(std::move(part));
    return list;
  }

 private:
  void Take(const Change& change, Error* error) {
    auto found = parts_.find(change.name);
    std::string before;
    if (found != parts_.end()) before = WriteJson(ToJson(found->second));
    if (before != change.before) {
      std::string kind(PartName(kind_));
      *error = {
          Code::kPlanConflict,
          absl::StrCat(kind, " ", change.name, " is not as the plan found it")};
      return;
    }
    if (found != parts_.end()) parts_.erase(found);
    if (change.after.empty()) return;
    auto part = ReadPart<T>(change.after);
    if (!part.ok()) *error = part.error();
    if (part.ok()) parts_.emplace(change.name, std::move(part.value()));
  }

  PartKind kind_;
  std::map<std::string, T> parts_;
};

template <typename T>
std::vector<T> Make(PartKind kind, const std::vector<T>& parts,
                    const Changes& changes, Error* error) {
  bool same = std::none_of(
      changes.begin(), changes.end(),
      [kind](const Change& change) { return change.kind == kind; });
  if (same) return parts;
  return PartsAfter<T>(kind, parts).Make(changes, error);
}

std::vector<std::string> ChangedFields(const Change& change) {
  std::vector<std::string> fields;
  auto before = ReadJson(change.before);
  auto after = ReadJson(change.after);
  if (!before.ok() || !after.ok()) return fields;
  for (const std::string& field : after.value().getMemberNames()) {
    if (before.value()[field] != after.value()[field]) fields.push_back(field);
  }
  return fields;
}

// The site before the first version has no parts at all.
std::vector<SiteConfig> SitesOf(const Configuration& configuration) {
  if (configuration.site.empty()) return {};
  return {SiteOf(configuration)};
}

}  // namespace

std::string_view PartName(PartKind kind) {
  switch (kind) {
    case PartKind::kSite:
      return "site";
    case PartKind::kZone:
      return "zone";
    case PartKind::kTier:
      return "tier";
    case PartKind::kService:
      return "service";
    case PartKind::kModel:
      return "model";
    case PartKind::kServer:
      return "server";
    case PartKind::kWorkspace:
      return "workspace";
  }
  return "unknown";
}

Changes Diff(const Configuration& before, const Configuration& after) {
  Changes changes;
  DiffParts(PartKind::kSite, SitesOf(before), SitesOf(after), &changes);
  DiffParts(PartKind::kZone, before.zones, after.zones, &changes);
  DiffParts(PartKind::kTier, before.tiers, after.tiers, &changes);
  DiffParts(PartKind::kService, before.services, after.services, &changes);
  DiffParts(PartKind::kModel, before.models, after.models, &changes);
  DiffParts(PartKind::kServer, before.servers, after.servers, &changes);
  DiffParts(PartKind::kWorkspace, before.workspaces, after.workspaces,
            &changes);
  return changes;
}

Outcome<Configuration> Apply(const Configuration& base,
                             const Changes& changes) {
  Error error;
  Configuration next;
  next.version = base.version;
  auto sites = Make(PartKind::kSite, SitesOf(base), changes, &error);
  if (!sites.empty()) {
    next.site = sites[0].name;
    next.power_cap_watts = sites[0].power_cap_watts;
    next.weights = sites[0].weights;
  }
  next.zones = Make(PartKind::kZone, base.zones, changes, &error);
  next.tiers = Make(PartKind::kTier, base.tiers, changes, &error);
  next.services = Make(PartKind::kService, base.services, changes, &error);
  next.models = Make(PartKind::kModel, base.models, changes, &error);
  next.servers = Make(PartKind::kServer, base.servers, changes, &error);
  next.workspaces =
      Make(PartKind::kWorkspace, base.workspaces, changes, &error);
  if (!error.detail.empty()) return error;
  // By rank, as the intent's reader has them.
  std::sort(
      next.tiers.begin(), next.tiers.end(),
      [](const TierConfig& a, const TierConfig& b) { return a.tier < b.tier; });
  return next;
}

std::string Describe(const Change& change) {
  std::string what = absl::StrCat(std::string(PartName(change.kind)),
                                  change.name.empty() ? "" : " ", change.name);
  if (change.before.empty()) return "+ " + what;
  if (change.after.empty()) return "- " + what;
  return absl::StrCat("~ ", what, ": ",
                      absl::StrJoin(ChangedFields(change), ", "));
}

}  // namespace gentianlb::config
