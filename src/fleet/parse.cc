#include "fleet/fleet.h"

namespace limpetlink {

FleetParseResult ParseFleet(std::string_view /*text*/) { return {}; }
std::string WriteFleet(const FleetDocument& /*document*/) { return "{}"; }

}  // namespace limpetlink
