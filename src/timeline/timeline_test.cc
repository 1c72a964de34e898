#include <boost/test/unit_test.hpp>

#include "timeline/json.h"
#include "timeline/merge.h"
#include "timeline/recorder.h"
#include "timeline/render.h"

namespace gentianlb::timeline {
namespace {

Event Make(std::int64_t micros, const char* host, EventKind kind,
           const char* subject, const char* detail = "") {
  return {{micros, 0}, EntryHostId(host), 5, kind, subject, detail};
}

std::vector<Event> OneRequest() {
  return {Make(100, "abdali-1", EventKind::kRequestAccepted, "r1", "key=k7"),
          Make(150, "sahab-1", EventKind::kRequestGranted, "r1"),
          Make(160, "abdali-1", EventKind::kRequestDispatched, "r1"),
          Make(900, "abdali-1", EventKind::kRequestAnswered, "r1")};
}

BOOST_AUTO_TEST_CASE(JsonGivesTheSameEventsBack) {
  auto back = EventsFromJson(ToJson(OneRequest()));
  BOOST_REQUIRE(back.ok());
  BOOST_TEST((back.value() == OneRequest()));
}

// A host of the next release sends a kind that this program does not know, and
// another answers nonsense; the events of the others must still be shown.
BOOST_AUTO_TEST_CASE(UnknownKindsAreLeftOutAndNonsenseIsAnError) {
  Json::Value list = ToJson(OneRequest());
  list[0]["kind"] = "request-teleported";
  BOOST_TEST(EventsFromJson(list).value().size() == 3u);
  list[1]["micros"] = "soon";
  BOOST_TEST(!EventsFromJson(list).ok());
  BOOST_TEST(!EventsFromJson(Json::Value("x")).ok());
}

BOOST_AUTO_TEST_CASE(MergesByStampOnceAndFilters) {
  std::vector<Event> all = OneRequest();
  std::vector<Event> one = {all[3], all[0]};
  std::vector<Event> other = {all[2], all[1], all[0]};
  BOOST_TEST((Merge({one, other}, {}) == all));
  BOOST_TEST(Merge({all}, {"k7", "", ""}).size() == 1u);
  BOOST_TEST(Merge({all}, {"", "request-a", ""}).size() == 2u);
  BOOST_TEST(Merge({all}, {"", "", "sahab-1"}).size() == 1u);
}

// A receiver's wall clock lags behind its sender's. Sorted by wall time, an
// answer would come before its question.
BOOST_AUTO_TEST_CASE(AnEffectIsStampedAfterItsCause) {
  Recorder sender(EntryHostId("a"), 1, 10);
  Recorder receiver(EntryHostId("b"), 1, 2);
  Stamp ahead{sender.Now().micros + 60'000'000, 3};
  receiver.Observe(ahead);
  receiver.Record(EventKind::kRequestGranted, "r1");
  BOOST_TEST((receiver.Events().back().stamp > ahead));
  receiver.Record(EventKind::kRequestAnswered, "r1");
  receiver.Record(EventKind::kRequestRefused, "r2");
  BOOST_TEST(receiver.Events().size() == 2u);
}

// A caller puts markup or a line break into its idempotency key. Unescaped it
// would run in the operator's browser, or forge a line of the text.
BOOST_AUTO_TEST_CASE(TextsOfCallersCannotBreakOut) {
  std::vector<Event> events = {Make(1, "a", EventKind::kRequestRefused,
                                    "<script>x</script>", "a\nb \"c\"")};
  std::string html = RenderHtml(events);
  BOOST_TEST(html.find("<script") == std::string::npos);
  BOOST_TEST(html.find("&lt;script&gt;") != std::string::npos);
  std::string text = RenderText(events);
  BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 1);
}

BOOST_AUTO_TEST_CASE(ThePageHasALaneForEachHostAndNeedsNothingElse) {
  std::string html = RenderHtml(OneRequest());
  BOOST_TEST(html.find(">abdali-1</text>") != std::string::npos);
  BOOST_TEST(html.find(">sahab-1</text>") != std::string::npos);
  BOOST_TEST(html.find("http") == std::string::npos);
  BOOST_TEST(RenderHtml({}).find("No events") != std::string::npos);
}

}  // namespace
}  // namespace gentianlb::timeline
