// Parses INI files with libinih into sections and entries with line numbers. A
// section header is `[kind]` or `[kind name]`.

#ifndef GENTIANLB_SETTINGS_DOCUMENT_H_
#define GENTIANLB_SETTINGS_DOCUMENT_H_

#include <string>
#include <string_view>
#include <vector>

#include "settings/problem.h"

namespace gentianlb::settings {

struct Entry {
  std::string key;
  std::string value;
  int line = 0;
  bool operator==(const Entry&) const = default;
};

struct Section {
  std::string kind;
  std::string name;  // Empty for `[kind]`.
  int line = 0;
  std::vector<Entry> entries;
  bool operator==(const Section&) const = default;
};

struct Document {
  std::string file;
  std::vector<Section> sections;
  bool operator==(const Document&) const = default;
};

// Parses `text`; problems refer to it as `file`. Invalid lines and duplicate
// sections or keys are added to `problems`; the rest is still parsed.
Document ParseDocument(std::string_view file, std::string_view text,
                       Problems* problems);

// Returns the content of the file, or kFileUnreadable.
Outcome<std::string> ReadFile(const std::string& path);

}  // namespace gentianlb::settings

#endif  // GENTIANLB_SETTINGS_DOCUMENT_H_
