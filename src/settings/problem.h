// The problems that a check of settings or an intent finds. A check reports all
// problems with their locations, so that an operator can fix a file in one
// pass.

#ifndef GENTIANLB_SETTINGS_PROBLEM_H_
#define GENTIANLB_SETTINGS_PROBLEM_H_

#include <compare>
#include <string>
#include <vector>

#include "base/result.h"

namespace gentianlb::settings {

struct Problem {
  std::string file;
  int line = 0;  // 0: the whole file.
  Code code = Code::kInternal;
  std::string text;
  auto operator<=>(const Problem&) const = default;
};

using Problems = std::vector<Problem>;

// Returns `FILE:LINE: CODE name: text`.
std::string Format(const Problem& problem);

// Returns one line per problem, sorted by file and line.
std::string Format(Problems problems);

// Returns an error with the code of the first problem and the text of all
// problems.
Error ToError(Problems problems);

}  // namespace gentianlb::settings

#endif  // GENTIANLB_SETTINGS_PROBLEM_H_
