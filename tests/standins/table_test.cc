#include "standins/table.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::standins {
namespace {

using store::CommitResult;
using store::CommitState;
using store::Row;

// Two hosts insert the same row on the condition that it is absent. Were both
// told that it worked, both would run the request.
BOOST_AUTO_TEST_CASE(OnlyOneOfTwoInsertsSucceeds) {
  Table table;
  CommitResult first = table.Commit({"a", {{"k", 0}}, {{"k", "one"}}});
  CommitResult second = table.Commit({"b", {{"k", 0}}, {{"k", "two"}}});
  BOOST_TEST((first.state == CommitState::kCommitted));
  BOOST_TEST((second.state == CommitState::kConflict));
  BOOST_TEST(second.conflicts == std::vector<std::string>{"k"},
             boost::test_tools::per_element());
  BOOST_TEST(table.Read({"k"}).front().value == "one");
}

// One of two conditions fails. A row written all the same would be half of a
// change that nobody asked for.
BOOST_AUTO_TEST_CASE(AFailedConditionWritesNothing) {
  Table table;
  table.Commit({"a", {}, {{"k", "one"}}});
  CommitResult result =
      table.Commit({"b", {{"k", 0}, {"l", 0}}, {{"k", "x"}, {"l", "x"}}});
  BOOST_TEST((result.state == CommitState::kConflict));
  BOOST_TEST(table.Read({"k", "l"}).size() == 1);
}

// The answer was lost and the transaction is sent again with its token. It gets
// the first answer and takes effect only once.
BOOST_AUTO_TEST_CASE(ATokenIsAppliedOnce) {
  Table table;
  store::Transaction insert{"a", {{"k", 0}}, {{"k", "one"}}};
  CommitResult first = table.Commit(insert);
  CommitResult again = table.Commit(insert);
  BOOST_TEST((first == again));
  BOOST_TEST((table.Read({"k"}).front().version == first.versions[0].version));
}

// A row is deleted and made again between a reader's look and its write. With
// the old version back, the reader's condition would hold by mistake.
BOOST_AUTO_TEST_CASE(AVersionNeverComesBack) {
  Table table;
  CommitResult first = table.Commit({"a", {}, {{"k", "one"}}});
  table.Commit({"b", {}, {{"k", std::nullopt}}});
  BOOST_TEST(table.Read({"k"}).empty());
  CommitResult again = table.Commit({"c", {{"k", 0}}, {{"k", "one"}}});
  BOOST_TEST(again.versions[0].version > first.versions[0].version);
}

BOOST_AUTO_TEST_CASE(ScansAPrefixInPages) {
  Table table;
  table.Commit(
      {"a",
       {},
       {{"a/1", "1"}, {"b/1", "2"}, {"b/2", "3"}, {"b/3", "4"}, {"c/1", "5"}}});
  std::vector<Row> page = table.Scan("b/", "", 2);
  BOOST_REQUIRE(page.size() == 2);
  BOOST_TEST(page[0].key == "b/1");
  std::vector<Row> rest = table.Scan("b/", page.back().key, 2);
  BOOST_REQUIRE(rest.size() == 1);
  BOOST_TEST(rest[0].key == "b/3");
}

}  // namespace
}  // namespace gentianlb::standins
