/// @file
/// @brief The process of an entry host that forwards requests by the routes of
/// the platform's configuration.
#pragma once

#include <string>

namespace limpetlink {

/// @brief Serves callers until SIGTERM, then completes the requests in
/// progress. SIGHUP or a changed settings file reloads the limits.
/// @param settings_path path of the platform's settings file
/// @return 0 after a complete shutdown, else 1
int RunGatewayProcess(const std::string& settings_path);

}  // namespace limpetlink
