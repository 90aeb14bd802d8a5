/// @file
/// @brief Finds prompt parts that end the engines which answer them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief A part of a prompt that was among the first output of an engine.
struct SuspectInput {
  std::string id;
  std::uint32_t depth = 0;  ///< position in the prompt
};

/// @brief The end of one incarnation of an engine, with the shared parts of the
/// requests whose output had just begun there.
struct WorkerCrash {
  UpstreamId engine;
  std::int64_t started_at = 0;  ///< Unix milliseconds, from its registration
  Duration age{0};              ///< since the first host noticed
  std::vector<SuspectInput> parts;
};

/// @brief A run with this part went on, or an operator released the part.
struct SoundInput {
  std::string id;
  Duration age{0};
};

/// @brief What hosts tell each other. Evidence may arrive late, repeatedly and
/// in any order; hosts with the same evidence quarantine the same parts.
struct CrashEvidence {
  std::vector<WorkerCrash> crashes;
  std::vector<SoundInput> sound;

  bool Empty() const { return this->crashes.empty() && this->sound.empty(); }
};

/// @brief When a part is quarantined, and how much evidence is kept.
struct QuarantineSettings {
  std::size_t min_crashes = 3;
  /// Crashes within this time count as one: engines that are lost together
  /// share a cause outside their requests.
  Duration simultaneous{std::chrono::milliseconds(500)};
  /// Time from the last crash after which requests with the part are tried
  /// again.
  Duration hold{std::chrono::minutes(15)};
  Duration retention{std::chrono::minutes(30)};
  Duration sound_export{std::chrono::seconds(60)};
  std::size_t max_crashes = 128;
  std::size_t max_parts_per_crash = 64;
  std::size_t max_sound = 512;
  // Together with a host's loads, exported evidence has to fit a datagram.
  std::size_t max_exported_crashes = 32;   ///< that quarantined parts explain
  std::size_t max_exported_suspects = 12;  ///< other crashes
  std::size_t max_exported_parts = 6;      ///< per crash
  std::size_t max_exported_sound = 32;
};

/// @brief A quarantined part.
struct QuarantinedInput {
  std::string id;
  std::size_t crashes = 0;  ///< that count, simultaneous ones once
  Duration last_crash_age{0};
  std::vector<UpstreamId> engines;
};

/// @brief Quarantines the parts of prompts that end engines.
///
/// A part is suspect after an engine has ended while a request with it was in
/// its first output, until a later run with the part goes on. It is quarantined
/// after `min_crashes` crashes without such a run. A crash that a quarantined
/// part explains doesn't count against the other parts of its requests; of
/// parts with equally many crashes, the one that is deepest in the prompt is
/// quarantined, as fewer requests share it.
/// @note Example:
/// @code
/// quarantine.RecordCrash(now, {engine, started_at, {}, {{"5c1e07a2", 0}}});
/// if (quarantine.Find(now, parts).has_value()) { /* refuse the request */ }
/// @endcode
class InputQuarantine {
 public:
  explicit InputQuarantine(QuarantineSettings settings = {})
      : settings(settings) {}

  /// @brief Records a crash that this host noticed.
  /// @return whether it is new evidence
  bool RecordCrash(Instant now, const WorkerCrash& crash);

  /// @brief Records that a run with the part went on, or that an operator
  /// released it.
  /// @return whether the part was suspect
  bool RecordSound(Instant now, const std::string& id);

  /// @brief Merges the evidence of another host.
  /// @return whether any of it is new
  bool Merge(Instant now, const CrashEvidence& evidence);

  /// @brief Returns evidence for other hosts, that on quarantined parts first.
  /// @param include_received also returns crashes that other hosts noticed
  CrashEvidence Export(Instant now, bool include_received);

  /// @brief Returns the crashes that a quarantined part explains, as far as
  /// other hosts need them to quarantine it.
  CrashEvidence ExportInput(Instant now, const std::string& id) const;

  /// @return the first quarantined part in the list, or nothing
  std::optional<std::string> Find(Instant now,
                                  const std::vector<std::string>& parts) const;

  /// @return whether any part is suspect or quarantined
  bool HasSuspects() const { return !this->crashes.empty(); }

  /// @return the quarantined parts, in order of their ids
  std::vector<QuarantinedInput> Quarantined(Instant now) const;

 private:
  using Incarnation = std::pair<UpstreamId, std::int64_t>;
  struct Crash {
    Instant at{};
    bool noticed_here = false;
    std::map<std::string, std::uint32_t> parts;  ///< depth by id
  };
  struct Verdict {
    std::size_t crashes = 0;
    Instant last_crash{};
    std::vector<Incarnation> engines;
  };

  bool AddCrash(Instant now, const WorkerCrash& crash, bool noticed_here);
  bool AddSound(Instant now, const std::string& id, Instant at);
  void Expire(Instant now);
  /// @brief Evicts the oldest crash that no quarantined part explains.
  void EvictCrash();
  void UpdateVerdicts();
  /// @return the quarantined part among those of the crash, or nullptr
  const std::string* Explanation(const Crash& crash) const;
  WorkerCrash MakeExport(Instant now, const Incarnation& incarnation,
                         const Crash& crash) const;

  QuarantineSettings settings;
  std::map<Incarnation, Crash> crashes;
  std::map<std::string, Instant> sound;  ///< latest time by part
  std::map<std::string, Verdict> verdicts;
};

}  // namespace limpetlink
