#include "quarantine/detail/evidence_json.h"

namespace limpetlink {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxRows = 512;
constexpr std::size_t kMaxIdBytes = 64;
constexpr std::size_t kMaxWorkerBytes = 256;
constexpr std::uint64_t kMaxAgeMs = 24ULL * 3600 * 1000;
constexpr std::uint64_t kMaxDepth = 4096;
constexpr std::uint64_t kMaxPrior = 4096;

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
  const bool valid = IsRow(row, 4) && IsText(row[0], kMaxWorkerBytes) &&
                     row[1].is_number_integer() &&
                     IsNumber(row[2], kMaxAgeMs) && IsList(row[3]);
  if (!valid) {
    return false;
  }
  crash->worker.value = row[0].get<std::string>();
  crash->started_at = row[1].get<std::int64_t>();
  crash->age = std::chrono::milliseconds(row[2].get<std::uint64_t>());
  for (const Json& input : row[3]) {
    // The third column is omitted while it is zero.
    const bool has_prior = IsRow(input, 3);
    if (!(has_prior || IsRow(input, 2)) || !IsText(input[0], kMaxIdBytes) ||
        !IsNumber(input[1], kMaxDepth) ||
        (has_prior && !IsNumber(input[2], kMaxPrior))) {
      return false;
    }
    crash->inputs.push_back({input[0].get<std::string>(),
                             input[1].get<std::uint32_t>(),
                             has_prior ? input[2].get<std::uint32_t>() : 0});
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
    Json inputs = Json::array();
    for (const SuspectInput& input : crash.inputs) {
      Json row = {input.id, input.depth};
      if (input.prior > 0) {
        row.push_back(input.prior);
      }
      inputs.push_back(std::move(row));
    }
    crashes.push_back({crash.worker.value, crash.started_at,
                       InMilliseconds(crash.age), std::move(inputs)});
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
