#include "settings/field_reader.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace gentianlb::settings {
namespace {

std::string FormatValue(double value) { return absl::StrCat(value); }
std::string FormatValue(std::int64_t value) { return absl::StrCat(value); }
std::string FormatValue(absl::Duration value) {
  return absl::FormatDuration(value);
}

// Omits an unlimited maximum.
template <typename T>
std::string FormatRange(const Range<T>& range) {
  if (range.max == std::numeric_limits<T>::max()) {
    return absl::StrCat("must be at least ", FormatValue(range.min));
  }
  return absl::StrCat("must be ", FormatValue(range.min), " to ",
                      FormatValue(range.max));
}

}  // namespace

void FieldReader::Text(std::string_view key, std::string* out, Need need) {
  const Entry* entry = Find(key, need);
  if (entry == nullptr) return;
  *out = entry->value;
  if (entry->value.empty()) Add(*entry, {Code::kOutOfRange, "is empty"});
}

void FieldReader::Name(std::string_view key, std::string* out, Need need) {
  const Entry* entry = Find(key, need);
  if (entry == nullptr) return;
  *out = entry->value;
  if (!IsName(entry->value)) Add(*entry, {Code::kOutOfRange, "is not a name"});
}

void FieldReader::Names(std::string_view key, std::vector<std::string>* out,
                        Need need) {
  List(key, out, need);
  const Entry* entry = Find(key, Need::kOptional);
  if (entry == nullptr) return;
  for (const std::string& name : *out) {
    if (IsName(name)) continue;
    Add(*entry,
        {Code::kOutOfRange, absl::StrCat("'", name, "' is not a valid name")});
  }
}

void FieldReader::List(std::string_view key, std::vector<std::string>* out,
                       Need need) {
  const Entry* entry = Find(key, need);
  if (entry == nullptr) return;
  *out = SplitList(entry->value);
  absl::flat_hash_set<std::string> seen;
  for (const std::string& item : *out) {
    if (seen.insert(item).second) continue;
    Add(*entry, {Code::kDuplicateSetting,
                 absl::StrCat("'", item, "' is listed twice")});
  }
}

void FieldReader::Flag(std::string_view key, bool* out, Need need) {
  Choice<bool>(key, {{"yes", true}, {"no", false}}, out, need);
}

void FieldReader::Integer(std::string_view key, Range<std::int64_t> range,
                          std::int64_t* out, Need need) {
  Read(key, need, ParseInteger, range, out);
}

void FieldReader::Integer(std::string_view key, Range<std::int64_t> range,
                          int* out, Need need) {
  std::int64_t wide = *out;
  Read(key, need, ParseInteger, range, &wide);
  *out = static_cast<int>(wide);
}

void FieldReader::Number(std::string_view key, Range<double> range, double* out,
                         Need need) {
  Read(key, need, ParseNumber, range, out);
}

void FieldReader::Duration(std::string_view key, Range<absl::Duration> range,
                           absl::Duration* out, Need need) {
  Read(key, need, ParseDuration, range, out);
}

void FieldReader::Size(std::string_view key, Range<std::int64_t> range,
                       std::int64_t* out, Need need) {
  Read(key, need, ParseSize, range, out);
}

void FieldReader::Watts(std::string_view key, Range<double> range, double* out,
                        Need need) {
  Read(key, need, ParseWatts, range, out);
}

void FieldReader::Joules(std::string_view key, Range<double> range, double* out,
                         Need need) {
  Read(key, need, ParseJoules, range, out);
}

void FieldReader::TokenRate(std::string_view key, Range<double> range,
                            double* out, Need need) {
  Read(key, need, ParseTokenRate, range, out);
}

void FieldReader::Percent(std::string_view key, Range<double> range,
                          double* out, Need need) {
  Read(key, need, ParsePercent, range, out);
}

void FieldReader::Address(std::string_view key, Endpoint* out, Need need) {
  const Entry* entry = Find(key, need);
  if (entry == nullptr) return;
  auto parsed = ParseEndpoint(entry->value);
  if (!parsed.ok()) return Add(*entry, parsed.error());
  *out = parsed.value();
}

void FieldReader::Ip(std::string_view key, std::string* out, Need need) {
  const Entry* entry = Find(key, need);
  if (entry == nullptr) return;
  *out = entry->value;
  if (!IsIp(entry->value)) Add(*entry, {Code::kBadUnit, "is not an IP"});
}

int FieldReader::Line(std::string_view key) const {
  for (const Entry& entry : section_.entries) {
    if (entry.key == key) return entry.line;
  }
  return section_.line;
}

void FieldReader::AddProblem(std::string_view key, Code code,
                             std::string_view text) {
  problems_->push_back(
      {document_.file, Line(key), code,
       absl::StrCat(std::string(key), " ", std::string(text))});
}

void FieldReader::ReportUnknownKeys() {
  for (const Entry& entry : section_.entries) {
    if (read_keys_.contains(entry.key)) continue;
    Add(entry, {Code::kUnknownSetting,
                absl::StrCat("is not known in [", section_.kind, "]")});
  }
}

const Entry* FieldReader::Find(std::string_view key, Need need) {
  read_keys_.insert(std::string(key));
  for (const Entry& entry : section_.entries) {
    if (entry.key == key) return &entry;
  }
  if (need == Need::kRequired) {
    AddProblem(key, Code::kMissingSetting,
               absl::StrCat("is missing in [", section_.kind, "]"));
  }
  return nullptr;
}

void FieldReader::Add(const Entry& entry, const Error& error) {
  problems_->push_back({document_.file, entry.line, error.code,
                        absl::StrCat(entry.key, " ", error.detail)});
}

template <typename T, typename Parser>
void FieldReader::Read(std::string_view key, Need need, const Parser& parser,
                       const Range<T>& range, T* out) {
  const Entry* entry = Find(key, need);
  if (entry == nullptr) return;
  auto parsed = parser(entry->value);
  if (!parsed.ok()) return Add(*entry, parsed.error());
  T value = parsed.value();
  if (value < range.min || range.max < value) {
    return Add(*entry, {Code::kOutOfRange, FormatRange(range)});
  }
  *out = value;
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> items;
  for (absl::string_view item :
       absl::StrSplit(absl::string_view(text.data(), text.size()), ',')) {
    std::string stripped(absl::StripAsciiWhitespace(item));
    if (!stripped.empty()) items.push_back(std::move(stripped));
  }
  return items;
}

}  // namespace gentianlb::settings
