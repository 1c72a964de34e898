// What one entry host remembers of keys that it doesn't hold (any more), to
// answer its peers truly. Everything is kept for the key window at least.

#ifndef GENTIANLB_CLAIM_KEY_MEMORY_H_
#define GENTIANLB_CLAIM_KEY_MEMORY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "claim/messages.h"

namespace gentianlb::claim {

// This host told `asker` that it hasn't got the key, and won't run it without a
// row in the table.
struct Promise {
  EntryHostId requester;
  Incarnation incarnation = 0;  // Of the asker.
  absl::Time made;
  bool operator==(const Promise&) const = default;
};

// A key that ran here.
struct FinishedKey {
  ServerId server;
  std::string body_digest;
  absl::Time finished_at;
  bool operator==(const FinishedKey&) const = default;
};

class KeyMemory {
 public:
  // At 30 keyed requests a second and ten minutes, 18,000 entries of each kind
  // are used; the bound keeps a flood within some tens of megabytes.
  static constexpr std::size_t kMaxEntries = 100'000;

  // False when there is no room: then nothing is promised.
  bool AddPromise(const ClaimKey& key, Promise promise);
  // To everyone who asked: only one of them may run the key, but not
  // necessarily the last.
  std::vector<Promise> FindPromises(const ClaimKey& key) const;

  void AddFinished(const ClaimKey& key, FinishedKey finished);
  std::optional<FinishedKey> FindFinished(const ClaimKey& key) const;

  // A claim's token under which nothing will ever be dispatched.
  void AddAbandoned(const std::string& token, absl::Time now);
  bool IsAbandoned(const std::string& token) const;

  void ForgetBefore(absl::Time time);

  std::string Describe() const;

 private:
  std::map<ClaimKey, std::vector<Promise>> promises_;
  std::map<ClaimKey, FinishedKey> finished_;
  std::map<std::string, absl::Time> abandoned_;
};

}  // namespace gentianlb::claim

#endif  // GENTIANLB_CLAIM_KEY_MEMORY_H_
