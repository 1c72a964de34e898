#include "config/check_file.h"

#include <algorithm>

#include "config/intent.h"
#include "settings/host_settings.h"

namespace gentianlb::config {
namespace {

FileKind Detect(const settings::Document& document) {
  for (const settings::Section& section : document.sections) {
    if (section.kind == "host") return FileKind::kSettings;
  }
  return FileKind::kIntent;
}

}  // namespace

std::string_view KindName(FileKind kind) {
  switch (kind) {
    case FileKind::kDetect:
      return "detect";
    case FileKind::kSettings:
      return "settings";
    case FileKind::kIntent:
      return "intent";
  }
  return "unknown";
}

FileReport CheckFile(const std::string& path, FileKind kind) {
  FileReport report{path, kind, {}};
  auto text = settings::ReadFile(path);
  if (!text.ok()) {
    report.problems.push_back(
        {path, 0, text.error().code, text.error().detail});
    return report;
  }
  settings::Document document =
      settings::ParseDocument(path, text.value(), &report.problems);
  if (kind == FileKind::kDetect) report.kind = Detect(document);
  if (report.kind == FileKind::kSettings) {
    settings::ReadHostSettings(document, settings::FolderOf(path),
                               &report.problems);
  } else {
    ReadIntent(document, &report.problems);
  }
  std::sort(report.problems.begin(), report.problems.end());
  return report;
}

}  // namespace gentianlb::config
