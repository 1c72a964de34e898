// Encodes and decodes the JSON bodies of the platform's services, as described
// in docs/PROTOCOLS.md.

#ifndef GENTIANLB_STORE_WIRE_H_
#define GENTIANLB_STORE_WIRE_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "store/messages.h"

namespace gentianlb::store {

// Entry of the platform's list of hosts. The list may be out of date.
struct ListedHost {
  std::string id;
  bool is_entry_host = false;  // False: a backend server.
  ZoneId zone;
  std::string address;
  bool leaving = false;
  bool operator==(const ListedHost&) const = default;
};

// One page of a scan; `more` says whether rows follow it.
struct ScanPage {
  std::vector<Row> rows;
  bool more = false;
  bool operator==(const ScanPage&) const = default;
};

std::string EncodeCommit(const Transaction& transaction);
std::string EncodeRead(const std::vector<std::string>& keys);
std::string EncodeScan(std::string_view prefix, std::string_view after);

// Each returns kBadPlatformAnswer if the body is invalid.
Result<CommitResult> DecodeCommit(int status, std::string_view body);
Result<ScanPage> DecodeRows(std::string_view body);
Result<std::vector<ListedHost>> DecodeHosts(std::string_view body);

}  // namespace gentianlb::store

#endif  // GENTIANLB_STORE_WIRE_H_
