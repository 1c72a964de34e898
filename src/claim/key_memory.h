// Records of keys that one entry host does not hold or no longer holds, used to
// answer its peers' queries. Each record is kept for at least the key window.

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

// A promise to `requester`: this host does not hold the key and will not run it
// without a row in the table.
struct Promise {
  EntryHostId requester;
  Incarnation incarnation = 0;  // Of the requester.
  absl::Time made;
  bool operator==(const Promise&) const = default;
};

// A key that ran at this host.
struct FinishedKey {
  ServerId server;
  std::string body_digest;
  absl::Time finished_at;
  bool operator==(const FinishedKey&) const = default;
};

class KeyMemory {
 public:
  // Per kind of record. 30 keyed requests a second over ten minutes use 18,000
  // entries; the limit bounds a flood to some tens of megabytes.
  static constexpr std::size_t kMaxEntries = 100'000;

  // Records a promise. Returns false, and records none, at kMaxEntries keys.
  bool AddPromise(const ClaimKey& key, Promise promise);
  // Returns the promises to all requesters. Only one of them may run the key,
  // not necessarily the last.
  std::vector<Promise> FindPromises(const ClaimKey& key) const;

  void AddFinished(const ClaimKey& key, FinishedKey finished);
  std::optional<FinishedKey> FindFinished(const ClaimKey& key) const;

  // Records a claim token under which nothing will be dispatched.
  void AddAbandoned(const std::string& token, absl::Time now);
  bool IsAbandoned(const std::string& token) const;

  // Removes the records made before `time`.
  void ForgetBefore(absl::Time time);

  std::string Describe() const;

 private:
  std::map<ClaimKey, std::vector<Promise>> promises_;
  std::map<ClaimKey, FinishedKey> finished_;
  std::map<std::string, absl::Time> abandoned_;
};

}  // namespace gentianlb::claim

#endif  // GENTIANLB_CLAIM_KEY_MEMORY_H_
