#include <algorithm>

#include "quarantine/quarantine.h"

namespace limpetlink {
namespace {

// Ages are sent in milliseconds, so the times between crashes that a receiver
// computes differ by up to this from those here.
constexpr Duration kAgeResolution = std::chrono::milliseconds(2);

}  // namespace

bool InputQuarantine::RecordCrash(Instant now, const WorkerCrash& crash) {
  this->Expire(now);
  const bool is_new = this->AddCrash(now, crash, true);
  this->UpdateVerdicts();
  return is_new;
}

bool InputQuarantine::RecordSound(Instant now, const std::string& id) {
  const bool suspect = std::any_of(
      this->crashes.begin(), this->crashes.end(),
      [&id](const auto& entry) { return entry.second.parts.count(id) > 0; });
  if (!suspect) {
    return false;
  }
  this->Expire(now);
  this->AddSound(now, id, now);
  this->UpdateVerdicts();
  return true;
}

bool InputQuarantine::Merge(Instant now, const CrashEvidence& evidence) {
  if (evidence.Empty()) {
    return false;
  }
  this->Expire(now);
  bool is_new = false;
  for (const SoundInput& part : evidence.sound) {
    is_new = this->AddSound(now, part.id, now - part.age) || is_new;
  }
  for (const WorkerCrash& crash : evidence.crashes) {
    is_new = this->AddCrash(now, crash, false) || is_new;
  }
  this->UpdateVerdicts();
  return is_new;
}

bool InputQuarantine::AddCrash(Instant now, const WorkerCrash& crash,
                               bool noticed_here) {
  if (crash.age >= this->settings.retention) {
    return false;
  }
  const Incarnation incarnation{crash.engine, crash.started_at};
  const auto known = this->crashes.find(incarnation);
  Crash merged = known == this->crashes.end() ? Crash{now - crash.age, {}, {}}
                                              : known->second;
  merged.at = std::min(merged.at, now - crash.age);
  merged.noticed_here = merged.noticed_here || noticed_here;
  bool is_new = false;
  for (const SuspectInput& part : crash.parts) {
    const auto cleared = this->sound.find(part.id);
    const bool counts =
        (cleared == this->sound.end() || cleared->second < merged.at) &&
        (merged.parts.count(part.id) > 0 ||
         merged.parts.size() < this->settings.max_parts_per_crash);
    if (counts) {
      is_new = merged.parts.try_emplace(part.id, part.depth).second || is_new;
    }
  }
  if (merged.parts.empty()) {
    return false;
  }
  this->crashes[incarnation] = std::move(merged);
  if (this->crashes.size() > this->settings.max_crashes) {
    this->UpdateVerdicts();
    this->EvictCrash();
  }
  return is_new;
}

bool InputQuarantine::AddSound(Instant now, const std::string& id, Instant at) {
  if (now - at >= this->settings.retention) {
    return false;
  }
  const auto [entry, inserted] = this->sound.try_emplace(id, at);
  const bool is_newer = inserted || entry->second < at;
  entry->second = std::max(entry->second, at);
  for (auto it = this->crashes.begin(); it != this->crashes.end();) {
    if (it->second.at <= entry->second) {
      it->second.parts.erase(id);
    }
    it = it->second.parts.empty() ? this->crashes.erase(it) : std::next(it);
  }
  if (this->sound.size() > this->settings.max_sound) {
    const auto oldest = std::min_element(
        this->sound.begin(), this->sound.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    this->sound.erase(oldest);
  }
  return is_newer;
}

void InputQuarantine::Expire(Instant now) {
  const Instant oldest = now - this->settings.retention;
  for (auto it = this->crashes.begin(); it != this->crashes.end();) {
    it = it->second.at < oldest ? this->crashes.erase(it) : std::next(it);
  }
  for (auto it = this->sound.begin(); it != this->sound.end();) {
    it = it->second < oldest ? this->sound.erase(it) : std::next(it);
  }
}

void InputQuarantine::EvictCrash() {
  auto victim = this->crashes.end();
  for (auto it = this->crashes.begin(); it != this->crashes.end(); ++it) {
    const auto rank = [this](const Crash& crash) {
      return std::pair(this->Explanation(crash) != nullptr, crash.at);
    };
    if (victim == this->crashes.end() ||
        rank(it->second) < rank(victim->second)) {
      victim = it;
    }
  }
  this->crashes.erase(victim);
}

void InputQuarantine::UpdateVerdicts() {
  this->verdicts.clear();
  std::vector<std::pair<Incarnation, const Crash*>> unexplained;
  for (const auto& [incarnation, crash] : this->crashes) {
    unexplained.emplace_back(incarnation, &crash);
  }
  std::sort(
      unexplained.begin(), unexplained.end(),
      [](const auto& a, const auto& b) { return a.second->at < b.second->at; });
  while (true) {
    struct Candidate {
      std::size_t crashes = 0;
      Instant counted_at{};
      std::uint32_t depth = 0;
    };
    std::map<std::string, Candidate> candidates;
    for (const auto& [incarnation, crash] : unexplained) {
      for (const auto& [id, depth] : crash->parts) {
        Candidate& candidate = candidates[id];
        candidate.depth = std::max(candidate.depth, depth);
        if (candidate.crashes == 0 ||
            crash->at - candidate.counted_at >= this->settings.simultaneous) {
          ++candidate.crashes;
          candidate.counted_at = crash->at;
        }
      }
    }
    const auto most = std::max_element(
        candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
          return std::pair(a.second.crashes, a.second.depth) <
                 std::pair(b.second.crashes, b.second.depth);
        });
    if (most == candidates.end() ||
        most->second.crashes < this->settings.min_crashes) {
      return;
    }
    Verdict& verdict = this->verdicts[most->first];
    verdict.crashes = most->second.crashes;
    const auto explained = std::stable_partition(
        unexplained.begin(), unexplained.end(), [&most](const auto& entry) {
          return entry.second->parts.count(most->first) == 0;
        });
    for (auto it = explained; it != unexplained.end(); ++it) {
      verdict.engines.push_back(it->first);
      verdict.last_crash = it->second->at;
    }
    unexplained.erase(explained, unexplained.end());
  }
}

const std::string* InputQuarantine::Explanation(const Crash& crash) const {
  for (const auto& [id, depth] : crash.parts) {
    const auto verdict = this->verdicts.find(id);
    if (verdict != this->verdicts.end()) {
      return &verdict->first;
    }
  }
  return nullptr;
}

std::optional<std::string> InputQuarantine::Find(
    Instant now, const std::vector<std::string>& parts) const {
  if (this->verdicts.empty()) {
    return std::nullopt;
  }
  for (const std::string& id : parts) {
    const auto verdict = this->verdicts.find(id);
    if (verdict != this->verdicts.end() &&
        now - verdict->second.last_crash < this->settings.hold) {
      return id;
    }
  }
  return std::nullopt;
}

WorkerCrash InputQuarantine::MakeExport(Instant now,
                                        const Incarnation& incarnation,
                                        const Crash& crash) const {
  WorkerCrash exported{
      incarnation.first, incarnation.second, now - crash.at, {}};
  if (const std::string* explanation = this->Explanation(crash)) {
    exported.parts = {{*explanation, crash.parts.at(*explanation)}};
    return exported;
  }
  for (const auto& [id, depth] : crash.parts) {
    exported.parts.push_back({id, depth});
  }
  std::sort(exported.parts.begin(), exported.parts.end(),
            [](const SuspectInput& a, const SuspectInput& b) {
              return std::tie(b.depth, a.id) < std::tie(a.depth, b.id);
            });
  exported.parts.resize(
      std::min(exported.parts.size(), this->settings.max_exported_parts));
  return exported;
}

CrashEvidence InputQuarantine::Export(Instant now, bool include_received) {
  CrashEvidence evidence;
  if (this->crashes.empty() && this->sound.empty()) {
    return evidence;
  }
  this->Expire(now);
  this->UpdateVerdicts();
  for (const auto& [id, at] : this->sound) {
    if (now - at < this->settings.sound_export) {
      evidence.sound.push_back({id, now - at});
    }
  }
  std::sort(
      evidence.sound.begin(), evidence.sound.end(),
      [](const SoundInput& a, const SoundInput& b) { return a.age < b.age; });
  evidence.sound.resize(
      std::min(evidence.sound.size(), this->settings.max_exported_sound));
  // The latest crashes of each quarantined part suffice to quarantine it
  // elsewhere; simultaneous ones don't count.
  std::vector<std::pair<Incarnation, const Crash*>> order;
  for (const auto& [incarnation, crash] : this->crashes) {
    if (include_received || crash.noticed_here) {
      order.emplace_back(incarnation, &crash);
    }
  }
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    return a.second->at > b.second->at;
  });
  std::map<std::string, std::pair<std::size_t, Instant>> exported;
  std::vector<std::pair<Incarnation, const Crash*>> others;
  for (const auto& [incarnation, crash] : order) {
    const std::string* explanation = this->Explanation(*crash);
    if (explanation == nullptr) {
      others.emplace_back(incarnation, crash);
      continue;
    }
    auto& [count, last] = exported[*explanation];
    const bool simultaneous =
        count > 0 &&
        last - crash->at < this->settings.simultaneous + kAgeResolution;
    if (count < this->settings.min_crashes && !simultaneous) {
      ++count;
      last = crash->at;
      evidence.crashes.push_back(this->MakeExport(now, incarnation, *crash));
    }
  }
  evidence.crashes.resize(
      std::min(evidence.crashes.size(), this->settings.max_exported_crashes));
  others.resize(std::min(others.size(), this->settings.max_exported_suspects));
  for (const auto& [incarnation, crash] : others) {
    evidence.crashes.push_back(this->MakeExport(now, incarnation, *crash));
  }
  return evidence;
}

