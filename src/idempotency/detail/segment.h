/// @file
/// @brief Log segments, checkpoint parts, and their encoding.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "base/base.h"
#include "idempotency/detail/messages.h"

namespace limpetlink {

/// @brief Digest of an organisation and its key; raw keys are never stored.
using KeyDigest = TextId<struct KeyDigestTag>;
/// @brief Globally unique id of one claim: the writer and its counter.
using ClaimId = TextId<struct ClaimTag>;

/// @brief Computes the digest of an organisation's key.
/// @return 32 hexadecimal digits
KeyDigest DigestKey(const OrganisationId& organisation, std::string_view key);

/// @brief A claim requests the key; ignored if another claim holds it.
struct IntentRecord {
  KeyDigest key;
  ClaimId claim;
  std::string body_digest;
  std::int64_t at_ms = 0;
  ClaimId replaces;  ///< claim that held the key before, if any
};

/// @brief The upstream responded to the claim.
struct OutcomeRecord {
  KeyDigest key;
  ClaimId claim;
  std::int64_t at_ms = 0;
  StoredOutcome outcome;
};

/// @brief The claim certainly did not run; its key is free.
struct WithdrawRecord {
  KeyDigest key;
  ClaimId claim;
  std::int64_t at_ms = 0;
};

/// @brief One record of a segment.
using LogRecord = std::variant<IntentRecord, OutcomeRecord, WithdrawRecord>;

/// @brief A part of a checkpoint: an object with entries.
struct CheckpointPart {
  std::string name;
  std::int64_t newest_ms = 0;  ///< time of its newest entry
  /// Full; an unsealed part is replaced by the next checkpoint.
  bool sealed = false;
};

/// @brief Replaces all earlier segments: their entries are in the parts.
struct Checkpoint {
  std::vector<CheckpointPart> parts;  ///< oldest first; later entries win
  std::int64_t cutoff_ms = 0;         ///< entries at or before are removed
};

/// @brief One object of the log: records, or a checkpoint.
struct Segment {
  std::string nonce;  ///< writer and counter; identifies who wrote it
  /// Sequence number of the last checkpoint before this segment; 0: none.
  std::uint64_t checkpoint_sequence = 0;
  bool is_checkpoint = false;
  Checkpoint checkpoint;
  std::vector<LogRecord> records;
};

/// @brief State of a key.
enum class KeyState {
  kPending,    ///< an intent without an outcome
  kDone,       ///< the outcome is stored
  kWithdrawn,  ///< certainly not run; the key is free
};

template <>
struct EnumTable<KeyState> {
  static constexpr EnumName<KeyState> kRows[] = {
      {KeyState::kPending, "pending"},
      {KeyState::kDone, "done"},
      {KeyState::kWithdrawn, "withdrawn"}};
};

/// @brief The log's state of one key.
struct KeyEntry {
  KeyState state = KeyState::kPending;
  ClaimId claim;
  std::string body_digest;
  std::int64_t at_ms = 0;  ///< time of the last record
  StoredOutcome outcome;   ///< of kDone
};

/// @brief An entry with its key, as stored in a part.
struct KeyedEntry {
  KeyDigest key;
  KeyEntry entry;
};

/// @brief Encodes a segment as CBOR.
std::string EncodeSegment(const Segment& segment);
/// @brief Decodes a segment.
/// @return the segment, or an error with platform.101 if the bytes are
/// malformed
absl::StatusOr<Segment> DecodeSegment(std::string_view bytes);

/// @brief Encodes a part as CBOR.
std::string EncodePart(const std::vector<KeyedEntry>& entries);
/// @brief Decodes a part.
/// @return its entries, or an error with platform.101 if the bytes are
/// malformed
absl::StatusOr<std::vector<KeyedEntry>> DecodePart(std::string_view bytes);

}  // namespace limpetlink
