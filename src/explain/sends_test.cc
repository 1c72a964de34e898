#include "explain/sends.h"

#include <boost/test/unit_test.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace gentianlb::explain {
namespace {

// Adds lines of hosts at milliseconds of one minute.
struct Log {
  void Add(int at_ms, const std::string& host, const std::string& rest) {
    auto line = ParseLogLine(
        absl::StrFormat("2026-03-17T06:09:%02d.%03dZ I host=%s event=%s",
                        at_ms / 1000, at_ms % 1000, host, rest));
    BOOST_REQUIRE(line.has_value());
    sends.Add(*line);
  }

  std::vector<SendFault> Faults() {
    sends.Finish();
    std::vector<SendFault> faults;
    for (const SendProblem& problem : sends.problems()) {
      faults.push_back(problem.fault);
    }
    return faults;
  }

  Sends sends;
};

using Faults = std::vector<SendFault>;

BOOST_AUTO_TEST_CASE(SendsThatEndAsNotRunMayBeRepeatedAndRefused) {
  Log log;
  log.Add(0, "h", "sent request=a server=s once=1");
  log.Add(10, "h", "shed request=a server=s");
  log.Add(11, "h", "sent request=a server=t once=1");
  log.Add(12, "h", "not-sent request=a server=t");
  log.Add(13, "h", "sent request=a server=u once=1");
  log.Add(14, "h", "send-withheld request=a server=u");
  log.Add(15, "h", "refused request=a code=2001");
  BOOST_TEST(log.Faults().empty());
  BOOST_TEST(log.sends.sends_once() == 3);
}

// Guards against a second send while the first may still run.
BOOST_AUTO_TEST_CASE(ASecondSendIsFound) {
  Log log;
  log.Add(0, "h", "sent request=a server=s once=1");
  log.Add(10, "h", "sent request=a server=t once=1");
  log.Add(20, "h", "answered request=a status=200");
  BOOST_TEST((log.Faults() == Faults{SendFault::kSecondSend}));
  std::ostringstream out;
  log.sends.Print(out);
  BOOST_TEST(out.str().find("request a: h to s, then h to t") !=
             std::string::npos);
}

// Guards against a copy of a refusal that passes for another server's.
BOOST_AUTO_TEST_CASE(ASecondRefusalOnOneConnectionIsFound) {
  Log log;
  for (const char* port : {"1", "2"}) {
    const std::string id = absl::StrCat("request=r", port);
    log.Add(0, "h", absl::StrCat("sent ", id, " server=s once=1"));
    log.Add(1, "h", absl::StrCat("shed ", id, " server=s connection=1"));
    log.Add(2, "h", absl::StrCat("sent ", id, " server=t once=1"));
    log.Add(3, "h", absl::StrCat("shed ", id, " server=t connection=", port));
    log.Add(4, "h", absl::StrCat("refused ", id));
  }
  BOOST_TEST((log.Faults() == Faults{SendFault::kCopiedRefusal}));
}

// Guards against a send after one that may have run.
BOOST_AUTO_TEST_CASE(ASendAfterAnUnknownEndIsFoundWhereTheRequestMayRunOnce) {
  Log log;
  for (const char* once : {"0", "1"}) {
    log.Add(0, "h",
            absl::StrCat("sent request=", once, " server=s once=", once));
    log.Add(1, "h", absl::StrCat("sending-failed request=", once, " server=s"));
    log.Add(2, "h",
            absl::StrCat("sent request=", once, " server=t once=", once));
    log.Add(3, "h", absl::StrCat("answered request=", once));
  }
  BOOST_TEST((log.Faults() == Faults{SendFault::kSentAgain}));
}

// Guards against a promise that a server may break.
BOOST_AUTO_TEST_CASE(AFalsePromiseIsFound) {
  Log log;
  log.Add(0, "h", "sent request=a server=s once=1");
  log.Add(1, "h", "refused request=a code=2001");
  log.Add(2, "h", "sent request=b server=s once=1");
  log.Add(3, "h", "sending-failed request=b server=s");
  log.Add(4, "h", "refused request=b code=2001");
  BOOST_TEST((log.Faults() ==
              Faults{SendFault::kFalsePromise, SendFault::kFalsePromise}));
}

// Guards against two servers that run the same stream over two hosts.
BOOST_AUTO_TEST_CASE(AStreamThatIsTakenUpWhileItsServerWorksOnIsFound) {
  Log log;
  log.Add(0, "h", "sent request=a server=s once=0");
  log.Add(0, "h", "sent request=b server=s once=0");
  log.Add(2350, "h", "caller-gone request=b");
  log.Add(5000, "h", "caller-gone request=a");
  log.Add(2000, "k", "sent request=c server=t once=0 takes_up=a");
  log.Add(2000, "k", "sent request=d server=t once=0 takes_up=b");
  log.Add(4000, "k", "answered request=c");
  log.Add(4000, "k", "answered request=d");
  BOOST_TEST((log.Faults() == Faults{SendFault::kTwoAtWork}));
  BOOST_TEST(log.sends.problems().front().request == "c");
  BOOST_TEST(log.sends.problems().front().overlap == absl::Seconds(2));
}

// A process that was killed holds no connection; its last line is its end.
BOOST_AUTO_TEST_CASE(SendsEndWithTheirProcess) {
  Log log;
  log.Add(0, "h", "sent request=a server=s once=1");
  log.Add(0, "h", "sent request=b server=s once=0");
  log.Add(100, "h", "shed request=x server=s");
  log.Add(890, "h", "following table=op");
  log.Add(900, "h", "started zone=z");
  log.Add(1000, "h", "sent request=a server=s once=1");
  log.Add(200, "k", "sent request=c server=t once=0 takes_up=b");
  log.Add(3000, "k", "answered request=c");
  BOOST_TEST(log.Faults().empty());
}

}  // namespace
}  // namespace gentianlb::explain
