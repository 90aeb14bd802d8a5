#include "operators/detail/fleet_changes.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "decoding/decoding.h"

namespace limpetlink {
namespace {

constexpr std::size_t kChangeIdDigits = 32;
constexpr char kSeparator = '\n';

absl::Status UnavailableStatus(const StoreResult& result) {
  const std::string_view status = ToText(result.status);
  return MakeStatus(ErrorCode::kPlatformUnavailable, status);
}

std::optional<FleetRevision> ParseRevision(const std::string& text) {
  const auto json = DecodeJsonOrDiscard(text);
  if (!json.is_object()) {
    return std::nullopt;
  }
  FleetRevision revision;
  revision.version = json.value("version", std::uint64_t{0});
  revision.change_id = json.value("change_id", std::string());
  revision.author = json.value("author", std::string());
  return revision;
}

}  // namespace

absl::StatusOr<StoredFleet> ReadStoredFleet(PlatformAccess* platform,
                                            const std::string& name) {
  const StoreResult read = platform->Get({std::string(kFleetKind), name});
  if (read.status == StoreStatus::kAbsent) {
    return StoredFleet();
  }
  if (read.status != StoreStatus::kOk) {
    return UnavailableStatus(read);
  }
  FleetParseResult parsed = ParseFleet(read.bytes);
  if (!parsed.Ok()) {
    const FleetValidationError& error = parsed.errors.front();
    return MakeStatus(ErrorCode::kFleetInvalid,
                      absl::StrCat("version ", read.version, ", ",
                                   error.pointer, " ", error.message));
  }
  return StoredFleet{read.version, read.bytes, std::move(parsed.document)};
}

std::string MakeChangeId(std::uint64_t base_version, std::string_view author,
                         FleetDocument document) {
  document.change_id.clear();
  document.author.clear();
  std::string identity = std::to_string(base_version);
  identity += kSeparator;
  identity += author;
  identity += kSeparator;
  identity += WriteFleet(document);
  return Sha256Hex(identity).substr(0, kChangeIdDigits);
}

absl::StatusOr<std::vector<FleetRevision>> ReadHistory(
    PlatformAccess* platform, const StoredFleet& current, std::uint32_t limit) {
  std::vector<FleetRevision> revisions;
  if (current.version == 0) {
    return revisions;
  }
  revisions.push_back(
      {current.version, current.document.change_id, current.document.author});
  const std::string kind(kFleetHistoryKind);
  const std::uint64_t first =
      current.version - std::min<std::uint64_t>(current.version - 1, limit - 1);
  for (std::uint64_t version = current.version - 1; version >= first;
       --version) {
    const StoreResult read =
        platform->Get({kind, HistoryName(current.document.name, version)});
    const bool responded =
        read.status == StoreStatus::kOk || read.status == StoreStatus::kAbsent;
    if (!responded) {
      return UnavailableStatus(read);
    }
    const auto revision = ParseRevision(read.bytes);
    if (read.status == StoreStatus::kOk && revision) {
      revisions.push_back(*revision);
    }
  }
  return revisions;
}

}  // namespace limpetlink
