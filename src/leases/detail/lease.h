/// @file
/// @brief Lease: mutual exclusion between hosts, timed by the elapsed time of
/// each host's own clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "metadata_store/metadata_store.h"

namespace limpetlink {

/// @brief Kind of the objects that store leases.
inline constexpr std::string_view kLeaseKind = "lease";

/// @brief Settings of a lease; equal on all hosts except for the holder.
struct LeaseSettings {
  std::string name;    ///< of the stored object
  std::string holder;  ///< unique for each process, such as "entry-1/boot-77"
  Duration duration{std::chrono::seconds(10)};
  /// The holder stops this much before the duration has elapsed; others wait
  /// this much longer. Covers differences between the rates of their clocks.
  Duration margin{std::chrono::seconds(2)};
  Duration renew_every{std::chrono::seconds(3)};
  Duration poll_every{std::chrono::seconds(3)};
  std::uint64_t seed = 1;  ///< of the jitter
};

/// @brief Contents of a lease's stored object.
struct LeaseRecord {
  std::string holder;  ///< empty: released
  std::uint64_t epoch = 0;
};

/// @brief Serializes a record as JSON.
std::string WriteLeaseRecord(const LeaseRecord& record);

/// @brief Parses a record.
/// @return the record, or nothing if the JSON is malformed
std::optional<LeaseRecord> ReadLeaseRecord(std::string_view json);

/// @brief Reports that the lease was acquired or lost.
struct LeaseChange {
  bool held = false;
  std::uint64_t epoch = 0;
};

/// @brief Acquires, renews and releases a lease for one host.
///
/// The holder measures the duration from the moment it sent the write, other
/// hosts from the moment they first saw the version. Clocks of different hosts
/// are never compared; only their rates must agree to margin / duration.
/// @note Example:
/// @code
/// Lease lease(settings, &platform);
/// lease.Start(now);
/// lease.OnStoreResult(now, result);  // for each result of the client
/// lease.Tick(now);                // no later than NextWakeup()
/// if (lease.Held(now)) { Act(lease.Epoch()); }
/// @endcode
class Lease {
 public:
  /// @param platform client of the metadata store; must outlive the lease
  Lease(LeaseSettings settings, MetadataStoreClient* platform);

  /// @brief Starts polling the lease, and acquiring it when it is free.
  void Start(Instant now);

  /// @brief Sets whether this host tries to acquire the lease; only a few hosts
  /// should. Releases a held lease if not.
  void SetCandidate(Instant now, bool candidate);

  /// @brief Handles the result of a store operation.
  /// @return whether the operation belonged to this lease
  bool OnStoreResult(Instant now, const StoreResult& result);

  /// @brief Advances the timers; detects a lease that expired during a pause of
  /// the process.
  void Tick(Instant now);

  /// @return the latest time of the next Tick
  Instant NextWakeup() const;

  /// @brief Ends the holding at once, releases the lease to other hosts and
  /// stops being a candidate.
  void Release(Instant now);

  /// @brief Ends the holding at once, for example when an upstream reports a
  /// higher epoch; the lease is read again before it is acquired.
  void Invalidate(Instant now);

  /// @return whether the lease is held; must be checked before each decision
  bool Held(Instant now) const { return now < this->held_until; }

  /// @return when the lease expires unless renewed
  Instant HeldUntil() const { return this->held_until; }

  /// @return the fencing token of the current or last holding
  std::uint64_t Epoch() const { return this->epoch; }

  /// @return when the current or last holding began
  Instant HeldSince() const { return this->held_since; }

  /// @return the settings of the lease
  const LeaseSettings& Settings() const { return this->settings; }

  /// @brief Returns and clears the changes since the last call.
  std::vector<LeaseChange> TakeChanges();

 private:
  void Read(Instant now);
  void Write(Instant now, const LeaseRecord& record, std::uint64_t base);
  void HandleRead(Instant now, const StoreResult& read);
  void HandleWritten(Instant now, const StoreResult& written);
  /// @brief Records the stored version and when it was first seen.
  void RecordSeen(Instant now, std::uint64_t version,
                  const LeaseRecord& record);
  /// @brief Starts or extends the holding after a write sent at a given time.
  void ExtendHolding(Instant now, Instant sent, std::uint64_t epoch);
  /// @brief Ends the holding and reports the change.
  void EndHolding(Instant now);
  /// @brief Renews, releases, acquires or reads the lease, as is due.
  void RunNextOperation(Instant now);
  /// @return now plus 0.75 to 1.25 times the interval, at random
  Instant AfterJittered(Instant now, Duration interval);

  LeaseSettings settings;
  MetadataStoreClient* platform;
  Random random;
  bool started = false;
  bool candidate = true;
  bool releasing = false;
  std::uint64_t op = 0;  ///< in progress; 0 if none
  bool op_is_write = false;
  LeaseRecord written;  ///< by the last write
  Instant sent{};       ///< time of the last write
  /// Time of the earliest write whose response was lost.
  Instant earliest_unconfirmed = kNever;
  bool must_read = false;  ///< before the next write
  std::uint64_t seen_version = 0;
  LeaseRecord seen;
  Instant seen_at{};  ///< when seen_version was first seen
  Instant held_until{};
  Instant held_since{};
  std::uint64_t epoch = 0;
  bool reported_held = false;
  Instant next = kNever;
  std::vector<LeaseChange> changes;
};

}  // namespace limpetlink
