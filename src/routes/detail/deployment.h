/// @file
/// @brief The routes, services, caller bounds and keys that are in force.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief What may be repeated on a route.
enum class RouteKind {
  kIdempotent,     ///< may run more than once
  kNonIdempotent,  ///< runs at most once
  kStreaming,      ///< runs at most once; its answer is a series of events
};

template <>
struct EnumTable<RouteKind> {
  static constexpr EnumName<RouteKind> kRows[] = {
      {RouteKind::kIdempotent, "idempotent"},
      {RouteKind::kNonIdempotent, "non_idempotent"},
      {RouteKind::kStreaming, "streaming"}};
};

/// @brief A service that gets a part of a route's requests.
struct WeightedService {
  std::string service;
  double weight = 1.0;  ///< against the weights beside it
};

/// @brief Where requests of a host and path prefix go, and within which bounds.
struct ForwardingRoute {
  std::string name;
  std::string host;         ///< in lower case, without a port
  std::string path_prefix;  ///< begins and ends with a slash
  RouteKind kind = RouteKind::kNonIdempotent;
  std::vector<WeightedService> services;  ///< at least one
  Duration timeout{0};                    ///< longest that a caller is kept
  Duration objective{0};                  ///< first byte wanted within
  std::uint32_t max_attempts = 1;         ///< workers that may run one request
  int priority = 0;                       ///< 0 is the highest
  bool anonymous = false;                 ///< needs no key
};

/// @brief What the engines of a model service can hold.
struct EngineTraits {
  std::uint32_t slots = 0;
  std::uint64_t memory_tokens = 0;  ///< running requests and cached prefixes
  double bytes_per_token = 0;       ///< of a stream's memory when it moves
  double link_mbps = 0;             ///< between workers
  bool supports_migration = false;  ///< running streams may move
};

/// @brief A service that workers register for.
struct ForwardingService {
  std::string name;
  std::optional<EngineTraits> engine;  ///< set when its workers run a model
};

/// @brief What a caller may send, and how long it may take.
struct HttpLimits {
  std::size_t header_bytes = 16U << 10U;
  std::size_t body_bytes = 4U << 20U;
  Duration header_timeout{std::chrono::seconds(3)};
  Duration idle_timeout{std::chrono::seconds(15)};
};

/// @brief An organisation and the digests of its keys.
struct KeyHolder {
  OrganisationId organisation;
  std::vector<std::string> key_digests;  ///< SHA-256, hexadecimal
  std::optional<int> priority;           ///< goes before the route's
};

/// @brief One version of all that forwarding is told by its operators.
struct Deployment {
  std::uint64_t version = 0;
  std::vector<ForwardingRoute> routes;
  std::vector<ForwardingService> services;
  HttpLimits http_limits;
  std::vector<KeyHolder> holders;  ///< empty: no route needs a key
};

}  // namespace limpetlink
