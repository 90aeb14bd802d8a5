/// @file
/// @brief Deployment: one version of the routes, services, HTTP limits and API
/// keys.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief Whether requests of a route may be run more than once.
enum class RouteKind {
  kIdempotent,     ///< may run more than once
  kNonIdempotent,  ///< runs at most once
  kStreaming,      ///< runs at most once; the response is an event stream
};

template <>
struct EnumTable<RouteKind> {
  static constexpr EnumName<RouteKind> kRows[] = {
      {RouteKind::kIdempotent, "idempotent"},
      {RouteKind::kNonIdempotent, "non_idempotent"},
      {RouteKind::kStreaming, "streaming"}};
};

/// @brief A service that receives a fraction of a route's requests.
struct WeightedService {
  std::string service;
  double weight = 1.0;  ///< relative to the route's other services
};

/// @brief Services and limits for the requests of a host and path prefix.
struct ForwardingRoute {
  std::string name;
  std::string host;         ///< in lower case, without a port
  std::string path_prefix;  ///< begins and ends with a slash
  RouteKind kind = RouteKind::kNonIdempotent;
  std::vector<WeightedService> services;  ///< at least one
  Duration timeout{0};                    ///< maximum time that a caller waits
  Duration objective{0};                  ///< target time to the first byte
  std::uint32_t max_attempts = 1;         ///< workers that may run one request
  int priority = 0;                       ///< 0 is the highest
  bool anonymous = false;                 ///< needs no API key
  std::vector<std::string> regions;       ///< that may serve it; empty: any
};

/// @brief Capacity and capabilities of the engines of a model service.
struct EngineTraits {
  std::uint32_t slots = 0;
  std::uint64_t memory_tokens = 0;  ///< running requests and cached prefixes
  double bytes_per_token = 0;       ///< KV cache size, for migration
  double link_mbps = 0;             ///< between workers, in Mbit/s
  bool supports_migration = false;  ///< of running streams
};

/// @brief A service that workers register for.
struct ForwardingService {
  std::string name;
  std::optional<EngineTraits> engine;  ///< set when its workers run a model
};

/// @brief Size limits and timeouts for callers' HTTP requests.
struct HttpLimits {
  std::size_t header_bytes = 16U << 10U;
  std::size_t body_bytes = 4U << 20U;
  Duration header_timeout{std::chrono::seconds(3)};
  Duration idle_timeout{std::chrono::seconds(15)};
};

/// @brief An organisation and the digests of its API keys.
struct KeyHolder {
  OrganisationId organisation;
  std::vector<std::string> key_digests;  ///< SHA-256, hexadecimal
  std::optional<int> priority;           ///< overrides the route's
  std::vector<std::string> regions{};    ///< that may serve it; empty: any
};

/// @brief One version of the forwarding configuration.
struct Deployment {
  std::uint64_t version = 0;
  std::vector<ForwardingRoute> routes;
  std::vector<ForwardingService> services;
  HttpLimits http_limits;
  std::vector<KeyHolder> holders;  ///< empty: no route needs an API key
};

}  // namespace limpetlink
