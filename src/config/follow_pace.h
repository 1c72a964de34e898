// When a host reads the head row: staggered, so that 350 hosts that were
// started together do not read together ever after.

#ifndef GENTIANLB_CONFIG_FOLLOW_PACE_H_
#define GENTIANLB_CONFIG_FOLLOW_PACE_H_

#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"
#include "base/ids.h"

namespace gentianlb::config {

struct FollowOptions {
  EntryHostId host;
  absl::Duration period = absl::Seconds(2);  // Between reads, without news.
  // Hosts that hear news spread their reads over this time.
  absl::Duration news_spread = absl::Milliseconds(500);
  absl::Duration fetch_limit = absl::Seconds(5);  // For one answer.
  absl::Duration retry = absl::Seconds(1);  // When a known version failed.
  int tellings = 4;                // Rounds of news after a new version.
  std::size_t rows_per_read = 16;  // Some 800 KB at the size of a shard.
  bool operator==(const FollowOptions&) const = default;
};

// The time to the next read after read number `count`: the period, give or take
// an eighth, by the host's name.
absl::Duration PollPeriod(const FollowOptions& options, std::uint64_t count);

// How long this host waits after news; the same each time.
absl::Duration NewsDelay(const FollowOptions& options);

}  // namespace gentianlb::config

#endif  // GENTIANLB_CONFIG_FOLLOW_PACE_H_
