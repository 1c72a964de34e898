#include <boost/test/unit_test.hpp>

#include "standins/batcher.h"
#include "standins/order_book.h"
#include "standins/prefix_cache.h"

namespace gentianlb::standins {
namespace {

constexpr Speeds kSpeeds{.prefill_rate = 1000,
                         .decode_rate = 100,
                         .batch_rate = 150,
                         .max_running = 2,
                         .kv_tokens = 100'000};

Stream MakeStream(const std::string& id, std::int64_t tokens) {
  Stream stream;
  stream.id = id;
  stream.max_tokens = tokens;
  stream.begun = absl::UnixEpoch();
  return stream;
}

void Pass(Batcher& batcher, double seconds) {
  Batcher::Events events;
  events.on_admitted = events.on_prefilled = events.on_done = [](Stream&) {};
  batcher.Advance(absl::UnixEpoch() + absl::Seconds(10), absl::Seconds(seconds),
                  kSpeeds, events);
}

BOOST_AUTO_TEST_CASE(StreamsShareTheBatchAndWaitForRoom) {
  Batcher batcher;
  for (const char* id : {"a", "b", "c"}) batcher.Add(MakeStream(id, 75));
  Pass(batcher, 0.5);
  BOOST_TEST(batcher.running() == 2);
  BOOST_TEST(batcher.queued() == 1);
  BOOST_TEST(batcher.Find("a")->tokens() == 37);
  Pass(batcher, 0.5);
  BOOST_TEST(batcher.Find("b")->done);
  Pass(batcher, 0.5);
  BOOST_TEST(batcher.Find("c")->tokens() == 50);
}

BOOST_AUTO_TEST_CASE(CancellingFreesTheRoom) {
  Batcher batcher;
  for (const char* id : {"a", "b", "c"}) batcher.Add(MakeStream(id, 75));
  Pass(batcher, 0.1);
  batcher.Cancel(batcher.Find("a")->id);
  Pass(batcher, 0.1);
  BOOST_TEST(batcher.Find("c")->admitted);
  BOOST_TEST((batcher.Find("a") == nullptr));
}

BOOST_AUTO_TEST_CASE(PromptsShareTheirCommonBlocks) {
  std::string common(512, 'x');
  std::vector<std::string> one = BlockHashes(common + std::string(256, 'a'));
  std::vector<std::string> two = BlockHashes(common + std::string(300, 'b'));
  BOOST_TEST(one.size() == 3);
  BOOST_TEST(two.size() == 3);
  PrefixCache cache;
  cache.Add(one, 10, absl::UnixEpoch(), false);
  BOOST_TEST(cache.Match(two) == 2);
}

BOOST_AUTO_TEST_CASE(TheCacheEvictsWhatWasUsedLongestAgo) {
  PrefixCache cache;
  cache.Add({"a1", "a2"}, 3, absl::UnixEpoch(), false);
  cache.Add({"b1", "b2"}, 3, absl::UnixEpoch(), false);
  BOOST_TEST(cache.Match({"a1", "a2"}) == 1);
  std::vector<CacheEvent> events = cache.Events(1, absl::UnixEpoch());
  BOOST_REQUIRE(events.size() == 1);
  BOOST_TEST(events[0].removed.front() == "a2");
}

// Events come late and some never do. Who follows them sees the gap only by the
// missing number.
BOOST_AUTO_TEST_CASE(EventsAreLateAndHaveGaps) {
  PrefixCache cache;
  absl::Time start = absl::UnixEpoch();
  cache.Add({"a"}, 9, start + absl::Seconds(1), false);
  cache.Add({"b"}, 9, start + absl::Seconds(1), true);
  cache.Add({"c"}, 9, start + absl::Seconds(1), false);
  BOOST_TEST(cache.Events(0, start).empty());
  std::vector<CacheEvent> events = cache.Events(0, start + absl::Seconds(1));
  BOOST_REQUIRE(events.size() == 2);
  BOOST_TEST(events[1].sequence == 3);
}

// A paused holder of the orders' lease wakes and sends an order. An engine that
// checks refuses it; one that does not is what the system must cope with.
BOOST_AUTO_TEST_CASE(AnOldFencingNumberIsRefusedWhereItIsChecked) {
  OrderBook orders;
  BOOST_TEST(
      (orders.Take({5, "o1", "load", "m", ""}, true) == OrderVerdict::kTaken));
  BOOST_TEST(
      (orders.Take({4, "o2", "load", "n", ""}, true) == OrderVerdict::kStale));
  BOOST_TEST(
      (orders.Take({4, "o3", "load", "n", ""}, false) == OrderVerdict::kTaken));
  BOOST_TEST((orders.Take({5, "o1", "load", "m", ""}, true) ==
              OrderVerdict::kRepeated));
  orders.Finish("o1", true);
  BOOST_TEST(orders.models().contains("m"));
}

}  // namespace
}  // namespace gentianlb::standins
