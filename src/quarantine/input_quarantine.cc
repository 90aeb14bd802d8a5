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
      [&id](const auto& entry) { return entry.second.inputs.count(id) > 0; });
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
  const Incarnation incarnation{crash.worker, crash.started_at};
  const auto known = this->crashes.find(incarnation);
  Crash merged = known == this->crashes.end() ? Crash{now - crash.age, {}, {}}
                                              : known->second;
  merged.at = std::min(merged.at, now - crash.age);
  merged.noticed_here = merged.noticed_here || noticed_here;
  bool is_new = false;
  for (const SuspectInput& input : crash.inputs) {
    const auto cleared = this->sound.find(input.id);
    const bool counts =
        (cleared == this->sound.end() || cleared->second < merged.at) &&
        (merged.inputs.count(input.id) > 0 ||
         merged.inputs.size() < this->settings.max_inputs_per_crash);
    if (!counts) {
      continue;
    }
    const auto [suspicion, inserted] = merged.inputs.try_emplace(
        input.id, Suspicion{input.depth, input.prior});
    is_new = is_new || inserted || suspicion->second.prior < input.prior;
    suspicion->second.prior = std::max(suspicion->second.prior, input.prior);
  }
  if (merged.inputs.empty()) {
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
      it->second.inputs.erase(id);
    }
    it = it->second.inputs.empty() ? this->crashes.erase(it) : std::next(it);
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
      std::size_t crashes = 0;  ///< simultaneous ones count once
      Instant counted_at{};
      std::size_t all_crashes = 0;
      std::uint32_t prior = 0;
      std::uint32_t depth = 0;

      /// Each was sent after those before, so these are not simultaneous. Some
      /// of them may not count any more.
      std::size_t Count() const {
        return std::max(
            this->crashes,
            std::min<std::size_t>(this->prior + 1U, this->all_crashes));
      }
    };
    std::vector<Instant> times;
    std::map<std::string, std::vector<Instant>> times_by_input;
    for (const auto& [incarnation, crash] : unexplained) {
      times.push_back(crash->at);
      for (const auto& [id, suspicion] : crash->inputs) {
        times_by_input[id].push_back(crash->at);
      }
    }
    const auto count_together = [this](const std::vector<Instant>& sorted,
                                       Instant at) {
      const Duration span = this->settings.together;
      return std::upper_bound(sorted.begin(), sorted.end(), at + span) -
             std::lower_bound(sorted.begin(), sorted.end(), at - span);
    };
    std::map<std::string, Candidate> candidates;
    for (const auto& [incarnation, crash] : unexplained) {
      for (const auto& [id, suspicion] : crash->inputs) {
        // Workers that end together without this input have another cause.
        if (count_together(times_by_input[id], crash->at) <
            count_together(times, crash->at)) {
          continue;
        }
        Candidate& candidate = candidates[id];
        candidate.depth = std::max(candidate.depth, suspicion.depth);
        candidate.prior = std::max(candidate.prior, suspicion.prior);
        ++candidate.all_crashes;
        if (candidate.crashes == 0 ||
            crash->at - candidate.counted_at >= this->settings.simultaneous) {
          ++candidate.crashes;
          candidate.counted_at = crash->at;
        }
      }
    }
    const auto most = std::max_element(
        candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
          return std::pair(a.second.Count(), a.second.depth) <
                 std::pair(b.second.Count(), b.second.depth);
        });
    if (most == candidates.end() ||
        most->second.Count() < this->settings.min_crashes) {
      return;
    }
    Verdict& verdict = this->verdicts[most->first];
    verdict.crashes = most->second.Count();
    const auto explained = std::stable_partition(
        unexplained.begin(), unexplained.end(), [&most](const auto& entry) {
          return entry.second->inputs.count(most->first) == 0;
        });
    for (auto it = explained; it != unexplained.end(); ++it) {
      verdict.workers.push_back(it->first);
      verdict.last_crash = it->second->at;
    }
    unexplained.erase(explained, unexplained.end());
  }
}

const std::string* InputQuarantine::Explanation(const Crash& crash) const {
  for (const auto& [id, suspicion] : crash.inputs) {
    const auto verdict = this->verdicts.find(id);
    if (verdict != this->verdicts.end()) {
      return &verdict->first;
    }
  }
  return nullptr;
}

