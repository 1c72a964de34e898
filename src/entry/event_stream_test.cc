#include "entry/event_stream.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::entry {
namespace {

std::string Chunk(int offset, const std::string& text,
                  const std::string& request = "r1",
                  const std::string& stream = "s1") {
  return "data: {\"id\":\"" + stream + "\",\"request\":\"" + request +
         "\",\"offset\":" + std::to_string(offset) +
         ",\"tokens\":1,\"choices\":[{\"delta\":{\"content\":\"" + text +
         "\"}}]}\n\n";
}

std::string TextOf(const std::vector<StreamChunk>& chunks) {
  std::string text;
  for (const StreamChunk& chunk : chunks) text += chunk.text;
  return text;
}

BOOST_AUTO_TEST_CASE(BytesMayArriveInAnyPieces) {
  std::string all = Chunk(0, "a") + Chunk(1, "b") +
                    "data: {\"id\":\"s1\",\"request\":\"r1\",\"offset\":2,"
                    "\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":2,"
                    "\"cached_tokens\":4}}\n\ndata: [DONE]\n\n";
  for (std::size_t piece = 1; piece <= all.size(); ++piece) {
    EventStreamReader reader("r1", 0);
    std::string text;
    for (std::size_t at = 0; at < all.size(); at += piece) {
      auto chunks = reader.Feed(all.substr(at, piece));
      BOOST_REQUIRE(chunks.ok());
      text += TextOf(chunks.value());
    }
    BOOST_REQUIRE(reader.complete());
    BOOST_REQUIRE(text == "ab");
    BOOST_REQUIRE((reader.usage() == StreamUsage{5, 2, 4}));
  }
}

// Two streams of one engine get crossed and a chunk of another caller's answer
// arrives here. The reader of a draft would see a stranger's words.
BOOST_AUTO_TEST_CASE(AChunkOfAnotherRequestIsAnError) {
  EventStreamReader reader("r1", 0);
  BOOST_TEST(reader.Feed(Chunk(0, "a")).ok());
  BOOST_TEST(!reader.Feed(Chunk(1, "x", "r2")).ok());
  EventStreamReader other("r1", 0);
  BOOST_TEST(other.Feed(Chunk(0, "a")).ok());
  BOOST_TEST(!other.Feed(Chunk(1, "x", "r1", "s2")).ok());
}

// A chunk is lost on the way, and the answer would lack a word in its middle
// while it looks complete.
BOOST_AUTO_TEST_CASE(AGapIsAnError) {
  EventStreamReader reader("r1", 0);
  BOOST_TEST(reader.Feed(Chunk(0, "a")).ok());
  BOOST_TEST(!reader.Feed(Chunk(2, "c")).ok());
}

// After a broken connection the stream is read again from its start. What the
// caller already has must not come twice.
BOOST_AUTO_TEST_CASE(AReplayedBeginningIsSkipped) {
  EventStreamReader reader("r1", 2);
  auto chunks = reader.Feed(Chunk(0, "a") + Chunk(1, "b") + Chunk(2, "c"));
  BOOST_REQUIRE(chunks.ok());
  BOOST_TEST(TextOf(chunks.value()) == "c");
}

BOOST_AUTO_TEST_CASE(ValuesOfAnotherTypeDoNoHarm) {
  EventStreamReader reader("r1", 0);
  BOOST_TEST(!reader.Feed("data: {\"request\":7}\n\n").ok());
  EventStreamReader second("r1", 0);
  BOOST_TEST(second
                 .Feed("data: {\"id\":\"s\",\"request\":\"r1\",\"choices\":[3],"
                       "\"usage\":[],\"tokens\":\"x\"}\n\n")
                 .ok());
  EventStreamReader third("r1", 0);
  BOOST_TEST(!third.Feed("data: nonsense\n\n").ok());
}

}  // namespace
}  // namespace gentianlb::entry
