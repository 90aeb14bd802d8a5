/// @file
/// @brief Finds inputs that end the workers which run them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief A part of a prompt, or a whole request, that a worker was running
/// when it ended.
struct SuspectInput {
  std::string id;
  /// Position in the prompt; a whole request is deeper than any part.
  std::uint32_t depth = 0;
  /// Crashes under this input that were known when it was sent to the worker.
  std::uint32_t prior = 0;
};

/// @brief Depth of whole requests.
inline constexpr std::uint32_t kRequestDepth = 1000;

/// @brief The end of one incarnation of a worker, with the inputs of the
/// requests that it was running.
struct WorkerCrash {
  UpstreamId worker;
  std::int64_t started_at = 0;  ///< Unix milliseconds, from its registration
  Duration age{0};              ///< since the first host noticed
  std::vector<SuspectInput> inputs;
};

/// @brief A run with this input went on, or an operator released the input.
struct SoundInput {
  std::string id;
  Duration age{0};
};

/// @brief What hosts tell each other. Evidence may arrive late, repeatedly and
/// in any order; hosts with the same evidence quarantine the same inputs.
struct CrashEvidence {
  std::vector<WorkerCrash> crashes;
  std::vector<SoundInput> sound;

  bool Empty() const { return this->crashes.empty() && this->sound.empty(); }
};

/// @brief When an input is quarantined, and how much evidence is kept.
struct QuarantineSettings {
  std::size_t min_crashes = 3;
  /// Crashes within this time count as one, unless the input was sent after the
  /// one before: workers that are lost together share a cause outside their
  /// requests.
  Duration simultaneous{std::chrono::milliseconds(500)};
  /// A crash counts for an input only if all workers that ended within this
  /// time of it were running the input.
  Duration together{std::chrono::milliseconds(60)};
  /// Time from the last crash after which requests with the input are tried
  /// again.
  Duration hold{std::chrono::minutes(15)};
  Duration retention{std::chrono::minutes(30)};
  Duration sound_export{std::chrono::seconds(60)};
  std::size_t max_crashes = 128;
  std::size_t max_inputs_per_crash = 64;
  std::size_t max_sound = 512;
  // Together with a host's loads, exported evidence has to fit a datagram.
  std::size_t max_exported_crashes = 32;   ///< that quarantined inputs explain
  std::size_t max_exported_suspects = 12;  ///< other crashes
  std::size_t max_exported_parts = 6;      ///< per crash
  std::size_t max_exported_requests = 8;   ///< per crash
  std::size_t max_exported_sound = 32;
};

/// @brief A quarantined input.
struct QuarantinedInput {
  std::string id;
  std::size_t crashes = 0;  ///< that count, simultaneous ones once
  Duration last_crash_age{0};
  std::vector<UpstreamId> workers;
};

/// @brief Quarantines prompt parts and requests that end workers.
///
/// An input is suspect after a worker has ended while it was running a request
/// with it, until a later run with the input goes on. It is quarantined after
/// `min_crashes` crashes without such a run. A crash that a quarantined input
/// explains doesn't count against the others that the worker was running; of
/// inputs with equally many crashes the deepest is quarantined, as fewer
/// requests share it.
/// @note Example:
/// @code
/// quarantine.RecordCrash(now, {worker, started_at, {}, {{"5c1e07a2", 0}}});
/// if (quarantine.Find(now, ids).has_value()) { /* refuse the request */ }
/// @endcode
class InputQuarantine {
 public:
  explicit InputQuarantine(QuarantineSettings settings = {})
      : settings(settings) {}

  /// @brief Records a crash that this host noticed.
  /// @return whether it is new evidence
  bool RecordCrash(Instant now, const WorkerCrash& crash);

  /// @brief Records that a run with the input went on, or that an operator
  /// released it.
  /// @return whether the input was suspect
  bool RecordSound(Instant now, const std::string& id);

  /// @brief Merges the evidence of another host.
  /// @return whether any of it is new
  bool Merge(Instant now, const CrashEvidence& evidence);

