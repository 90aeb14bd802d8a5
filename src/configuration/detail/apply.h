/// @file
/// @brief FleetChangeOperation: an operator's change of the fleet document,
/// told truly even when an answer is lost and others change it too.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/base.h"
#include "metadata_store/metadata_store.h"

namespace limpetlink {

/// @brief Kind of the fleet documents' objects.
inline constexpr std::string_view kFleetKind = "fleet";
/// @brief Kind of the objects that tell whose change each version was.
inline constexpr std::string_view kFleetHistoryKind = "fleet-history";
/// @brief Versions whose history is kept; more than a day of 7,000 changes.
inline constexpr std::uint64_t kMaxHistoryVersions = 10000;

/// @brief A change that an operator wants.
struct FleetChange {
  std::string fleet_name;
  std::string change_id;  ///< unique; stands in the document as "change_id"
  std::uint64_t base_version = 0;  ///< 0: create the document
  std::string base_text;           ///< what the operator began from
  std::string text;                ///< JSON with the change id, as by
                                   ///< StampChange
};

/// @brief How a change ended.
enum class ApplyOutcome {
  kApplied,     ///< it is, or was, the document at `version`
  kConflict,    ///< another change stands at base + 1; this one never applies
  kNotApplied,  ///< the platform was not reached; this one never applies
  kUnknown,     ///< a write may still take effect; apply again to learn
};

template <>
struct EnumTable<ApplyOutcome> {
  static constexpr EnumName<ApplyOutcome> kRows[] = {
      {ApplyOutcome::kApplied, "applied"},
      {ApplyOutcome::kConflict, "conflict"},
      {ApplyOutcome::kNotApplied, "not_applied"},
      {ApplyOutcome::kUnknown, "unknown"}};
};

/// @brief The end of a change.
struct ApplyResult {
  ApplyOutcome outcome = ApplyOutcome::kUnknown;
  std::uint64_t version = 0;          ///< of this change, for kApplied
  std::uint64_t current_version = 0;  ///< newest seen
  std::string current_text;           ///< newest seen, for kConflict
  std::string difference;  ///< JSON patch from base_text to current_text, for
                           ///< kConflict
};

/// @brief Writes change id and author into a document.
/// @param json the operator's document
/// @return canonical JSON; fleet.101 when it is not a JSON object
absl::StatusOr<std::string> StampChange(std::string_view json,
                                        std::string_view change_id,
                                        std::string_view author);

/// @brief Object name of a version's history, as "today/000000000042".
std::string HistoryName(const std::string& fleet_name, std::uint64_t version);

/// @brief One conditional change with its lost answers resolved.
///
/// Before version v is overwritten, whoever overwrites it first creates the
/// history object of v (change id, author, digest). So a change whose answer
/// was lost and which others have covered since is found there.
/// @note Example:
/// @code
/// FleetChangeOperation apply(&platform, change, limit);
/// apply.Start(now);
/// while (!apply.Result()) { ... apply.OnPlatform(now, result);
/// apply.Tick(now); }
/// @endcode
class FleetChangeOperation {
 public:
  /// @param platform client to use; outlives this
  /// @param change what is wanted
  /// @param limit an answer is given by then at the latest
  FleetChangeOperation(MetadataStoreClient* platform, FleetChange change,
                       Duration limit = std::chrono::seconds(30));

  /// @brief Begins.
  void Start(Instant now);

  /// @brief Takes an operation's result.
  /// @return whether the operation was this change's
  bool OnPlatform(Instant now, const StoreResult& result);

  /// @brief Lets time pass.
  void Tick(Instant now);

  /// @return when Tick is due at the latest
  Instant NextWakeup() const;

  /// @return how it ended, once it has
  const std::optional<ApplyResult>& Result() const { return this->result; }

 private:
  enum class Step { kRead, kArchive, kWrite, kReadBack, kHistory, kDone };

  void Begin(Instant now, Step step);
  void Again(Instant now);
  void HandleRead(Instant now, const StoreResult& read);
  void HandleArchive(Instant now, const StoreResult& answer);
  void HandleWrite(Instant now, const StoreResult& answer);
  void HandleReadBack(Instant now, const StoreResult& read);
  void HandleHistory(Instant now, const StoreResult& read);
  void Applied(Instant now, std::uint64_t version);
  void Conflict();
  void End(ApplyOutcome outcome);
  bool IsOwn(std::string_view json) const;

  MetadataStoreClient* platform;
  FleetChange change;
  Duration limit;
  Step step = Step::kRead;
  bool write_may_run = false;
  std::uint64_t op = 0;
  Instant deadline = kNever;
  Instant again_at = kNever;
  std::uint64_t seen_version = 0;
  std::string seen_text;
  std::optional<ApplyResult> result;
};

}  // namespace limpetlink
