// The operators' intent: an INI file read into a Configuration and checked as a
// whole. docs/INTENT.md lists its sections.

#ifndef GENTIANLB_CONFIG_INTENT_H_
#define GENTIANLB_CONFIG_INTENT_H_

#include <string_view>

#include "config/configuration.h"
#include "settings/document.h"

namespace gentianlb::config {

// Reads and checks a document. Everything is sorted by name, tiers by rank, so
// that the order of a file's sections means nothing. The version is 0. With any
// problem noted, the value must not be used.
Configuration ReadIntent(const settings::Document& document,
                         settings::Problems* problems);

// Reads and checks `text`; `file` names it in the error, which lists all
// problems, one a line.
Outcome<Configuration> ParseIntent(std::string_view file,
                                   std::string_view text);

}  // namespace gentianlb::config

#endif  // GENTIANLB_CONFIG_INTENT_H_
