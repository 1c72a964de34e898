#include "gateway/stream_rows.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace gentianlb::gateway {
namespace {

StreamRow MakeRow() {
  StreamRow row;
  row.written_ms = 1'234'567'890'123;
  row.since_ms = 9;
  row.versions[7] = {"v1", "v2"};
  row.streams["v1"] = {{1, absl::Seconds(60)}, {2, absl::Milliseconds(10)}};
  row.streams["v2"] = {{~StreamId{0}, absl::ZeroDuration()}};
  return row;
}

BOOST_AUTO_TEST_CASE(ARowIsDecodedAsItWasEncoded) {
  BOOST_TEST((DecodeStreamRow(Encode(MakeRow())) == MakeRow()));
}

BOOST_AUTO_TEST_CASE(TruncatedAndForeignRowsAreRejected) {
  const std::string bytes = Encode(MakeRow());
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    BOOST_TEST(!DecodeStreamRow(bytes.substr(0, i)));
  }
  BOOST_TEST(!DecodeStreamRow("{}"));
}

BOOST_AUTO_TEST_CASE(ALongTimeLeftIsBounded) {
  StreamRow row;
  row.streams["v"] = {{1, absl::Hours(1)}, {2, -absl::Hours(1)}};
  const auto decoded = DecodeStreamRow(Encode(row));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((decoded->streams.at("v")[0].time_left > absl::Minutes(10)));
  BOOST_TEST((decoded->streams.at("v")[1].time_left == absl::ZeroDuration()));
}

BOOST_AUTO_TEST_CASE(AKeyNamesTheProcess) {
  const StreamRowKey key{"hall/a", 1'700'000'000'000'000, 12};
  BOOST_TEST(Format(key) == "hall/a/1700000000000000/12");
  BOOST_TEST((ParseStreamRowKey(Format(key)) == key));
  for (const char* text : {"", "/", "a/1", "a/b/1", "a/1/b", "a//"}) {
    BOOST_TEST(!ParseStreamRowKey(text), text);
  }
}

}  // namespace
}  // namespace gentianlb::gateway
