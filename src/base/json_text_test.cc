#include "base/json_text.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb {
namespace {

// A corrupt row of the table consists of opening brackets. Its readers must
// treat it as unreadable instead of crashing each time they read it.
BOOST_AUTO_TEST_CASE(DeeplyNestedTextIsNotParsed) {
  BOOST_TEST(!ParseObject(std::string(100'000, '[')).has_value());
  std::string objects;
  for (int i = 0; i < 100'000; ++i) objects += "{\"a\":";
  BOOST_TEST(!ParseObject(objects).has_value());
}

BOOST_AUTO_TEST_CASE(ParsedObjectIsWrittenUnchanged) {
  std::optional<Json::Value> read = ParseObject(R"({"a":1,"b":"x"})");
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(ToText(*read) == R"({"a":1,"b":"x"})");
  BOOST_TEST(AllStrings(*read, {"b"}));
  BOOST_TEST(!AllIntegers(*read, {"a", "b"}));
}

}  // namespace
}  // namespace gentianlb
