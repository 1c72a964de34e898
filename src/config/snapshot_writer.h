// Cuts a configuration into shards.

#ifndef GENTIANLB_CONFIG_SNAPSHOT_WRITER_H_
#define GENTIANLB_CONFIG_SNAPSHOT_WRITER_H_

#include <cstddef>
#include <cstdint>

#include "config/configuration.h"
#include "config/in_force.h"
#include "config/rows.h"

namespace gentianlb::config {

// A shard ends after a part whose name hashes to a multiple of this; on average
// after so many parts. The cut depends on names alone, so a new part changes
// one shard and not all that follow it. Smaller shards would make a change
// cheaper and the index longer, with more rows to read for a host that starts;
// docs/design/configuration.md has the figures.
inline constexpr std::uint64_t kPartsPerShard = 192;

// A longer shard is cut anyway, far below the table's 1 MiB.
inline constexpr std::size_t kMaxShardBytes = 192 << 10;

// The rows of `configuration`. The same parts give the same rows, whatever
// `base` is; what `base` has already is taken from there, since writing 47,000
// workspaces anew holds up the control thread for half a second.
Snapshot EncodeSnapshot(const Configuration& configuration,
                        const InForce& base = InForce());

}  // namespace gentianlb::config

#endif  // GENTIANLB_CONFIG_SNAPSHOT_WRITER_H_
