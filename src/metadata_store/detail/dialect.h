/// @file
/// @brief Mapping of operations to the wire protocol of a metadata store.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "metadata_store/detail/types.h"
#include "ports/ports.h"

namespace limpetlink {

/// @brief Parameters of one operation.
struct StoreRequest {
  StoreVerb verb = StoreVerb::kGet;
  ObjectKey key{};            ///< name: prefix for kList, empty for kinds
  std::string after{};        ///< list: exclusive lower bound of names
  std::uint32_t limit = 0;    ///< kList: maximum number of rows
  std::uint64_t version = 0;  ///< watch: last known version or revision
  bool allow_stale = false;   ///< accepts a response seconds old; cheaper
  Duration wait{0};           ///< watch: how long the store may hold the call
};

/// @brief A complete response of the store.
struct StoreResponse {
  int status = 0;
  Headers headers;
  std::string body;
};

/// @brief Hooks that encode and decode a store's protocol.
struct StoreDialect {
  /// Returns the path and query of an operation, starting with a slash.
  std::function<std::string(const StoreRequest&)> target;
  /// Decodes a response other than 429 and 5xx into the result; may move the
  /// response's body.
  std::function<StoreStatus(StoreVerb, StoreResponse*, StoreResult*)> read;
  /// Adapts the call of a write, which has the usual method, the object's
  /// contents as body and its condition as a header. Optional.
  std::function<void(const StoreRequest&, HttpCall*)> adapt_write{};
};

/// @brief Returns the dialect of limpetlink's own object API.
StoreDialect ObjectApiDialect();

}  // namespace limpetlink
