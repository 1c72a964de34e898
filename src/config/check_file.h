// The check of one file, settings or intent, without starting anything.

#ifndef GENTIANLB_CONFIG_CHECK_FILE_H_
#define GENTIANLB_CONFIG_CHECK_FILE_H_

#include <string>
#include <string_view>

#include "settings/problem.h"

namespace gentianlb::config {

// kDetect: a file with a [host] section holds settings, any other an intent.
enum class FileKind { kDetect, kSettings, kIntent };

// `detect`, `settings` or `intent`.
std::string_view KindName(FileKind kind);

struct FileReport {
  std::string file;
  FileKind kind = FileKind::kDetect;  // As found; kDetect if unreadable.
  settings::Problems problems;        // By line.
  bool operator==(const FileReport&) const = default;
};

FileReport CheckFile(const std::string& path, FileKind kind);

}  // namespace gentianlb::config

#endif  // GENTIANLB_CONFIG_CHECK_FILE_H_
