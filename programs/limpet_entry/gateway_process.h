/// @file
/// @brief The entry host's process where requests are forwarded by declared
/// routes.
#pragma once

#include <string>

namespace limpetlink {

/// @brief Serves by the platform's settings file until SIGTERM, then finishes
/// what is in progress. SIGHUP and a changed file reload the bounds.
/// @param settings_path the file
/// @return 0 after a whole shutdown, else 1
int RunGatewayProcess(const std::string& settings_path);

}  // namespace limpetlink
