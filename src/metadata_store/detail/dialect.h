/// @file
/// @brief How operations stand on the wire of one kind of metadata store.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "metadata_store/detail/types.h"
#include "ports/ports.h"

namespace limpetlink {

/// @brief What one operation asks for.
struct StoreRequest {
  StoreVerb verb = StoreVerb::kGet;
  ObjectKey key{};            ///< name is a prefix for kList, empty for a kind
  std::string after{};        ///< list: only names above this one
  std::uint32_t limit = 0;    ///< kList: most rows wanted
  std::uint64_t version = 0;  ///< watch: changes above this version or revision
  bool allow_stale = false;   ///< cheaper; the answer may be seconds old
  Duration wait{0};           ///< watch: how long the store may hold the call
};

/// @brief A whole answer of the store.
struct StoreResponse {
  int status = 0;
  Headers headers;
  std::string body;
};

/// @brief The hooks that know a store's paths and bodies.
struct StoreDialect {
  /// Path and query of an operation, beginning with a slash.
  std::function<std::string(const StoreRequest&)> target;
  /// Reads an answer other than 429 and 5xx into the result; the answer's body
  /// may be moved away.
  std::function<StoreStatus(StoreVerb, StoreResponse*, StoreResult*)> read;
};

/// @brief The dialect of limpetlink's own object API.
StoreDialect ObjectApiDialect();

}  // namespace limpetlink
