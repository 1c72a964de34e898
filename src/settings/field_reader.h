// Reads the fields of a section into variables that already hold their
// defaults, and adds a problem for each invalid field.

#ifndef GENTIANLB_SETTINGS_FIELD_READER_H_
#define GENTIANLB_SETTINGS_FIELD_READER_H_

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "settings/document.h"
#include "settings/units.h"

namespace gentianlb::settings {

enum class Need { kOptional, kRequired };

// A closed range.
template <typename T>
struct Range {
  T min;
  T max;
};

inline constexpr Range<double> kNonNegative = {
    0, std::numeric_limits<double>::max()};

class FieldReader {
 public:
  // The arguments must outlive the reader.
  FieldReader(const Document& document, const Section& section,
              Problems* problems)
      : document_(document), section_(section), problems_(problems) {}

  void Text(std::string_view key, std::string* out,
            Need need = Need::kOptional);
  void Name(std::string_view key, std::string* out,
            Need need = Need::kOptional);
  void Names(std::string_view key, std::vector<std::string>* out,
             Need need = Need::kOptional);
  // Reads a comma-separated list; whitespace around items is dropped.
  void List(std::string_view key, std::vector<std::string>* out,
            Need need = Need::kOptional);
  void Flag(std::string_view key, bool* out, Need need = Need::kOptional);
  void Integer(std::string_view key, Range<std::int64_t> range,
               std::int64_t* out, Need need = Need::kOptional);
  void Integer(std::string_view key, Range<std::int64_t> range, int* out,
               Need need = Need::kOptional);
  void Number(std::string_view key, Range<double> range, double* out,
              Need need = Need::kOptional);
  void Duration(std::string_view key, Range<absl::Duration> range,
                absl::Duration* out, Need need = Need::kOptional);
  void Size(std::string_view key, Range<std::int64_t> range, std::int64_t* out,
            Need need = Need::kOptional);
  void Watts(std::string_view key, Range<double> range, double* out,
             Need need = Need::kOptional);
  void Joules(std::string_view key, Range<double> range, double* out,
              Need need = Need::kOptional);
  void TokenRate(std::string_view key, Range<double> range, double* out,
                 Need need = Need::kOptional);
  void Percent(std::string_view key, Range<double> range, double* out,
               Need need = Need::kOptional);
  void Address(std::string_view key, Endpoint* out,
               Need need = Need::kOptional);
  void Ip(std::string_view key, std::string* out, Need need = Need::kOptional);

  // Reads one of the named values.
  template <typename T>
  void Choice(std::string_view key,
              const std::vector<std::pair<std::string_view, T>>& choices,
              T* out, Need need = Need::kOptional) {
    const Entry* entry = Find(key, need);
    if (entry == nullptr) return;
    std::string names;
    for (const auto& [name, value] : choices) {
      if (entry->value == name) *out = value;
      if (entry->value == name) return;
      names += (names.empty() ? "" : ", ") + std::string(name);
    }
    Add(*entry, {Code::kOutOfRange, "must be one of " + names});
  }

  // Returns whether the section has `key` and marks the key as known.
  bool Has(std::string_view key) {
    return Find(key, Need::kOptional) != nullptr;
  }

  // Returns the line of `key`, or of the section if the key is missing.
  int Line(std::string_view key) const;

  // Adds a problem with `key`, such as a contradiction.
  void AddProblem(std::string_view key, Code code, std::string_view text);

  // Adds a problem for each key that no function of this reader was called for.
  void ReportUnknownKeys();

 private:
  const Entry* Find(std::string_view key, Need need);
  void Add(const Entry& entry, const Error& error);

  template <typename T, typename Parser>
  void Read(std::string_view key, Need need, const Parser& parser,
            const Range<T>& range, T* out);

  const Document& document_;
  const Section& section_;
  Problems* problems_;
  absl::flat_hash_set<std::string> read_keys_;
};

// Returns `a, b` as {"a", "b"}; empty for a blank text.
std::vector<std::string> SplitList(std::string_view text);

}  // namespace gentianlb::settings

#endif  // GENTIANLB_SETTINGS_FIELD_READER_H_
