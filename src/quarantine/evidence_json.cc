#include "quarantine/detail/evidence_json.h"

namespace limpetlink {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxRows = 512;
constexpr std::size_t kMaxIdBytes = 64;
constexpr std::size_t kMaxEngineBytes = 256;
constexpr std::uint64_t kMaxAgeMs = 24ULL * 3600 * 1000;
constexpr std::uint64_t kMaxDepth = 4096;

std::int64_t InMilliseconds(Duration age) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
}

bool IsText(const Json& value, std::size_t max_bytes) {
  return value.is_string() &&
         value.get_ref<const std::string&>().size() <= max_bytes;
}

bool IsNumber(const Json& value, std::uint64_t max) {
  return value.is_number_unsigned() && value.get<std::uint64_t>() <= max;
}

bool IsList(const Json& value) {
  return value.is_array() && value.size() <= kMaxRows;
}

bool IsRow(const Json& value, std::size_t columns) {
  return value.is_array() && value.size() == columns;
}

bool ReadCrash(const Json& row, WorkerCrash* crash) {
  const bool valid = IsRow(row, 4) && IsText(row[0], kMaxEngineBytes) &&
                     row[1].is_number_integer() &&
                     IsNumber(row[2], kMaxAgeMs) && IsList(row[3]);
  if (!valid) {
    return false;
  }
  crash->engine.value = row[0].get<std::string>();
  crash->started_at = row[1].get<std::int64_t>();
  crash->age = std::chrono::milliseconds(row[2].get<std::uint64_t>());
  for (const Json& part : row[3]) {
    if (!IsRow(part, 2) || !IsText(part[0], kMaxIdBytes) ||
        !IsNumber(part[1], kMaxDepth)) {
      return false;
    }
    crash->parts.push_back(
        {part[0].get<std::string>(), part[1].get<std::uint32_t>()});
  }
  return true;
}

bool ReadSound(const Json& row, SoundInput* part) {
  if (!IsRow(row, 2) || !IsText(row[0], kMaxIdBytes) ||
      !IsNumber(row[1], kMaxAgeMs)) {
    return false;
  }
  part->id = row[0].get<std::string>();
  part->age = std::chrono::milliseconds(row[1].get<std::uint64_t>());
  return true;
}

/// @brief Reads a list of rows; `read` fills one entry from one row.
template <typename Entry>
bool ReadRows(const Json& root, const char* member,
              bool (*read)(const Json&, Entry*), std::vector<Entry>* entries) {
  const auto rows = root.find(member);
  if (rows == root.end() || !IsList(*rows)) {
    return false;
  }
  for (const Json& row : *rows) {
    if (!read(row, &entries->emplace_back())) {
      return false;
    }
  }
  return true;
}

}  // namespace

nlohmann::json ToJson(const CrashEvidence& evidence) {
  Json crashes = Json::array();
  for (const WorkerCrash& crash : evidence.crashes) {
    Json parts = Json::array();
    for (const SuspectInput& part : crash.parts) {
      parts.push_back({part.id, part.depth});
    }
    crashes.push_back({crash.engine.value, crash.started_at,
                       InMilliseconds(crash.age), std::move(parts)});
  }
  Json sound = Json::array();
  for (const SoundInput& part : evidence.sound) {
    sound.push_back({part.id, InMilliseconds(part.age)});
  }
  return {{"crashes", std::move(crashes)}, {"sound", std::move(sound)}};
}

std::optional<CrashEvidence> CrashEvidenceFromJson(const nlohmann::json& json) {
  CrashEvidence evidence;
  const bool valid = json.is_object() &&
                     ReadRows(json, "crashes", ReadCrash, &evidence.crashes) &&
                     ReadRows(json, "sound", ReadSound, &evidence.sound);
  return valid ? std::optional(std::move(evidence)) : std::nullopt;
}

}  // namespace limpetlink
