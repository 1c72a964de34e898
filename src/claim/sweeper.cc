#include "claim/sweeper.h"

#include <xxhash.h>

#include <algorithm>

#include "absl/strings/str_format.h"

namespace gentianlb::claim {
namespace {

std::uint64_t Rank(int slice, const EntryHostId& host) {
  return XXH3_64bits_withSeed(host.str().data(), host.str().size(),
                              static_cast<std::uint64_t>(slice));
}

bool IsExpired(const store::Row& row, const SweepOptions& options,
               absl::Time now) {
  std::optional<ClaimRow> claim = DecodeClaim(row.value);
  return claim.has_value() && now - claim->written > options.retention;
}

}  // namespace

std::string SlicePrefix(int slice) {
  return RowKey(ClaimKey(absl::StrFormat("%02x", slice)));
}

bool SweepsSlice(int slice, const EntryHostId& self,
                 const std::vector<EntryHostId>& peers) {
  std::uint64_t own = Rank(slice, self);
  return std::none_of(peers.begin(), peers.end(), [&](const EntryHostId& peer) {
    return Rank(slice, peer) > own;
  });
}

std::vector<store::Transaction> BuildDeletes(
    const std::vector<store::Row>& rows, const SweepOptions& options,
    absl::Time now) {
  std::vector<store::Transaction> deletes;
  for (const store::Row& row : rows) {
    if (!IsExpired(row, options, now)) continue;
    bool full = deletes.empty() ||
                deletes.back().writes.size() >= options.deletes_per_commit;
    if (full) deletes.emplace_back();
    deletes.back().conditions.push_back({row.key, row.version});
    deletes.back().writes.push_back({row.key, std::nullopt});
  }
  return deletes;
}

}  // namespace gentianlb::claim
