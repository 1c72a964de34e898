#include <boost/test/unit_test.hpp>
#include <sstream>

#include "explain/log_line.h"
#include "explain/losses.h"

namespace gentianlb::explain {
namespace {

constexpr char kPrefix[] = "2026-03-17T06:09:05.219Z I host=edge-1 event=";

LogLine Line(const std::string& rest) {
  auto line = ParseLogLine(kPrefix + rest);
  BOOST_REQUIRE(line.has_value());
  return *line;
}

BOOST_AUTO_TEST_CASE(FieldsAndQuotedCausesAreRead) {
  const LogLine line =
      Line("refused request=ab code=2004 cause=\"over the tokens\" after_ms=3");
  BOOST_TEST(line.host == "edge-1");
  BOOST_TEST(line.event == "refused");
  BOOST_TEST(line.Text("cause") == "over the tokens");
  BOOST_TEST(line.Number("after_ms") == 3);
  BOOST_TEST(line.Text("absent").empty());
}

// A process was killed while it wrote, or another program writes to the same
// file. Such lines must not end the reading.
BOOST_AUTO_TEST_CASE(CutAndForeignLinesAreLeftOut) {
  for (const char* text :
       {"", "hello", "host=edge-1", "event=sent",
        "x host=a event=", "2026-03-17T06:09:05.219Z I host=edge-1 ev"}) {
    BOOST_TEST(!ParseLogLine(text).has_value(), text);
  }
  BOOST_TEST(ParseLogLine("12.5 edge-1 2026-03-17T06:09:05.219Z I host=edge-1 "
                          "event=sent requ")
                 .has_value());
}

BOOST_AUTO_TEST_CASE(EachRequestHasOneEnding) {
  Losses losses;
  losses.Add(Line("sent request=a server=s"));
  losses.Add(Line("answered request=a route=r status=200 in_time=1"));
  losses.Add(Line("answered request=b route=r status=200 in_time=0"));
  losses.Add(Line("answered request=p route=r status=200 in_time=0 paused=1"));
  losses.Add(Line("answered request=c route=r status=500 in_time=1"));
  losses.Add(Line("refused request=d route=r code=2004 prompt_tokens=500"));
  losses.Add(Line("refused request=e route=r code=2001 after_ms=3"));
  losses.Add(Line("refused request=f route=r code=2001 after_ms=330"));
  losses.Add(Line("given-up request=g route=r code=3005"));
  losses.Add(Line("caller-gone request=h route=r"));
  losses.Add(Line("sent request=i server=s"));
  losses.Finish();
  const auto& table = losses.table();
  for (const Ending ending :
       {Ending::kInTime, Ending::kLate, Ending::kPaused, Ending::kServerFailed,
        Ending::kOverLimit, Ending::kNoRoom, Ending::kNoRoomLate,
        Ending::kDeadline, Ending::kCallerLeft}) {
    BOOST_REQUIRE(table.contains(ending));
    BOOST_TEST(table.at(ending).at("r").requests == 1, NameOf(ending));
  }
  BOOST_TEST(table.at(Ending::kOverLimit).at("r").prompt_tokens == 500);
  BOOST_TEST(table.at(Ending::kHostLost).at("-").requests == 1);
}

// Guards against a request that counts as served though its caller's
// connection didn't take the answer.
BOOST_AUTO_TEST_CASE(AnAnswerThatWasNotTakenIsNone) {
  Losses losses;
  losses.Add(Line("answered request=a route=r status=200 in_time=1"));
  losses.Add(Line("answered request=b route=r status=200 in_time=1"));
  losses.Add(Line("answer-undelivered request=b route=r"));
  losses.Finish();
  BOOST_TEST(losses.table().at(Ending::kInTime).at("r").requests == 1);
  BOOST_TEST(losses.table().at(Ending::kNotTaken).at("r").requests == 1);
}

BOOST_AUTO_TEST_CASE(TheTableNamesCausesAndRoutes) {
  Losses losses;
  losses.Add(Line("refused request=d route=chat code=2004 prompt_tokens=5000"));
  std::ostringstream out;
  losses.PrintTable(out);
  BOOST_TEST(out.str().find("over limit") != std::string::npos);
  BOOST_TEST(out.str().find("chat") != std::string::npos);
}

}  // namespace
}  // namespace gentianlb::explain
