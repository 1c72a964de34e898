// What differs between two configurations, part by part.

#ifndef GENTIANLB_CONFIG_DIFF_H_
#define GENTIANLB_CONFIG_DIFF_H_

#include <string>
#include <string_view>
#include <vector>

#include "config/configuration.h"

namespace gentianlb::config {

// In the order in which changes are listed: what others refer to comes first.
enum class PartKind {
  kSite,
  kZone,
  kTier,
  kService,
  kModel,
  kServer,
  kWorkspace,
};

std::string_view PartName(PartKind kind);

// One part that comes, goes or changes; texts in canonical JSON.
struct Change {
  PartKind kind = PartKind::kSite;
  std::string name;
  std::string before;  // Empty: the part is new.
  std::string after;   // Empty: the part goes.
  bool operator==(const Change&) const = default;
};

using Changes = std::vector<Change>;

// By kind and then by name.
Changes Diff(const Configuration& before, const Configuration& after);

// `base` with `changes` made. kPlanConflict when a part is not as the change
// found it, so that a plan never lands on anything but what it was made for.
Outcome<Configuration> Apply(const Configuration& base, const Changes& changes);

// "+ server s1", "~ workspace w: weight, token" or "- tier t"; names the fields
// and never their values, which may be secret.
std::string Describe(const Change& change);

}  // namespace gentianlb::config

#endif  // GENTIANLB_CONFIG_DIFF_H_
