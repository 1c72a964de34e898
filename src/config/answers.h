// The JSON answers to operators' questions about the configuration.

#ifndef GENTIANLB_CONFIG_ANSWERS_H_
#define GENTIANLB_CONFIG_ANSWERS_H_

#include <json/json.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "config/plan.h"
#include "config/rows.h"
#include "store/messages.h"

namespace gentianlb::config {

// A text parameter; empty when it is missing or of another type.
std::string TextOf(const Json::Value& params, const char* name);

// Who asks; "unknown" when the caller doesn't say.
std::string WhoOf(const Json::Value& params);
std::size_t LimitOf(const Json::Value& params);
Version VersionOf(const Json::Value& params);

Json::Value TextAnswer(const std::string& text);
Json::Value PlanAnswer(const Plan& plan);
Json::Value ConfirmAnswer(const HistoryEntry& entry);

// Rows as the table has them, oldest first; the answer has the newest first.
Json::Value HistoryAnswer(const std::vector<store::Row>& rows,
                          std::size_t limit);

// All parts of it; tokens are left out.
Json::Value ShowAnswer(const Configuration& configuration);

Error NoVersion(Version version);

// The entry of the confirm of `plan`, if there was one.
std::optional<HistoryEntry> FindConfirmed(const std::vector<store::Row>& rows,
                                          const std::string& plan);

}  // namespace gentianlb::config

#endif  // GENTIANLB_CONFIG_ANSWERS_H_