std::optional<std::string> InputQuarantine::Find(
    Instant now, const std::vector<std::string>& ids) const {
  if (this->verdicts.empty()) {
    return std::nullopt;
  }
  for (const std::string& id : ids) {
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
    const Suspicion& suspicion = crash.inputs.at(*explanation);
    exported.inputs = {{*explanation, suspicion.depth, suspicion.prior}};
    return exported;
  }
  std::vector<std::pair<std::uint32_t, SuspectInput>> parts;
  std::vector<std::pair<std::uint32_t, SuspectInput>> requests;
  for (const auto& [id, suspicion] : crash.inputs) {
    auto& kind = suspicion.depth < kRequestDepth ? parts : requests;
    kind.emplace_back(this->CountCrashes(id),
                      SuspectInput{id, suspicion.depth, suspicion.prior});
  }
  // Inputs of several crashes come first: one that ended a worker only by
  // coincidence is seldom among them.
  const auto export_first = [&exported](auto* counted, std::size_t limit) {
    std::sort(counted->begin(), counted->end(),
              [](const auto& a, const auto& b) {
                return std::tie(b.first, b.second.depth, a.second.id) <
                       std::tie(a.first, a.second.depth, b.second.id);
              });
    for (std::size_t i = 0; i < std::min(counted->size(), limit); ++i) {
      exported.inputs.push_back((*counted)[i].second);
    }
  };
  export_first(&parts, this->settings.max_exported_parts);
  export_first(&requests, this->settings.max_exported_requests);
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
  std::vector<std::pair<Incarnation, const Crash*>> order;
  for (const auto& [incarnation, crash] : this->crashes) {
    if (include_received || crash.noticed_here) {
      order.emplace_back(incarnation, &crash);
    }
  }
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
    return a.second->at > b.second->at;
  });
  std::map<std::string, std::vector<Incarnation>> explained;
  std::vector<std::pair<Incarnation, const Crash*>> others;
  for (const auto& [incarnation, crash] : order) {
    if (const std::string* explanation = this->Explanation(*crash)) {
      explained[*explanation].push_back(incarnation);
    } else {
      others.emplace_back(incarnation, crash);
    }
  }
  for (const auto& [id, incarnations] : explained) {
    for (const Incarnation& incarnation :
         this->SelectSufficient(id, incarnations)) {
      evidence.crashes.push_back(
          this->MakeExport(now, incarnation, this->crashes.at(incarnation)));
    }
  }
  std::sort(
      evidence.crashes.begin(), evidence.crashes.end(),
      [](const WorkerCrash& a, const WorkerCrash& b) { return a.age < b.age; });
  evidence.crashes.resize(
      std::min(evidence.crashes.size(), this->settings.max_exported_crashes));
  // Inputs of several crashes are the ones whose sound runs matter elsewhere.
  std::map<Incarnation, std::uint32_t> most;
  for (const auto& [incarnation, crash] : others) {
    for (const auto& [id, suspicion] : crash->inputs) {
      most[incarnation] = std::max(most[incarnation], this->CountCrashes(id));
    }
  }
  std::stable_sort(others.begin(), others.end(),
                   [&most](const auto& a, const auto& b) {
                     return most[a.first] > most[b.first];
                   });
  others.resize(std::min(others.size(), this->settings.max_exported_suspects));
  for (const auto& [incarnation, crash] : others) {
    evidence.crashes.push_back(this->MakeExport(now, incarnation, *crash));
  }
  return evidence;
}

std::vector<InputQuarantine::Incarnation> InputQuarantine::SelectSufficient(
    const std::string& id, const std::vector<Incarnation>& ids) const {
  std::vector<Incarnation> selected;
  std::optional<Instant> last;
  for (const Incarnation& each : ids) {
    const Instant at = this->crashes.at(each).at;
    const bool simultaneous =
        last.has_value() && std::max(at - *last, *last - at) <
                                this->settings.simultaneous + kAgeResolution;
    if (!simultaneous && selected.size() < this->settings.min_crashes) {
      selected.push_back(each);
      last = at;
    }
  }
  if (selected.size() == this->settings.min_crashes) {
    return selected;
  }
  // Simultaneous ones count by the crashes that were known before them.
  selected = ids;
  std::stable_sort(selected.begin(), selected.end(),
                   [&](const Incarnation& a, const Incarnation& b) {
                     return this->crashes.at(a).inputs.at(id).prior >
                            this->crashes.at(b).inputs.at(id).prior;
                   });
  selected.resize(std::min(selected.size(), this->settings.min_crashes));
  return selected;
}

CrashEvidence InputQuarantine::ExportInput(Instant now,
                                           const std::string& id) const {
  CrashEvidence evidence;
  const auto verdict = this->verdicts.find(id);
  if (verdict == this->verdicts.end()) {
    return evidence;
  }
  for (const Incarnation& incarnation :
       this->SelectSufficient(id, verdict->second.workers)) {
    evidence.crashes.push_back(
        this->MakeExport(now, incarnation, this->crashes.at(incarnation)));
  }
  return evidence;
}

std::uint32_t InputQuarantine::CountCrashes(const std::string& id) const {
  return static_cast<std::uint32_t>(std::count_if(
      this->crashes.begin(), this->crashes.end(),
      [&id](const auto& each) { return each.second.inputs.count(id) > 0; }));
}

bool InputQuarantine::HasCrash(const UpstreamId& worker,
                               std::int64_t started_at,
                               const std::string& id) const {
  const auto found = this->crashes.find({worker, started_at});
  return found != this->crashes.end() && found->second.inputs.count(id) > 0;
}

std::vector<QuarantinedInput> InputQuarantine::Quarantined(Instant now) const {
  std::vector<QuarantinedInput> inputs;
  for (const auto& [id, verdict] : this->verdicts) {
    const Duration age = now - verdict.last_crash;
    if (age >= this->settings.hold) {
      continue;
    }
    QuarantinedInput input{id, verdict.crashes, age, {}};
    for (const Incarnation& incarnation : verdict.workers) {
      input.workers.push_back(incarnation.first);
    }
    inputs.push_back(std::move(input));
  }
  return inputs;
}

}  // namespace limpetlink
