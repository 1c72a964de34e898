#include "gateway/table_copy.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::gateway {
namespace {

TableRow Row(std::string key, std::uint64_t version, bool removed = false) {
  return {std::move(key), removed ? "" : "v", removed, version};
}

using Rows = std::vector<TableRow>;

BOOST_AUTO_TEST_CASE(ReturnsRowsChangedAfterAVersion) {
  TableCopy copy;
  copy.Replace({Row("a", 3), Row("b", 7)}, 10);
  copy.Apply({Row("c", 12)}, 12);
  copy.Apply({Row("a", 14)}, 15);
  BOOST_TEST(copy.since() == 10u);
  BOOST_TEST((copy.RowsSince(10) == Rows{Row("a", 14), Row("c", 12)}));
  BOOST_TEST((copy.RowsSince(12) == Rows{Row("a", 14)}));
  BOOST_TEST(copy.RowsSince(15).empty());
  BOOST_TEST(copy.RowsSince(0).size() == 3u);
}

// Guards against a peer that keeps a removed server because the reply to its
// query leaves removals out.
BOOST_AUTO_TEST_CASE(ReturnsRemovals) {
  TableCopy copy;
  copy.Replace({Row("a", 3), Row("b", 7)}, 10);
  copy.Apply({Row("b", 11, /*removed=*/true)}, 11);
  BOOST_TEST((copy.RowsSince(10) == Rows{Row("b", 11, true)}));
  BOOST_TEST((copy.RowsSince(0) == Rows{Row("a", 3)}));
}

// Guards against rows that a querying peer never receives because the table
// service reports no version for them.
BOOST_AUTO_TEST_CASE(ReturnsRowsWithoutAVersion) {
  TableCopy copy;
  copy.Replace({Row("a", 3), Row("b", 0)}, 10);
  BOOST_TEST((copy.RowsSince(10) == Rows{Row("b", 0)}));
}

// Old removals are dropped to bound the copy. since() must then rise, so that
// the host does not claim to know them.
BOOST_AUTO_TEST_CASE(DroppingRemovalsRaisesSince) {
  TableCopy copy;
  copy.Replace({Row("a", 3)}, 10);
  for (std::uint64_t version = 11; version <= 311; ++version) {
    copy.Apply({Row("s" + std::to_string(version), version, true)}, version);
  }
  BOOST_TEST(copy.since() > 10u);
  BOOST_TEST(copy.RowsSince(copy.since()).size() <= 256u);
  BOOST_TEST((copy.RowsSince(0) == Rows{Row("a", 3)}));
}

}  // namespace
}  // namespace gentianlb::gateway
