#include "table.h"

#include <cmath>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"

namespace gentianlb::bench {
namespace {

// Three digits are as many as a shared machine repeats.
std::string Cell(double value) {
  bool whole = value == std::floor(value) || std::abs(value) >= 100;
  return whole ? absl::StrFormat("%.0f", value)
               : absl::StrFormat("%.3g", value);
}

}  // namespace

std::string ToText(const Table& table) {
  std::string text = absl::StrCat("## ", table.name, "\n\n| ",
                                  absl::StrJoin(table.columns, " | "), " |\n|");
  for (std::size_t i = 0; i < table.columns.size(); ++i) text += " --- |";
  text += "\n";
  for (const std::vector<double>& row : table.rows) {
    std::string cells = absl::StrJoin(
        row, " | ",
        [](std::string* out, double value) { out->append(Cell(value)); });
    absl::StrAppend(&text, "| ", cells, " |\n");
  }
  return text;
}

Json::Value ToJson(const Table& table) {
  Json::Value json;
  json["name"] = table.name;
  json["rows"] = Json::Value(Json::arrayValue);
  for (const std::vector<double>& row : table.rows) {
    Json::Value object;
    for (std::size_t i = 0; i < row.size(); ++i) {
      object[table.columns[i]] = row[i];
    }
    json["rows"].append(object);
  }
  return json;
}

}  // namespace gentianlb::bench
