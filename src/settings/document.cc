#include "settings/document.h"

#include <ini.h>

#include <cstring>
#include <fstream>
#include <sstream>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

namespace gentianlb::settings {
namespace {

// The library keeps the first 49 bytes of a section's name and drops the rest
// without a word, so that two long names would become one.
constexpr std::size_t kMaxHeader = 49;

// Bound of a line; long enough for a list of some hundred names.
constexpr int kMaxLine = 8192;

// The library tells its handler neither the line nor of an empty section. The
// reader therefore counts lines, and feeds this key after each header.
constexpr std::string_view kHeaderMark = "@header";

// Some editors put it before the first line.
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

// The library's limits are process-wide variables; they are set once.
void ConfigureLibrary() {
  static const bool done = [] {
    ini_use_stack = false;
    ini_allow_realloc = false;
    ini_max_line = kMaxLine;
    ini_initial_alloc = kMaxLine;
    // An indented line would become part of the value above it.
    ini_allow_multiline = false;
    return true;
  }();
  static_cast<void>(done);
}

std::string_view Strip(std::string_view text) {
  auto stripped =
      absl::StripAsciiWhitespace(absl::string_view(text.data(), text.size()));
  return {stripped.data(), stripped.size()};
}

// Feeds the library line by line and takes what it finds.
class Parse {
 public:
  Parse(std::string_view file, std::string_view text, Problems* problems)
      : rest_(text), problems_(problems) {
    document_.file = std::string(file);
    if (rest_.starts_with(kByteOrderMark)) {
      rest_.remove_prefix(kByteOrderMark.size());
    }
  }

  Document Run() {
    ConfigureLibrary();
    ini_parse_stream(&Parse::Read, this, &Parse::Handle, this);
    return std::move(document_);
  }

 private:
  static char* Read(char* buffer, int capacity, void* self) {
    return static_cast<Parse*>(self)->NextLine(buffer, capacity);
  }
  static int Handle(void* self, const char* section, const char* name,
                    const char* value) {
    static_cast<Parse*>(self)->Take(section, name, value);
    return 1;
  }

  char* NextLine(char* buffer, int capacity) {
    std::string_view line;
    if (mark_pending_) {
      mark_pending_ = false;
      return Copy(absl::StrCat("@header = ", line_), buffer);
    }
    if (rest_.empty()) return nullptr;
    line = Strip(CutLine());
    ++line_;
    if (!Usable(line, static_cast<std::size_t>(capacity))) line = "";
    mark_pending_ = line.starts_with('[');
    return Copy(line, buffer);
  }

  std::string_view CutLine() {
    std::size_t end = rest_.find('\n');
    std::string_view line = rest_.substr(0, end);
    rest_ = end == std::string_view::npos ? "" : rest_.substr(end + 1);
    return line;
  }

  static char* Copy(std::string_view line, char* buffer) {
    std::memcpy(buffer, line.data(), line.size());
    buffer[line.size()] = '\0';
    return buffer;
  }

  // The library skips what it can't read and names only the first such line,
  // so that a forgotten '=' would drop a setting without a word. The forms are
  // therefore looked at here too.
  bool Usable(std::string_view line, std::size_t capacity) {
    if (line.size() + 3 > capacity) {
      return Refuse(absl::StrCat("longer than ", capacity - 3, " bytes"));
    }
    if (line.find('\0') != std::string_view::npos) {
      return Refuse("has a zero byte");
    }
    if (line.empty() || line[0] == ';' || line[0] == '#') return true;
    if (line[0] == '[') return UsableHeader(line);
    if (line[0] == '@' || line.find_first_of("=:") == std::string_view::npos) {
      return Refuse("is neither [section] nor key = value");
    }
    return true;
  }

  bool UsableHeader(std::string_view line) {
    std::size_t end = line.find(']');
    if (end == std::string_view::npos) return Refuse("has no ]");
    std::string_view after = Strip(line.substr(end + 1));
    if (!after.empty() && after[0] != ';' && after[0] != '#') {
      return Refuse("goes on after ]");
    }
    if (end - 1 > kMaxHeader) {
      return Refuse(absl::StrCat("names more than ", kMaxHeader, " bytes"));
    }
    if (Strip(line.substr(1, end - 1)).empty()) return Refuse("names nothing");
    return true;
  }

  bool Refuse(std::string_view text) {
    Note(
        line_, Code::kSettingsSyntax,
        absl::StrCat("the line ", absl::string_view(text.data(), text.size())));
    return false;
  }

  void Take(std::string_view section, std::string_view name,
            std::string_view value) {
    if (name == kHeaderMark) return OpenSection(section);
    if (document_.sections.empty()) {
      return Note(line_, Code::kSettingsSyntax, "a key before any [section]");
    }
    Section& open = document_.sections.back();
    for (const Entry& entry : open.entries) {
      if (entry.key != name) continue;
      return Note(line_, Code::kDuplicateSetting,
                  absl::StrCat(entry.key, " stands in line ", entry.line));
    }
    open.entries.push_back({std::string(name), std::string(value), line_});
  }

  void OpenSection(std::string_view header) {
    std::string_view text = Strip(header);
    std::size_t space = text.find_first_of(" \t");
    Section section;
    section.kind = std::string(text.substr(0, space));
    if (space != std::string_view::npos) {
      section.name = std::string(Strip(text.substr(space)));
    }
    section.line = line_;
    if (!headers_.insert(absl::StrCat(section.kind, " ", section.name))
             .second) {
      Note(line_, Code::kDuplicateSetting,
           absl::StrCat("[", std::string(text), "] stands twice"));
    }
    document_.sections.push_back(std::move(section));
  }

  void Note(int line, Code code, std::string text) {
    problems_->push_back({document_.file, line, code, std::move(text)});
  }

  Document document_;
  std::string_view rest_;
  int line_ = 0;
  bool mark_pending_ = false;
  absl::flat_hash_set<std::string> headers_;
  Problems* problems_;
};

}  // namespace

Document ParseDocument(std::string_view file, std::string_view text,
                       Problems* problems) {
  return Parse(file, text, problems).Run();
}

Outcome<std::string> ReadFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  std::ostringstream text;
  if (stream) text << stream.rdbuf();
  // An empty file makes the copy fail without being unreadable.
  bool read = stream.is_open() && !stream.bad();
  if (!read) return Error{Code::kFileUnreadable, path + " can't be read"};
  return text.str();
}

}  // namespace gentianlb::settings
