// The figures of a replay as JSON for programs and as text for people.

#ifndef GENTIANLB_REPLAY_REPORT_H_
#define GENTIANLB_REPLAY_REPORT_H_

#include <json/json.h>

#include <string>

#include "replay/figures.h"

namespace gentianlb::replay {

Json::Value ToJson(const ReplayFigures& figures);

std::string ToText(const ReplayFigures& figures);

// A signature as the reports write it.
std::string Hex(std::uint64_t signature);

// Pretty JSON with a line feed at its end.
std::string Print(const Json::Value& value);

}  // namespace gentianlb::replay

#endif  // GENTIANLB_REPLAY_REPORT_H_
