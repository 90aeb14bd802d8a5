/// @file
/// @brief Segments of the log, parts of its checkpoints, and their codec.
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
/// @brief One claim of a key: the writer and its counter; unique for all time.
using ClaimId = TextId<struct ClaimTag>;

/// @brief Digests an organisation's key.
/// @return 32 hexadecimal digits
KeyDigest DigestKey(const OrganisationId& organisation, std::string_view key);

/// @brief A claim wants the key; it holds it unless another claim does.
struct IntentRecord {
  KeyDigest key;
  ClaimId claim;
  std::string body_digest;
  std::int64_t at_ms = 0;
  ClaimId replaces;  ///< the expired claim that it takes the key from, if any
};

/// @brief The claim's upstream answered.
struct OutcomeRecord {
  KeyDigest key;
  ClaimId claim;
  std::int64_t at_ms = 0;
  StoredOutcome outcome;
};

/// @brief The claim was certainly not run; the key is free.
struct WithdrawRecord {
  KeyDigest key;
  ClaimId claim;
  std::int64_t at_ms = 0;
};

/// @brief One record of a segment.
using LogRecord = std::variant<IntentRecord, OutcomeRecord, WithdrawRecord>;

/// @brief A part of a checkpoint: an object that holds entries.
struct CheckpointPart {
  std::string name;
  std::int64_t newest_ms = 0;  ///< of its entries
  bool sealed = false;  ///< full; one that is not is replaced by the next
};

/// @brief States that everything before this segment is in the parts.
struct Checkpoint {
  std::vector<CheckpointPart> parts;  ///< oldest first; later entries win
  std::int64_t cutoff_ms = 0;         ///< entries at or before are dropped
};

/// @brief One object of the log: records, or a checkpoint.
struct Segment {
  std::string nonce;  ///< writer and counter; tells whose segment it is
  std::uint64_t checkpoint_sequence = 0;  ///< of the last one before; 0: none
  bool is_checkpoint = false;
  Checkpoint checkpoint;
  std::vector<LogRecord> records;
};

/// @brief Where a key stands.
enum class KeyState {
  kPending,    ///< an intent without an outcome
  kDone,       ///< the outcome is kept
  kWithdrawn,  ///< certainly not run: free
};

template <>
struct EnumTable<KeyState> {
  static constexpr EnumName<KeyState> kRows[] = {
      {KeyState::kPending, "pending"},
      {KeyState::kDone, "done"},
      {KeyState::kWithdrawn, "withdrawn"}};
};

/// @brief What the log says of a key.
struct KeyEntry {
  KeyState state = KeyState::kPending;
  ClaimId claim;
  std::string body_digest;
  std::int64_t at_ms = 0;  ///< of the last record
  StoredOutcome outcome;   ///< of kDone
};

/// @brief An entry with its key, as parts hold them.
struct KeyedEntry {
  KeyDigest key;
  KeyEntry entry;
};

/// @brief Renders a segment as CBOR.
std::string EncodeSegment(const Segment& segment);
/// @brief Reads a segment.
/// @return the segment, or an error with platform.101 when it is not one
absl::StatusOr<Segment> DecodeSegment(std::string_view bytes);

/// @brief Renders a part as CBOR.
std::string EncodePart(const std::vector<KeyedEntry>& entries);
/// @brief Reads a part.
/// @return its entries, or an error with platform.101 when it is none
absl::StatusOr<std::vector<KeyedEntry>> DecodePart(std::string_view bytes);

}  // namespace limpetlink
