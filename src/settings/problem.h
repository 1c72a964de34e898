// What a check of settings or an intent found: all of it at once, each with
// its place, so that an operator mends a file in one go.

#ifndef GENTIANLB_SETTINGS_PROBLEM_H_
#define GENTIANLB_SETTINGS_PROBLEM_H_

#include <compare>
#include <string>
#include <vector>

#include "base/result.h"

namespace gentianlb::settings {

struct Problem {
  std::string file;
  int line = 0;  // 0: the file as a whole.
  Code code = Code::kInternal;
  std::string text;
  auto operator<=>(const Problem&) const = default;
};

using Problems = std::vector<Problem>;

// `FILE:LINE: CODE name: text`.
std::string Format(const Problem& problem);

// One line each, by file and line.
std::string Format(Problems problems);

// The first problem as an Error that tells how many there are.
Error ToError(Problems problems);

}  // namespace gentianlb::settings

#endif  // GENTIANLB_SETTINGS_PROBLEM_H_