CrashEvidence InputQuarantine::ExportInput(Instant now,
                                           const std::string& id) const {
  CrashEvidence evidence;
  const auto verdict = this->verdicts.find(id);
  if (verdict == this->verdicts.end()) {
    return evidence;
  }
  std::optional<Instant> last;
  for (const Incarnation& incarnation : verdict->second.engines) {
    const Crash& crash = this->crashes.at(incarnation);
    const bool counts =
        !last.has_value() ||
        crash.at - *last >= this->settings.simultaneous + kAgeResolution;
    if (counts && evidence.crashes.size() < this->settings.min_crashes) {
      last = crash.at;
      evidence.crashes.push_back(this->MakeExport(now, incarnation, crash));
    }
  }
  return evidence;
}

std::vector<QuarantinedInput> InputQuarantine::Quarantined(Instant now) const {
  std::vector<QuarantinedInput> parts;
  for (const auto& [id, verdict] : this->verdicts) {
    const Duration age = now - verdict.last_crash;
    if (age >= this->settings.hold) {
      continue;
    }
    QuarantinedInput part{id, verdict.crashes, age, {}};
    for (const Incarnation& incarnation : verdict.engines) {
      part.engines.push_back(incarnation.first);
    }
    parts.push_back(std::move(part));
  }
  return parts;
}

}  // namespace limpetlink
