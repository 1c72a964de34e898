#include "gateway/table_copy.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::gateway {
namespace {

TableRow Row(std::string key, std::uint64_t version, bool removed = false) {
  return {std::move(key), removed ? "" : "v", removed, version};
}

using Rows = std::vector<TableRow>;

BOOST_AUTO_TEST_CASE(TellsWhatChangedAfterAVersion) {
  TableCopy copy;
  copy.Replace({Row("a", 3), Row("b", 7)}, 10);
  copy.Change({Row("c", 12)}, 12);
  copy.Change({Row("a", 14)}, 15);
  BOOST_TEST(copy.since() == 10u);
  BOOST_TEST((copy.RowsSince(10) == Rows{Row("a", 14), Row("c", 12)}));
  BOOST_TEST((copy.RowsSince(12) == Rows{Row("a", 14)}));
  BOOST_TEST(copy.RowsSince(15).empty());
  BOOST_TEST(copy.RowsSince(0).size() == 3u);
}

// Guards against servers that are gone and that a host that asked keeps.
BOOST_AUTO_TEST_CASE(TellsOfRemovals) {
  TableCopy copy;
  copy.Replace({Row("a", 3), Row("b", 7)}, 10);
  copy.Change({Row("b", 11, /*removed=*/true)}, 11);
  BOOST_TEST((copy.RowsSince(10) == Rows{Row("b", 11, true)}));
  BOOST_TEST((copy.RowsSince(0) == Rows{Row("a", 3)}));
}

// Guards against rows that a host that asked never gets, as their service
// doesn't say when they changed.
BOOST_AUTO_TEST_CASE(TellsOfRowsWithoutAVersion) {
  TableCopy copy;
  copy.Replace({Row("a", 3), Row("b", 0)}, 10);
  BOOST_TEST((copy.RowsSince(10) == Rows{Row("b", 0)}));
}

// Removals are dropped in the end, and then it doesn't claim to know them.
BOOST_AUTO_TEST_CASE(IsBoundedAndSaysSo) {
  TableCopy copy;
  copy.Replace({Row("a", 3)}, 10);
  for (std::uint64_t version = 11; version <= 311; ++version) {
    copy.Change({Row("s" + std::to_string(version), version, true)}, version);
  }
  BOOST_TEST(copy.since() > 10u);
  BOOST_TEST(copy.RowsSince(copy.since()).size() <= 256u);
  BOOST_TEST((copy.RowsSince(0) == Rows{Row("a", 3)}));
}

}  // namespace
}  // namespace gentianlb::gateway