  /// @brief Returns evidence for other hosts, that on quarantined inputs first.
  /// @param include_received also returns crashes that other hosts noticed
  CrashEvidence Export(Instant now, bool include_received);

  /// @brief Returns the crashes that a quarantined input explains, as far as
  /// other hosts need them to quarantine it.
  CrashEvidence ExportInput(Instant now, const std::string& id) const;

  /// @return the first quarantined input in the list, or nothing
  std::optional<std::string> Find(Instant now,
                                  const std::vector<std::string>& ids) const;

  /// @return whether any input is suspect or quarantined
  bool HasSuspects() const { return !this->crashes.empty(); }

  /// @return the crashes under an input since its last sound run
  std::uint32_t CountCrashes(const std::string& id) const;

  /// @return whether this incarnation of a worker ended under the input
  bool HasCrash(const UpstreamId& worker, std::int64_t started_at,
                const std::string& id) const;

  /// @return the quarantined inputs, in order of their ids
  std::vector<QuarantinedInput> Quarantined(Instant now) const;

 private:
  using Incarnation = std::pair<UpstreamId, std::int64_t>;
  struct Suspicion {
    std::uint32_t depth = 0;
    std::uint32_t prior = 0;
  };
  struct Crash {
    Instant at{};
    bool noticed_here = false;
    std::map<std::string, Suspicion> inputs;  ///< by id
  };
  struct Verdict {
    std::size_t crashes = 0;
    Instant last_crash{};
    std::vector<Incarnation> workers;  ///< in order of their crashes
  };

  using Crashes = std::map<Incarnation, Crash>;
  /// @brief The crashes under one input, as evidence against it.
  struct Candidate {
    std::size_t crashes = 0;  ///< simultaneous ones count once
    Instant counted_at{};
    std::size_t all_crashes = 0;
    std::uint32_t prior = 0;
    std::uint32_t depth = 0;

    /// Each was sent after those before, so these are not simultaneous. Some
    /// of them may not count any more.
    std::size_t Count() const {
      return std::max(this->crashes, std::min<std::size_t>(this->prior + 1U,
                                                           this->all_crashes));
    }
  };

  bool AddCrash(Instant now, const WorkerCrash& crash, bool noticed_here);
  bool AddSound(Instant now, const std::string& id, Instant at);
  /// @brief Removes a crash.
  /// @return the crash after it
  Crashes::iterator EraseCrash(Crashes::iterator crash);
  void AddToIndex(const std::string& id, const Incarnation& incarnation);
  void EraseFromIndex(const std::string& id, const Incarnation& incarnation);
  void Expire(Instant now);
  /// @brief Evicts the oldest crash that no quarantined input explains.
  void EvictCrash();
  void UpdateVerdicts();
  /// @brief Returns the crashes under an input, without those that a verdict
  /// explains, in order of time.
  std::vector<std::pair<Incarnation, const Crash*>> UnexplainedCrashes(
      const std::string& id, const std::set<Incarnation>& explained) const;
  /// @param times of all crashes that no verdict explains, in order
  Candidate CountEvidence(const std::string& id,
                          const std::set<Incarnation>& explained,
                          const std::vector<Instant>& times) const;
  /// @return the quarantined input among those of the crash, or nullptr
  const std::string* Explanation(const Crash& crash) const;
  /// @brief Selects crashes under an input that suffice to quarantine it, or
  /// all of them if they don't.
  /// @param ids of the crashes, in their order
  std::vector<Incarnation> SelectSufficient(
      const std::string& id, const std::vector<Incarnation>& ids) const;
  WorkerCrash MakeExport(Instant now, const Incarnation& incarnation,
                         const Crash& crash) const;

  QuarantineSettings settings;
  Crashes crashes;
  /// The crashes under each input; no input has an empty set.
  std::map<std::string, std::set<Incarnation>> crashes_by_input;
  /// Inputs with enough crashes to be quarantined.
  std::set<std::string> frequent_inputs;
  std::map<std::string, Instant> sound;  ///< latest time by part
  std::map<std::string, Verdict> verdicts;
};

}  // namespace limpetlink
