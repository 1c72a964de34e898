#include "schedule/request_limit.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::schedule {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
constexpr absl::Duration kMs = absl::Milliseconds(1);

// Grants whenever the limit allows it and returns the number of grants.
int GrantAll(RequestLimit& limit, absl::Time from, absl::Duration span) {
  int grants = 0;
  for (absl::Time now = from; now < from + span; now += kMs) {
    while (limit.Allows(now)) {
      limit.Take(now);
      ++grants;
    }
  }
  return grants;
}

RequestLimit Limited(double per_second, double share = 1) {
  RequestLimit limit;
  limit.SetShare(share);
  limit.OnResponse(per_second, start, start);
  return limit;
}

BOOST_AUTO_TEST_CASE(WithoutALimitAllIsAllowed) {
  RequestLimit limit;
  limit.Take(start);
  BOOST_TEST(!limit.limited());
  BOOST_TEST(limit.Allows(start));
  BOOST_TEST((limit.NextGrant(start) == start));
}

// Guards against more grants than the limit allows in any time, and against
// limits that aren't used.
BOOST_AUTO_TEST_CASE(TheLimitIsKeptAndUsed) {
  for (const double per_second : {0.7, 1.0, 6.2, 50.0}) {
    RequestLimit limit = Limited(per_second);
    const int grants = GrantAll(limit, start, absl::Seconds(100));
    BOOST_TEST(grants <= 100 * per_second + 1);
    BOOST_TEST(grants >= 99 * per_second - 1);
  }
}

// Guards against grants saved up while nothing was asked.
BOOST_AUTO_TEST_CASE(LittleIsSavedUp) {
  RequestLimit limit = Limited(10);
  BOOST_TEST(GrantAll(limit, start + absl::Minutes(1), kMs) == 2);
}

// Guards against requests at the moment at which the limit is named.
BOOST_AUTO_TEST_CASE(ANewLimitBeginsWithNothingSaved) {
  const RequestLimit limit = Limited(1);
  BOOST_TEST(!limit.Allows(start + 990 * kMs));
  BOOST_TEST(limit.Allows(limit.NextGrant(start)));
}

// Guards against hosts that use more than their part of a limit together.
BOOST_AUTO_TEST_CASE(SharesKeepTheirPart) {
  RequestLimit share = Limited(100, 0.02);
  const int grants = GrantAll(share, start, absl::Seconds(100));
  BOOST_TEST(grants <= 200 + 2);
  RequestLimit small = Limited(1, 0.02);
  BOOST_TEST(GrantAll(small, start, absl::Hours(1)) == 0);
  BOOST_TEST((small.NextGrant(start) == absl::InfiniteFuture()));
}

// Guards against a limit that is ended by a response that was overtaken.
BOOST_AUTO_TEST_CASE(OnlyALaterRequestsResponseEndsTheLimit) {
  RequestLimit limit = Limited(1);
  limit.OnResponse(kNoRequestLimit, start - kMs, start + kMs);
  BOOST_TEST(limit.limited());
  limit.OnResponse(kNoRequestLimit, start, start + kMs);
  BOOST_TEST(limit.limited());
  limit.OnResponse(kNoRequestLimit, start + kMs, start + 2 * kMs);
  BOOST_TEST(!limit.limited());
}

// Guards against a limit of zero whose end no response would show.
BOOST_AUTO_TEST_CASE(AServerThatTakesNothingIsStillAskedNowAndThen) {
  RequestLimit limit = Limited(0);
  const int grants = GrantAll(limit, start, absl::Seconds(4));
  BOOST_TEST(grants >= 1);
  BOOST_TEST(grants <= 5);
}

// Guards against reports of peers, seconds old, that bring a limit back.
BOOST_AUTO_TEST_CASE(OwnResponsesCountMoreThanReports) {
  RequestLimit limit = Limited(1);
  limit.OnResponse(kNoRequestLimit, start + kMs, start + 2 * kMs);
  limit.OnPeerReport(1, start + absl::Seconds(2));
  BOOST_TEST(!limit.limited());
  limit.OnPeerReport(1, start + absl::Seconds(6));
  BOOST_TEST(limit.limited());
}

// Guards against hosts that report a limit to each other for ever.
BOOST_AUTO_TEST_CASE(OnlyWhatResponsesNameLatelyIsPublished) {
  const RequestLimit limit = Limited(6.2);
  BOOST_TEST((limit.Observed(start + absl::Seconds(1)) == 6.2));
  BOOST_TEST(!limit.Observed(start + absl::Seconds(3)).has_value());
  RequestLimit reported;
  reported.OnPeerReport(6.2, start);
  BOOST_TEST(!reported.Observed(start).has_value());
}

// Guards against the limit of a former life.
BOOST_AUTO_TEST_CASE(ARestartEndsTheLimit) {
  RequestLimit limit = Limited(1);
  limit.OnRestart();
  BOOST_TEST(limit.Allows(start));
}

// Guards against a grant that is lost to the limit since it wasn't sent.
BOOST_AUTO_TEST_CASE(AnUnsentGrantIsReturned) {
  RequestLimit limit = Limited(1);
  const absl::Time later = start + absl::Seconds(1);
  limit.Take(later);
  BOOST_TEST(!limit.Allows(later));
  limit.Refund();
  BOOST_TEST(limit.Allows(later));
}

}  // namespace
}  // namespace gentianlb::schedule
