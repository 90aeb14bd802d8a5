/// @file
/// @brief Lease: at most one holder believes that it holds, judged by each
/// host's own elapsed time.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "metadata_store/metadata_store.h"

namespace limpetlink {

/// @brief Kind of the leases' objects.
inline constexpr std::string_view kLeaseKind = "lease";

/// @brief What a lease is built with; equal on all hosts but for the holder.
struct LeaseSettings {
  std::string name;    ///< of the object
  std::string holder;  ///< unique for each process, as "entry-1/boot-77"
  Duration duration{std::chrono::seconds(10)};
  Duration margin{std::chrono::seconds(2)};  ///< the holder stops so much
                                             ///< earlier, others wait so much
                                             ///< longer
  Duration renew_every{std::chrono::seconds(3)};
  Duration poll_every{std::chrono::seconds(3)};
  std::uint64_t seed = 1;
};

/// @brief What a lease's object says.
struct LeaseRecord {
  std::string holder;  ///< empty: given back
  std::uint64_t epoch = 0;
};

/// @brief Writes a record as JSON.
std::string WriteLeaseRecord(const LeaseRecord& record);

/// @brief Reads a record; nothing when malformed.
std::optional<LeaseRecord> ReadLeaseRecord(std::string_view json);

/// @brief That the lease came or went.
struct LeaseChange {
  bool held = false;
  std::uint64_t epoch = 0;
};

/// @brief One host's part in a lease.
///
/// The holder counts its time from the moment it sent a write; the others from
/// the moment they first saw the version. No host's clock is compared with
/// another's: only their rates must agree to margin / duration.
/// @note Example:
/// @code
/// Lease lease(settings, &platform);
/// lease.Start(now);
/// lease.OnPlatform(now, result);  // each result of the client
/// lease.Tick(now);                // by NextWakeup()
/// if (lease.Held(now)) { order(lease.Epoch()); }
/// @endcode
class Lease {
 public:
  /// @param platform client to use; outlives this
  Lease(LeaseSettings settings, MetadataStoreClient* platform);

  /// @brief Begins to read, and to take the lease when it is free.
  void Start(Instant now);

  /// @brief Says whether this host is to take the lease; a few hosts should.
  void SetCandidate(Instant now, bool candidate);

  /// @brief Takes an operation's result.
  /// @return whether the operation was the lease's
  bool OnPlatform(Instant now, const StoreResult& result);

  /// @brief Lets time pass; a lease that ran out in a pause is lost here.
  void Tick(Instant now);

  /// @return when Tick is due at the latest
  Instant NextWakeup() const;

  /// @brief Stops holding at once, offers the lease to others and is no
  /// candidate any more.
  void Release(Instant now);

  /// @brief Stops holding at once, as when an upstream shows a higher epoch.
  void Invalidate(Instant now);

  /// @return whether the lease is held; ask before each decision
  bool Held(Instant now) const { return now < this->held_until; }

  /// @return until when it is held unless renewed
  Instant HeldUntil() const { return this->held_until; }

  /// @return the fencing number of the last holding
  std::uint64_t Epoch() const { return this->epoch; }

  /// @return when the current holding began
  Instant HeldSince() const { return this->held_since; }

  /// @return the times it was built with
  const LeaseSettings& Settings() const { return this->settings; }

  /// @brief Hands over comings and goings since the last take.
  std::vector<LeaseChange> TakeChanges();

 private:
  void Read(Instant now);
  void Write(Instant now, const LeaseRecord& record, std::uint64_t base);
  void HandleRead(Instant now, const StoreResult& read);
  void HandleWritten(Instant now, const StoreResult& written);
  void See(Instant now, std::uint64_t version, const LeaseRecord& record);
  void Hold(Instant now, Instant sent, std::uint64_t epoch);
  void Lose(Instant now);
  void Act(Instant now);
  Instant Later(Instant now, Duration full);

  LeaseSettings settings;
  MetadataStoreClient* platform;
  Random random;
  bool started = false;
  bool candidate = true;
  bool releasing = false;
  std::uint64_t op = 0;
  bool op_writes = false;
  LeaseRecord written;          ///< by the last write
  Instant sent{};               ///< when it was sent
  Instant unresolved = kNever;  ///< earliest write whose answer was lost
  bool must_read = false;
  std::uint64_t seen_version = 0;
  LeaseRecord seen;
  Instant seen_at{};
  Instant held_until{};
  Instant held_since{};
  std::uint64_t epoch = 0;
  bool told_held = false;
  Instant next = kNever;
  std::vector<LeaseChange> changes;
};

}  // namespace limpetlink
