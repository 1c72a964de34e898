#include "base/result.h"

#include <algorithm>

namespace gentianlb {
namespace {

std::vector<CodeInfo> MakeTable() {
  std::vector<CodeInfo> table = {
#define GENTIANLB_ROW(name, number, status, run, text) \
  {Code::name, std::string_view(#name).substr(1), status, RunState::run, text},
      GENTIANLB_RESULT_CODES(GENTIANLB_ROW)
#undef GENTIANLB_ROW
  };
  std::sort(
      table.begin(), table.end(),
      [](const CodeInfo& a, const CodeInfo& b) { return a.code < b.code; });
  return table;
}

}  // namespace

const std::vector<CodeInfo>& AllCodes() {
  static const auto& table = *new std::vector<CodeInfo>(MakeTable());
  return table;
}

const CodeInfo& Describe(Code code) {
  const auto& table = AllCodes();
  auto row = std::lower_bound(
      table.begin(), table.end(), code,
      [](const CodeInfo& info, Code wanted) { return info.code < wanted; });
  return *row;
}

}  // namespace gentianlb
