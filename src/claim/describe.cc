// Formats the state of the claim machine as text.

#include <sstream>

#include "claim/claim_machine.h"

namespace gentianlb::claim {
namespace {

std::int64_t Millis(absl::Time time) { return absl::ToUnixMillis(time); }

}  // namespace

std::string KeyMemory::Describe() const {
  std::ostringstream out;
  for (const auto& [key, promises] : promises_) {
    for (const Promise& promise : promises) {
      out << "promise " << key << ' ' << promise.requester << ' '
          << promise.incarnation << ' ' << Millis(promise.made) << '\n';
    }
  }
  for (const auto& [key, finished] : finished_) {
    out << "ended " << key << ' ' << finished.server << ' '
        << Millis(finished.finished_at) << '\n';
  }
  for (const auto& [token, time] : abandoned_) {
    out << "abandoned " << token << ' ' << Millis(time) << '\n';
  }
  return out.str();
}

std::string Coverage::Describe() const {
  std::ostringstream out;
  out << "lease registered=" << registered_ << " superseded=" << superseded_
      << " version=" << version_ << " since=" << Millis(since_)
      << " until=" << Millis(until_) << " scan=" << Millis(scan_sent_)
      << " clean=" << all_covered_at_start_ << '\n';
  for (const auto& [host, lease] : peers_) {
    out << host << ' ' << lease.incarnation << ' ' << Millis(lease.since) << ' '
        << Millis(lease.until) << ' ' << Millis(lease.lost_until) << '\n';
  }
  return out.str();
}

std::string ClaimMachine::Describe() const {
  std::ostringstream out;
  out << "host " << options_.self << ' ' << options_.incarnation
      << " table=" << table_up_ << " scanning=" << scanning_
      << " renewing=" << renewing_ << " awake=" << Millis(awake_since_)
      << " paused=" << Millis(paused_from_) << " calls=" << next_call_
      << " tokens=" << next_token_ << '\n';
  for (const auto& [id, claim] : claims_) {
    out << "claim " << id << ' ' << claim.request.key << ' ' << claim.token
        << " phase=" << static_cast<int>(claim.phase)
        << " base=" << claim.replaced_version << " version=" << claim.version
        << " maybe=" << claim.row_may_exist
        << " without=" << claim.without_table << " doubt=" << claim.in_doubt
        << " failed=" << claim.attach_failed
        << " first_sent=" << Millis(claim.first_sent)
        << " row_sent=" << Millis(claim.row_sent) << " server=" << claim.server;
    if (claim.found_row) out << " other=" << claim.found_row->version;
    for (const Promise& promise : claim.promises) {
      out << " promised=" << promise.requester << promise.incarnation;
    }
    for (const auto& [call, peer] : claim.queries) out << ' ' << call << peer;
    out << '\n';
  }
  for (const auto& [token, pending] : pending_deletes_) {
    out << "closing " << token << " busy=" << pending.in_flight << '\n';
  }
  for (const auto& [token, deferred] : deferred_) {
    out << "late " << token << " busy=" << deferred.in_flight << ' '
        << static_cast<int>(deferred.row.state) << '\n';
  }
  for (const auto& [id, call] : calls_) {
    out << "call " << id << ' ' << static_cast<int>(call.purpose) << '\n';
  }
  return out.str() + memory_.Describe() + coverage_.Describe();
}

}  // namespace gentianlb::claim
