/// @file
/// @brief Carries the idempotency log's operations to the platform's object
/// API.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "idempotency/idempotency.h"
#include "metadata_store/metadata_store.h"

namespace limpetlink {

/// @brief Turns the log's operations into calls of the platform client, and
/// their results back.
class LogStorage {
 public:
  /// @param platform outlives this
  explicit LogStorage(MetadataStoreClient& platform);

  /// @brief Begins an operation.
  void Start(Instant now, const LogCreate& create);
  void Start(Instant now, const LogRead& read);
  void Start(Instant now, const LogList& list);
  void Start(Instant now, const LogDelete& remove);

  /// @brief Takes a platform operation's result.
  /// @return the log operations that ended by it: one, or none when the
  /// operation was not of the
  ///         log or goes on with the next page of a list
  std::vector<LogOperationResult> OnStoreResult(Instant now,
                                                const StoreResult& result);

 private:
  struct OpenOperation {
    LogOperationId operation;
    std::string prefix;              ///< of a list
    std::vector<std::string> names;  ///< pages of a list so far
  };

  void RequestNextPage(Instant now, OpenOperation list);

  MetadataStoreClient& platform;
  std::map<StoreOp, OpenOperation> open_operations;
};

}  // namespace limpetlink
