#include "replay/report.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace gentianlb::replay {
namespace {

double Seconds(absl::Duration duration) {
  return absl::ToDoubleSeconds(duration);
}

Json::Value TierToJson(const TierFigures& tier) {
  Json::Value value;
  value["tier"] = tier.tier.rank;
  value["offered"] = tier.offered;
  value["finished_in_time"] = tier.in_time;
  value["finished_late"] = tier.late;
  value["refused"] = tier.refused;
  value["cancelled"] = tier.cancelled;
  value["broken"] = tier.broken;
  value["abandoned"] = tier.abandoned;
  value["refused_before_lower_tier"] = tier.inversions;
  value["cancelled_before_lower_tier"] = tier.cancel_inversions;
  value["doubtful_refusals"] = tier.doubtful_refusals;
  value["first_token_median_s"] = Seconds(tier.first_token_median);
  value["first_token_p99_s"] = Seconds(tier.first_token_p99);
  value["fairness"] = tier.fairness;
  value["codes"] = Json::Value(Json::objectValue);
  for (const auto& [code, count] : tier.codes) {
    value["codes"][std::to_string(static_cast<int>(code))] = count;
  }
  return value;
}

Json::Value PrefillToJson(const PrefillFigures& prefill) {
  Json::Value wasted;
  wasted["cancelled"] = prefill.cancelled;
  wasted["broken"] = prefill.broken;
  wasted["late"] = prefill.late;
  wasted["evicted"] = prefill.evicted;
  wasted["misplaced"] = prefill.misplaced;
  wasted["total"] = prefill.wasted();
  Json::Value value;
  value["computed_tokens"] = prefill.computed;
  value["wasted_tokens"] = wasted;
  return value;
}

Json::Value BoundToJson(const BoundFigures& bound) {
  Json::Value value;
  value["by_tier"] = Json::Value(Json::arrayValue);
  for (double count : bound.by_tier) value["by_tier"].append(count);
  value["tiers_total"] = bound.tiers_total;
  value["total"] = bound.total;
  return value;
}

Json::Value ServiceToJson(const ServiceFigures& service) {
  Json::Value value;
  value["service"] = service.service.str();
  value["tiers"] = Json::Value(Json::arrayValue);
  for (const TierFigures& tier : service.tiers) {
    value["tiers"].append(TierToJson(tier));
  }
  value["prefill"] = PrefillToJson(service.prefill);
  value["peak_watts"] = service.peak_watts;
  value["mean_watts"] = service.mean_watts;
  value["lowest_cap_watts"] = service.lowest_cap_watts;
  value["watts_above_cap"] = service.watts_above_cap;
  value["events"] = Json::Int64{service.events};
  value["decisions"] = Json::Int64{service.decisions};
  value["ns_per_decision"] = service.ns_per_decision;
  value["signature"] = Hex(service.signature);
  value["bound"] = BoundToJson(service.bound);
  return value;
}

std::string CodesToText(const std::map<Code, int>& codes) {
  if (codes.empty()) return "";
  std::string text = "          by code:";
  for (const auto& [code, count] : codes) {
    absl::StrAppend(&text, " ", static_cast<int>(code), " x ", count);
  }
  return text + "\n";
}

std::string TierToText(const TierFigures& tier, double bound) {
  return absl::StrFormat(
             "  tier %d: offered %5d  in time %5d  bound %7.1f  late %4d  "
             "refused "
             "%5d  cancelled %4d  broken %3d  left %3d  inversions %d+%d  "
             "doubtful "
             "%d\n          first token median %.2f s, p99 %.2f s  fairness "
             "%.3f\n",
             tier.tier.rank, tier.offered, tier.in_time, bound, tier.late,
             tier.refused, tier.cancelled, tier.broken, tier.abandoned,
             tier.inversions, tier.cancel_inversions, tier.doubtful_refusals,
             Seconds(tier.first_token_median), Seconds(tier.first_token_p99),
             tier.fairness) +
         CodesToText(tier.codes);
}

double Percent(double part, double whole) {
  return whole > 0 ? 100 * part / whole : 0;
}

std::string ServiceToText(const ServiceFigures& service) {
  std::string text = absl::StrCat(service.service.str(), "\n");
  for (std::size_t i = 0; i < service.tiers.size(); ++i) {
    double bound =
        i < service.bound.by_tier.size() ? service.bound.by_tier[i] : 0;
    text += TierToText(service.tiers[i], bound);
  }
  const PrefillFigures& prefill = service.prefill;
  auto percent = [&](double part) { return Percent(part, prefill.computed); };
  absl::StrAppendFormat(
      &text,
      "  prefill: computed %.0f, wasted %.2f %% (cancelled %.2f, broken %.2f, "
      "late %.2f, evicted %.2f, misplaced %.2f)\n",
      prefill.computed, percent(prefill.wasted()), percent(prefill.cancelled),
      percent(prefill.broken), percent(prefill.late), percent(prefill.evicted),
      percent(prefill.misplaced));
  absl::StrAppendFormat(&text,
                        "  power: peak %.0f W, mean %.0f W, lowest cap %.0f W, "
                        "above the cap %.0f W\n",
                        service.peak_watts, service.mean_watts,
                        service.lowest_cap_watts, service.watts_above_cap);
  absl::StrAppendFormat(
      &text, "  decisions: %d in %d events, %.0f ns each, signature %s\n",
      service.decisions, service.events, service.ns_per_decision,
      Hex(service.signature));
  absl::StrAppendFormat(&text,
                        "  bound: %.1f with tiers in order, %.1f without\n",
                        service.bound.tiers_total, service.bound.total);
  return text;
}

}  // namespace

Json::Value ToJson(const ReplayFigures& figures) {
  Json::Value value;
  value["deployment"] = figures.deployment;
  value["trace"] = figures.note;
  value["policy"] = figures.policy;
  value["services"] = Json::Value(Json::arrayValue);
  for (const ServiceFigures& service : figures.services) {
    value["services"].append(ServiceToJson(service));
  }
  return value;
}

std::string ToText(const ReplayFigures& figures) {
  std::string text = absl::StrCat(figures.deployment, ", ", figures.note,
                                  ", policy ", figures.policy, "\n");
  for (const ServiceFigures& service : figures.services) {
    text += ServiceToText(service);
  }
  return text;
}

std::string Hex(std::uint64_t signature) {
  return absl::StrFormat("%016x", signature);
}

std::string Print(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "  ";
  return Json::writeString(builder, value) + "\n";
}

}  // namespace gentianlb::replay
