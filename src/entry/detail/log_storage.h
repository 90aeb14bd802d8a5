/// @file
/// @brief Storage of the idempotency log in the platform's object API.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "idempotency/idempotency.h"
#include "metadata_store/metadata_store.h"

namespace limpetlink {

/// @brief Translates operations of the idempotency log to calls of the platform
/// client, and the results back.
class LogStorage {
 public:
  /// @param platform the platform client; must outlive this object
  explicit LogStorage(MetadataStoreClient& platform);

  /// @brief Starts an operation.
  void Start(Instant now, const LogCreate& create);
  void Start(Instant now, const LogRead& read);
  void Start(Instant now, const LogList& list);
  void Start(Instant now, const LogDelete& remove);

  /// @brief Handles the result of a platform operation.
  /// @return the completed log operation; empty if the operation does not
  /// belong to the log or continues with the next page of a list
  std::vector<LogOperationResult> OnStoreResult(Instant now,
                                                const StoreResult& result);

 private:
  struct OpenOperation {
    LogOperationId operation;
    std::string prefix;              ///< of a list
    std::vector<std::string> names;  ///< names of the list pages read so far
  };

  void RequestNextPage(Instant now, OpenOperation list);

  MetadataStoreClient& platform;
  std::map<StoreOp, OpenOperation> open_operations;
};

}  // namespace limpetlink
