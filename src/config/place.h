// Which models each backend server holds, where the intent leaves it open.

#ifndef GENTIANLB_CONFIG_PLACE_H_
#define GENTIANLB_CONFIG_PLACE_H_

#include "config/configuration.h"

namespace gentianlb::config {

// Fills the models of those servers of `wanted` that name none. They keep what
// they hold in `base`, since every needless load takes its time of the weight
// store; what a zone still lacks goes to the servers with the fewest models.
// The same input gives the same placement.
void PlaceModels(const Configuration& base, Configuration* wanted);

}  // namespace gentianlb::config

#endif  // GENTIANLB_CONFIG_PLACE_H_
