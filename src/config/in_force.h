// The version that a host works by, as a value and as the rows it came in.

#ifndef GENTIANLB_CONFIG_IN_FORCE_H_
#define GENTIANLB_CONFIG_IN_FORCE_H_

#include <memory>

#include "config/configuration.h"
#include "config/rows.h"

namespace gentianlb::config {

struct InForce {
  Configuration configuration;  // Version 0: none was confirmed yet.
  Snapshot snapshot;
  bool operator==(const InForce&) const = default;
};

// Shared by the threads that read it; never changed.
using InForcePtr = std::shared_ptr<const InForce>;

}  // namespace gentianlb::config

#endif  // GENTIANLB_CONFIG_IN_FORCE_H_
