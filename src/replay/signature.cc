#include "replay/signature.h"

#include <xxhash.h>

#include <string>

#include "absl/strings/str_cat.h"

namespace gentianlb::replay {
namespace {

struct Text {
  std::string operator()(const schedule::Grant& grant) const {
    return absl::StrCat("grant ", grant.id.str(), " ", grant.host.str(), " ",
                        grant.server.str());
  }
  std::string operator()(const schedule::Refuse& refuse) const {
    return absl::StrCat("refuse ", refuse.id.str(), " ", refuse.host.str(), " ",
                        static_cast<int>(refuse.code), " ",
                        absl::ToInt64Microseconds(refuse.retry_after));
  }
  std::string operator()(const schedule::Cancel& cancel) const {
    return absl::StrCat("cancel ", cancel.id.str(), " ", cancel.host.str(), " ",
                        static_cast<int>(cancel.code), " ",
                        absl::ToInt64Microseconds(cancel.retry_after));
  }
};

}  // namespace

void Signature::Add(const schedule::Decision& decision, absl::Time now) {
  std::string line =
      absl::StrCat(absl::ToUnixMicros(now), " ", std::visit(Text{}, decision));
  value_ = XXH3_64bits_withSeed(line.data(), line.size(), value_);
}

void Signature::Add(std::uint64_t value) {
  value_ = XXH3_64bits_withSeed(&value, sizeof value, value_);
}

}  // namespace gentianlb::replay
