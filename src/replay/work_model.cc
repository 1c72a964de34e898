#include "replay/work_model.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "replay/server_fake.h"

namespace gentianlb::replay {
namespace {

using schedule::ServerSpec;

// Steps of a factor of two around the price at which engine time and energy
// weigh the same; finer steps changed the bound by less than 1 in 100.
constexpr double kMultiplierSteps[] = {0, 0.125, 0.25, 0.5, 1, 2, 4, 8};

// Seconds of the whole engine, and of the clock, for one output token of a
// stream in a batch of `batch`.
double ClockSeconds(const ServerSpec& spec, int batch) {
  return (1 + (batch - 1) * kBatchSlowdown) / spec.decode_tokens_per_second;
}

double FullRate(const ServerSpec& spec) {
  return spec.max_streams / ClockSeconds(spec, spec.max_streams);
}

// The mean of values that are spread evenly by their logarithm.
double Mean(const TokenRange& range) {
  if (range.most <= range.least) return range.least;
  return (range.most - range.least) /
         std::log(static_cast<double>(range.most) / range.least);
}

}  // namespace

WorkModel::WorkModel(const std::vector<ServerSpec>& servers, double multiplier)
    : multiplier_(multiplier) {
  for (const ServerSpec& spec : servers) {
    double rate = FullRate(spec);
    Price price;
    price.per_prompt_token = rate / spec.prefill_tokens_per_second +
                             multiplier * (spec.power.joules_per_prefill_token +
                                           spec.power.watts_per_stream /
                                               spec.prefill_tokens_per_second);
    price.per_output_token = std::numeric_limits<double>::infinity();
    for (int batch = 1; batch <= spec.max_streams; ++batch) {
      double clock = ClockSeconds(spec, batch);
      double cost = rate * clock / batch +
                    multiplier * spec.power.watts_per_stream * clock;
      price.per_output_token = std::min(price.per_output_token, cost);
    }
    prices_.push_back(price);
    full_rate_.push_back(rate);
    idle_watts_ += spec.power.idle_watts;
  }
}

double WorkModel::Cost(double prompt_tokens, double output_tokens) const {
  double least = std::numeric_limits<double>::infinity();
  for (const Price& price : prices_) {
    least = std::min(least, price.per_prompt_token * prompt_tokens +
                                price.per_output_token * output_tokens);
  }
  return least;
}

double WorkModel::Supply(const std::vector<double>& speeds,
                         double cap_watts) const {
  double supply = multiplier_ * std::max(0.0, cap_watts - idle_watts_);
  for (std::size_t i = 0; i < speeds.size(); ++i) {
    supply += full_rate_[i] * speeds[i];
  }
  return supply;
}

std::vector<double> Multipliers(const std::vector<ServerSpec>& servers,
                                double cap_watts) {
  double rate = 0;
  double idle = 0;
  for (const ServerSpec& spec : servers) {
    rate += FullRate(spec);
    idle += spec.power.idle_watts;
  }
  double even = rate / std::max(1.0, cap_watts - idle);
  std::vector<double> multipliers;
  for (double step : kMultiplierSteps) multipliers.push_back(step * even);
  return multipliers;
}

double RequestsPerSecond(const Deployment& deployment,
                         const ServiceLoad& service) {
  const double cap = deployment.power_cap_watts * service.power_fraction;
  const std::vector<double> whole(service.servers.size(), 1);
  double least = std::numeric_limits<double>::infinity();
  for (double multiplier : Multipliers(service.servers, cap)) {
    WorkModel model(service.servers, multiplier);
    double cost = 0;
    for (const RequestKind& kind : deployment.kinds) {
      if (kind.service != service.id) continue;
      double prompt = Mean(kind.tail_tokens) +
                      Mean(kind.document_tokens) / kind.document_readers;
      cost += kind.share * model.Cost(prompt, Mean(kind.output_tokens));
    }
    least = std::min(least, model.Supply(whole, cap) / cost);
  }
  return least;
}

}  // namespace gentianlb::replay
