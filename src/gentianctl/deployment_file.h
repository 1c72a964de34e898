// A replay on the operators' own site: its servers, cap and weights come from
// an intent file, the requests from the built-in deployment of the same name.

#ifndef GENTIANLB_GENTIANCTL_DEPLOYMENT_FILE_H_
#define GENTIANLB_GENTIANCTL_DEPLOYMENT_FILE_H_

#include <string>

#include "base/result.h"
#include "replay/deployment.h"

namespace gentianlb::ctl {

// Reads the intent `path`, and places the models of servers that name none.
Result<replay::Deployment> ReadDeployment(const std::string& path);

}  // namespace gentianlb::ctl

#endif  // GENTIANLB_GENTIANCTL_DEPLOYMENT_FILE_H_
