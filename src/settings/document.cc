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

// libinih keeps only the first 49 bytes of a section header and drops the rest
// silently, so two long names could become the same.
constexpr std::size_t kMaxHeaderBytes = 49;

// Max length of a line; enough for a list of some hundred names.
constexpr int kMaxLineBytes = 8192;

// libinih reports neither line numbers nor empty sections to its handler. The
// parser therefore counts lines and inserts an entry with this key after each
// header.
constexpr std::string_view kHeaderKey = "@header";

// Some editors write it at the start of a file.
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

// Sets the limits of libinih, which are process-wide variables, once.
void ConfigureLibrary() {
  static const bool done = [] {
    ini_use_stack = false;
    ini_allow_realloc = false;
    ini_max_line = kMaxLineBytes;
    ini_initial_alloc = kMaxLineBytes;
    // Otherwise an indented line would become part of the value above it.
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

// Feeds libinih line by line and collects the sections and entries it reports.
class Parser {
 public:
  Parser(std::string_view file, std::string_view text, Problems* problems)
      : rest_(text), problems_(problems) {
    document_.file = std::string(file);
    if (rest_.starts_with(kByteOrderMark)) {
      rest_.remove_prefix(kByteOrderMark.size());
    }
  }

  Document Run() {
    ConfigureLibrary();
    ini_parse_stream(&Parser::ReadLine, this, &Parser::HandleEntry, this);
    return std::move(document_);
  }

 private:
  static char* ReadLine(char* buffer, int capacity, void* self) {
    return static_cast<Parser*>(self)->NextLine(buffer, capacity);
  }
  static int HandleEntry(void* self, const char* section, const char* name,
                         const char* value) {
    static_cast<Parser*>(self)->AddEntry(section, name, value);
    return 1;
  }

  char* NextLine(char* buffer, int capacity) {
    std::string_view line;
    if (header_pending_) {
      header_pending_ = false;
      return Copy(absl::StrCat("@header = ", line_), buffer);
    }
    if (rest_.empty()) return nullptr;
    line = Strip(ExtractLine());
    ++line_;
    if (!IsValidLine(line, static_cast<std::size_t>(capacity))) line = "";
    header_pending_ = line.starts_with('[');
    return Copy(line, buffer);
  }

  std::string_view ExtractLine() {
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

  // Returns whether a line is valid. libinih skips invalid lines and reports
  // only the first one, so a forgotten '=' would silently drop a setting.
  bool IsValidLine(std::string_view line, std::size_t capacity) {
    if (line.size() + 3 > capacity) {
      return Reject(absl::StrCat("longer than ", capacity - 3, " bytes"));
    }
    if (line.find('\0') != std::string_view::npos) {
      return Reject("has a zero byte");
    }
    if (line.empty() || line[0] == ';' || line[0] == '#') return true;
    if (line[0] == '[') return IsValidHeader(line);
    if (line[0] == '@' || line.find_first_of("=:") == std::string_view::npos) {
      return Reject("is neither [section] nor key = value");
    }
    return true;
  }

  bool IsValidHeader(std::string_view line) {
    std::size_t end = line.find(']');
    if (end == std::string_view::npos) return Reject("has no ]");
    std::string_view after = Strip(line.substr(end + 1));
    if (!after.empty() && after[0] != ';' && after[0] != '#') {
      return Reject("has text after ]");
    }
    if (end - 1 > kMaxHeaderBytes) {
      return Reject(absl::StrCat("has a header of more than ", kMaxHeaderBytes,
                                 " bytes"));
    }
    if (Strip(line.substr(1, end - 1)).empty()) return Reject("has no name");
    return true;
  }

  bool Reject(std::string_view text) {
    AddProblem(
        line_, Code::kSettingsSyntax,
        absl::StrCat("the line ", absl::string_view(text.data(), text.size())));
    return false;
  }

  void AddEntry(std::string_view section, std::string_view name,
                std::string_view value) {
    if (name == kHeaderKey) return OpenSection(section);
    if (document_.sections.empty()) {
      return AddProblem(line_, Code::kSettingsSyntax,
                        "a key before any [section]");
    }
    Section& current = document_.sections.back();
    for (const Entry& entry : current.entries) {
      if (entry.key != name) continue;
      return AddProblem(
          line_, Code::kDuplicateSetting,
          absl::StrCat(entry.key, " stands in line ", entry.line));
    }
    current.entries.push_back({std::string(name), std::string(value), line_});
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
      AddProblem(line_, Code::kDuplicateSetting,
                 absl::StrCat("[", std::string(text), "] stands twice"));
    }
    document_.sections.push_back(std::move(section));
  }

  void AddProblem(int line, Code code, std::string text) {
    problems_->push_back({document_.file, line, code, std::move(text)});
  }

  Document document_;
  std::string_view rest_;
  int line_ = 0;
  bool header_pending_ = false;
  absl::flat_hash_set<std::string> headers_;
  Problems* problems_;
};

}  // namespace

Document ParseDocument(std::string_view file, std::string_view text,
                       Problems* problems) {
  return Parser(file, text, problems).Run();
}

Outcome<std::string> ReadFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  std::ostringstream text;
  if (stream) text << stream.rdbuf();
  // Copying an empty file sets failbit although the file is readable.
  bool read = stream.is_open() && !stream.bad();
  if (!read) return Error{Code::kFileUnreadable, path + " can't be read"};
  return text.str();
}

}  // namespace gentianlb::settings
