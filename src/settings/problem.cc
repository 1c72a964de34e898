#include "settings/problem.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace gentianlb::settings {

std::string Format(const Problem& problem) {
  std::string name(Describe(problem.code).name);
  return absl::StrCat(problem.file, ":", problem.line, ": ",
                      static_cast<int>(problem.code), " ", name, ": ",
                      problem.text);
}

std::string Format(Problems problems) {
  std::sort(problems.begin(), problems.end());
  std::string lines;
  for (const Problem& problem : problems) {
    absl::StrAppend(&lines, Format(problem), "\n");
  }
  return lines;
}

Error ToError(Problems problems) {
  if (problems.empty()) return {Code::kInternal, "no problem"};
  Code code = std::min_element(problems.begin(), problems.end())->code;
  return {code, Format(std::move(problems))};
}

}  // namespace gentianlb::settings
