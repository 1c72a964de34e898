// The JSON bodies of the platform's services, as docs/PROTOCOLS.md gives them.

#ifndef GENTIANLB_STORE_WIRE_H_
#define GENTIANLB_STORE_WIRE_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "store/messages.h"

namespace gentianlb::store {

// One line of the platform's list of hosts; the list lags.
struct ListedHost {
  std::string id;
  bool is_entry_host = false;  // Else a backend server.
  ZoneId zone;
  std::string address;
  bool leaving = false;
  bool operator==(const ListedHost&) const = default;
};

// Some rows of a scan, and whether there are more after them.
struct ScanPage {
  std::vector<Row> rows;
  bool more = false;
  bool operator==(const ScanPage&) const = default;
};

std::string EncodeCommit(const Transaction& transaction);
std::string EncodeRead(const std::vector<std::string>& keys);
std::string EncodeScan(std::string_view prefix, std::string_view after);

// Each fails with kBadPlatformAnswer.
Result<CommitResult> DecodeCommit(int status, std::string_view body);
Result<ScanPage> DecodeRows(std::string_view body);
Result<std::vector<ListedHost>> DecodeHosts(std::string_view body);

}  // namespace gentianlb::store

#endif  // GENTIANLB_STORE_WIRE_H_
