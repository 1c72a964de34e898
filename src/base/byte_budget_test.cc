#include "base/byte_budget.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

namespace gentianlb {
namespace {

constexpr std::size_t kLimit = 1000;

struct Fixture {
  // Holds `bytes` until it gives way, and then none.
  void Hold(HeldKind kind, std::size_t bytes) {
    const std::size_t index = holders.size();
    holders.push_back(std::make_unique<HeldBytes>(budget, kind, [this, index] {
      gave_way.push_back(index);
      holders[index].reset();
    }));
    holders.back()->Set(bytes);
  }

  std::shared_ptr<ByteBudget> budget = std::make_shared<ByteBudget>(kLimit);
  std::vector<std::unique_ptr<HeldBytes>> holders;
  std::vector<std::size_t> gave_way;
};

// Guards against bytes that have given way and stay allocated.
BOOST_AUTO_TEST_CASE(ADeallocatedStringAllocatesNothing) {
  std::string text(kLimit, 'x');
  BOOST_TEST(AllocatedBytes(text) >= kLimit);
  Deallocate(text);
  BOOST_TEST(text.empty());
  BOOST_TEST(AllocatedBytes(text) == 0u);
}

BOOST_FIXTURE_TEST_CASE(NobodyGivesWayWithinTheLimit, Fixture) {
  Hold(HeldKind::kRequest, 400);
  Hold(HeldKind::kAnswer, 600);
  budget->Relieve();
  BOOST_TEST(gave_way.empty());
  BOOST_TEST(budget->held() == kLimit);
  BOOST_TEST(budget->held(HeldKind::kAnswer) == 600u);
}

// Guards against small requests that give way to what has no end.
BOOST_FIXTURE_TEST_CASE(TheLargestGivesWayFirst, Fixture) {
  for (const std::size_t bytes : {10, 300, 20, 700, 500}) {
    Hold(HeldKind::kAnswer, bytes);
  }
  budget->Relieve();
  BOOST_TEST(gave_way == (std::vector<std::size_t>{3}),
             boost::test_tools::per_element());
  BOOST_TEST(budget->held() == 830u);
  BOOST_TEST(budget->gave_way(HeldKind::kAnswer) == 1);
}

// Guards against others that give way to an answer that has given way before.
BOOST_AUTO_TEST_CASE(WhoGaveWayGivesWayAgain) {
  const auto budget = std::make_shared<ByteBudget>(kLimit);
  int times = 0;
  std::unique_ptr<HeldBytes> large;
  large = std::make_unique<HeldBytes>(budget, HeldKind::kAnswer, [&] {
    ++times;
    large->Set(0);
  });
  HeldBytes small(budget, HeldKind::kAnswer, [] { BOOST_TEST(false); });
  small.Set(10);
  for (int i = 0; i < 3; ++i) {
    large->Set(kLimit);
    budget->Relieve();
  }
  BOOST_TEST(times == 3);
}

// Guards against a request at a server that is taken away from it.
BOOST_FIXTURE_TEST_CASE(WhatIsKeptDoesNotGiveWay, Fixture) {
  Hold(HeldKind::kRequest, 900);
  Hold(HeldKind::kAnswer, 200);
  holders[0]->Keep();
  budget->Relieve();
  BOOST_TEST(gave_way == (std::vector<std::size_t>{1}),
             boost::test_tools::per_element());
  Hold(HeldKind::kRequest, 300);
  holders[2]->Keep();
  budget->Relieve();  // No holder can give way.
  BOOST_TEST(budget->held() == 1200u);
}

BOOST_FIXTURE_TEST_CASE(BytesAreReleasedWithTheirHolder, Fixture) {
  Hold(HeldKind::kUnread, 900);
  Hold(HeldKind::kUnread, 90);
  holders[0].reset();
  BOOST_TEST(budget->held() == 90u);
  holders[1]->Set(0);
  BOOST_TEST(budget->held() == 0u);
}

// Guards against large bytes that don't give way and take all that others need.
BOOST_AUTO_TEST_CASE(WhatIsKeptLeavesRoomForOthers) {
  constexpr std::size_t kMegabyte = 1 << 20;
  const auto budget = std::make_shared<ByteBudget>(kMegabyte);
  const auto hold = [&budget](std::size_t bytes) {
    auto held = std::make_unique<HeldBytes>(budget, HeldKind::kRequest, [] {});
    held->Set(bytes);
    return held;
  };
  const auto alone = hold(kMegabyte - 1);
  BOOST_TEST(alone->Keep());
  const auto large = hold(kMegabyte / 4);
  BOOST_TEST(!large->Keep());
  const auto small = hold(1000);
  BOOST_TEST(small->Keep());
  alone->Set(0);
  BOOST_TEST(large->Keep());
  const auto other = hold(kMegabyte / 4);
  BOOST_TEST(!other->Keep());
  BOOST_TEST(budget->gave_way(HeldKind::kRequest) == 2);
}

BOOST_AUTO_TEST_CASE(WithoutABudgetNothingIsCounted) {
  HeldBytes held(nullptr, HeldKind::kAnswer, nullptr);
  held.Set(5000);
}

}  // namespace
}  // namespace gentianlb
