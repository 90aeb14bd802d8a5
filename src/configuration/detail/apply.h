/// @file
/// @brief FleetChangeOperation: an operator's change of the fleet document,
/// whose outcome is correct even if responses are lost and others write
/// concurrently.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/base.h"
#include "metadata_store/metadata_store.h"

namespace limpetlink {

/// @brief Object kind of fleet documents in the platform's store.
inline constexpr std::string_view kFleetKind = "fleet";
/// @brief Object kind of the history records, which name the change and the
/// author of each version.
inline constexpr std::string_view kFleetHistoryKind = "fleet-history";
/// @brief Number of versions whose history is kept. Covers more than a day at
/// 7,000 changes per day.
inline constexpr std::uint64_t kMaxHistoryVersions = 10000;

/// @brief An operator's requested change of a fleet document.
struct FleetChange {
  std::string fleet_name;
  std::string change_id;  ///< unique; stored in the document as "change_id"
  std::uint64_t base_version = 0;  ///< 0 creates the document
  std::string base_text;           ///< text of the base version
  std::string text;  ///< JSON with the change ID, from StampChange
};

/// @brief Outcome of a change.
enum class ApplyOutcome {
  kApplied,     ///< the change produced `version`
  kConflict,    ///< another change produced base + 1; this one will never apply
  kNotApplied,  ///< the platform was not reached; this change will never apply
  kUnknown,  ///< a write may still take effect; repeat the change to find out
};

template <>
struct EnumTable<ApplyOutcome> {
  static constexpr EnumName<ApplyOutcome> kRows[] = {
      {ApplyOutcome::kApplied, "applied"},
      {ApplyOutcome::kConflict, "conflict"},
      {ApplyOutcome::kNotApplied, "not_applied"},
      {ApplyOutcome::kUnknown, "unknown"}};
};

/// @brief Outcome of a change and the newest version seen.
struct ApplyResult {
  ApplyOutcome outcome = ApplyOutcome::kUnknown;
  std::uint64_t version = 0;          ///< produced version, for kApplied
  std::uint64_t current_version = 0;  ///< latest version read
  std::string current_text;           ///< latest text read, for kConflict
  /// JSON patch from base_text to current_text, for kConflict.
  std::string difference;
};

/// @brief Adds the change ID and the author to a document.
/// @param json the operator's document
/// @return canonical JSON; fleet.101 if the input is not a JSON object
absl::StatusOr<std::string> StampChange(std::string_view json,
                                        std::string_view change_id,
                                        std::string_view author);

/// @brief Returns the object name of a version's history record, for example
/// "today/000000000042".
std::string HistoryName(const std::string& fleet_name, std::uint64_t version);

/// @brief Applies one change by a conditional write and resolves lost
/// responses.
///
/// Every writer creates the history record of version v (change ID, author,
/// digest) before it overwrites v. A change whose response was lost and which
/// has been overwritten since is found there.
/// @note Example:
/// @code
/// FleetChangeOperation operation(&platform, change, limit);
/// operation.Start(now);
/// while (!operation.Result()) {
///   operation.OnStoreResult(now, result);  // each result of the client
///   operation.Tick(now);
/// }
/// @endcode
class FleetChangeOperation {
 public:
  /// @param platform client of the metadata store; must outlive this object
  /// @param change the requested change
  /// @param limit maximum time from Start to a result
  FleetChangeOperation(MetadataStoreClient* platform, FleetChange change,
                       Duration limit = std::chrono::seconds(30));

  /// @brief Sends the first read.
  void Start(Instant now);

  /// @brief Handles the result of a store operation.
  /// @return whether this change issued the operation
  bool OnStoreResult(Instant now, const StoreResult& result);

  /// @brief Sends due retries and enforces the time limit.
  void Tick(Instant now);

  /// @return latest time of the next call to Tick
  Instant NextWakeup() const;

  /// @return the result; empty until the change has finished
  const std::optional<ApplyResult>& Result() const { return this->result; }

 private:
  enum class Step { kRead, kArchive, kWrite, kReadBack, kReadHistory, kDone };

  void StartStep(Instant now, Step step);
  void ScheduleRetry(Instant now);
  void HandleRead(Instant now, const StoreResult& read);
  void HandleArchive(Instant now, const StoreResult& result);
  void HandleWrite(Instant now, const StoreResult& result);
  void HandleReadBack(Instant now, const StoreResult& read);
  void HandleHistory(Instant now, const StoreResult& read);
  void FinishApplied(Instant now, std::uint64_t version);
  void FinishConflict();
  void Finish(ApplyOutcome outcome);
  bool IsOwn(std::string_view json) const;

  MetadataStoreClient* platform;
  FleetChange change;
  Duration limit;
  Step step = Step::kRead;
  bool write_may_apply = false;
  std::uint64_t op = 0;
  Instant deadline = kNever;
  Instant retry_at = kNever;
  std::uint64_t latest_version = 0;
  std::string latest_text;
  std::optional<ApplyResult> result;
};

}  // namespace limpetlink
