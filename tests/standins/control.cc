#include "standins/control.h"

#include <iterator>
#include <utility>

#include "absl/time/clock.h"

namespace gentianlb::standins {
namespace {

constexpr std::size_t kMaxVersions = 1000;

bool SameType(const Json::Value& a, const Json::Value& b) {
  if (a.isNumeric() && b.isNumeric()) return true;
  return a.type() == b.type();
}

}  // namespace

Control::Control(Json::Value defaults)
    : switches_(std::move(defaults)), counters_(Json::objectValue) {
  versions_.push_back({absl::InfinitePast(), switches_});
}

std::string Control::Update(const Json::Value& changes) {
  absl::MutexLock lock(&mutex_);
  for (const std::string& name : changes.getMemberNames()) {
    if (!switches_.isMember(name)) return "unknown switch " + name;
    if (!SameType(switches_[name], changes[name])) {
      return "wrong type of " + name;
    }
  }
  for (const std::string& name : changes.getMemberNames()) {
    switches_[name] = changes[name];
  }
  versions_.push_back({absl::Now(), switches_});
  if (versions_.size() > kMaxVersions) versions_.pop_front();
  return "";
}

bool Control::Flag(const std::string& name) const {
  return Value(name).asBool();
}

double Control::Number(const std::string& name) const {
  return Value(name).asDouble();
}

std::string Control::Text(const std::string& name) const {
  return Value(name).asString();
}

Json::Value Control::Value(const std::string& name) const {
  absl::MutexLock lock(&mutex_);
  return switches_[name];
}

Json::Value Control::ValueAgo(const std::string& name,
                              absl::Duration lag) const {
  absl::MutexLock lock(&mutex_);
  absl::Time then = absl::Now() - lag;
  auto version = versions_.rbegin();
  while (std::next(version) != versions_.rend() && version->since > then) {
    ++version;
  }
  return version->switches[name];
}

absl::Duration Control::Milliseconds(const std::string& name) const {
  return absl::Milliseconds(Number(name));
}

bool Control::TakeOne(const std::string& name) {
  absl::MutexLock lock(&mutex_);
  std::int64_t left = switches_[name].asInt64();
  if (left <= 0) return false;
  switches_[name] = left - 1;
  return true;
}

void Control::Count(const std::string& counter, std::int64_t by) {
  absl::MutexLock lock(&mutex_);
  Json::Value& value = counters_[counter];
  value = value.asInt64() + by;
}

std::int64_t Control::CountIn(const std::string& table,
                              const std::string& key) {
  if (key.empty()) return 0;
  absl::MutexLock lock(&mutex_);
  Json::Value& value = counters_[table][key];
  value = value.asInt64() + 1;
  return value.asInt64();
}

void Control::Append(const std::string& list, const Json::Value& entry) {
  absl::MutexLock lock(&mutex_);
  counters_[list].append(entry);
}

Json::Value Control::Show() const {
  absl::MutexLock lock(&mutex_);
  Json::Value all;
  all["switches"] = switches_;
  all["counters"] = counters_;
  return all;
}

}  // namespace gentianlb::standins
