#include "claim/sweeper.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>

namespace gentianlb::claim {
namespace {

absl::Time At(double hours) {
  return absl::UnixEpoch() + absl::Hours(1000) + absl::Hours(hours);
}

// In-memory table that answers at once.
class FakeTable {
 public:
  void Commit(const store::Transaction& transaction,
              const std::function<void(store::CommitResult)>& done) {
    for (const store::Condition& condition : transaction.conditions) {
      if (rows.at(condition.key).version != condition.version) {
        done({store::CommitState::kConflict, {condition.key}, {}});
        return;
      }
    }
    for (const store::Write& write : transaction.writes) {
      rows.erase(write.key);
    }
    done({store::CommitState::kCommitted, {}, {}});
  }
  void Read(const std::vector<std::string>& /*keys*/,
            const std::function<void(store::ReadResult)>& /*done*/) {}
  void Scan(const std::string& prefix,
            const std::function<void(store::ReadResult)>& done) {
    std::vector<store::Row> found;
    for (const auto& [key, row] : rows) {
      if (key.starts_with(prefix)) found.push_back(row);
    }
    if (before_answer) before_answer();
    done(found);
  }

  void Put(const std::string& digits, absl::Time written) {
    ClaimRow claim;
    claim.token = "t";
    claim.written = written;
    std::string key = RowKey(ClaimKey(digits));
    rows[key] = {key, Encode(claim), 1};
  }

  std::map<std::string, store::Row> rows;
  std::function<void()> before_answer;
};

void SweepAll(Sweeper<FakeTable>* sweeper, double from_hours) {
  absl::Time now = At(from_hours);
  for (int i = 0; i < kSliceCount; ++i) {
    sweeper->Tick(now);
    now = sweeper->NextDue();
  }
}

// Guards against a table that grows without limit, and against deletes of rows
// that are within the retention of three days.
BOOST_AUTO_TEST_CASE(OldRowsAreDeletedAndFreshRowsStay) {
  FakeTable table;
  for (const char* digits : {"00a", "7f1", "ffe"}) table.Put(digits, At(0));
  table.Put("00b", At(70));
  Sweeper<FakeTable> sweeper({}, EntryHostId("a"), &table);
  SweepAll(&sweeper, 73);
  BOOST_TEST(table.rows.size() == 1U);
  BOOST_TEST(table.rows.contains(RowKey(ClaimKey("00b"))));
  BOOST_TEST(sweeper.deleted() == 3U);
}

// A host takes over an old row while the sweeper scans it. The row must not be
// deleted, or the key could run twice.
BOOST_AUTO_TEST_CASE(ChangedRowIsNotDeleted) {
  FakeTable table;
  table.Put("00a", At(0));
  table.before_answer = [&] { table.rows.begin()->second.version = 2; };
  Sweeper<FakeTable> sweeper({}, EntryHostId("a"), &table);
  sweeper.Tick(At(73));
  BOOST_TEST(table.rows.size() == 1U);
}

BOOST_AUTO_TEST_CASE(EachSliceIsSweptByOneLiveHost) {
  std::vector<EntryHostId> hosts = {EntryHostId("a"), EntryHostId("b"),
                                    EntryHostId("c")};
  for (int slice = 0; slice < kSliceCount; ++slice) {
    int sweepers = 0;
    for (const EntryHostId& self : hosts) {
      std::vector<EntryHostId> peers;
      for (const EntryHostId& host : hosts) {
        if (host != self) peers.push_back(host);
      }
      if (SweepsSlice(slice, self, peers)) ++sweepers;
    }
    BOOST_REQUIRE(sweepers == 1);
  }
}

}  // namespace
}  // namespace gentianlb::claim
