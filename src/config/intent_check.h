// What must hold between the parts of an intent: names that are meant exist,
// and figures do not contradict each other.

#ifndef GENTIANLB_CONFIG_INTENT_CHECK_H_
#define GENTIANLB_CONFIG_INTENT_CHECK_H_

#include "config/configuration.h"
#include "settings/document.h"

namespace gentianlb::config {

// Notes every contradiction in `configuration`, which was read from `document`.
void CheckIntent(const settings::Document& document,
                 const Configuration& configuration,
                 settings::Problems* problems);

}  // namespace gentianlb::config

#endif  // GENTIANLB_CONFIG_INTENT_CHECK_H_
