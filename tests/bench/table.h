// A table of measured figures, printed for people or for scripts.

#ifndef GENTIANLB_TESTS_BENCH_TABLE_H_
#define GENTIANLB_TESTS_BENCH_TABLE_H_

#include <json/json.h>

#include <string>
#include <vector>

namespace gentianlb::bench {

struct Table {
  std::string name;
  std::vector<std::string> columns;
  std::vector<std::vector<double>> rows;
};

// As a Markdown table under its name.
std::string ToText(const Table& table);

// An object {"name", "rows"}; each row is an object by column.
Json::Value ToJson(const Table& table);

}  // namespace gentianlb::bench

#endif  // GENTIANLB_TESTS_BENCH_TABLE_H_
