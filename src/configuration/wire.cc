#include "configuration/detail/wire.h"

#include <utility>

#include "peers/peers.h"

namespace limpetlink {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::uint64_t kDigestTag = 0;
constexpr std::uint64_t kPullTag = 1;
constexpr std::uint64_t kDeltasTag = 2;
constexpr std::uint64_t kMaxAgeMilliseconds =
    1000ULL * 3600ULL * 24ULL * 365ULL;
constexpr CborLimits kLimits{kMaxPeerFrameBytes, 4, 4096};

Json DigestJson(const ConfigurationDigest& digest) {
  Json age = nullptr;
  if (digest.confirmed_age) {
    const auto value =
        std::chrono::duration_cast<milliseconds>(*digest.confirmed_age);
    age = static_cast<std::uint64_t>(value.count());
  }
  return Json::array({kDigestTag, digest.version, age, digest.ready});
}

Json DeltaJson(const DocumentDelta& delta) {
  return Json::array({delta.from, delta.to,
                      static_cast<std::uint64_t>(delta.form),
                      delta.prefix_bytes, delta.suffix_bytes,
                      CborBinary(delta.bytes), delta.digest});
}

bool ReadDigest(const Json& value, ConfigurationDigest* digest) {
  const bool well_formed =
      value.is_array() && value.size() == 4 && value[1].is_number_unsigned() &&
      (value[2].is_null() || value[2].is_number_unsigned()) &&
      value[3].is_boolean();
  if (!well_formed) {
    return false;
  }
  digest->version = value[1].get<std::uint64_t>();
  digest->ready = value[3].get<bool>();
  if (!value[2].is_null()) {
    const std::uint64_t age =
        std::min(value[2].get<std::uint64_t>(), kMaxAgeMilliseconds);
    digest->confirmed_age = milliseconds(age);
  }
  return true;
}

bool ReadDelta(const Json& value, DocumentDelta* delta) {
  if (!value.is_array() || value.size() != 7) {
    return false;
  }
  for (const std::size_t index : {0U, 1U, 2U, 3U, 4U, 6U}) {
    if (!value[index].is_number_unsigned()) {
      return false;
    }
  }
  const auto form = value[2].get<std::uint64_t>();
  if (form > static_cast<std::uint64_t>(DeltaForm::kFull)) {
    return false;
  }
  delta->from = value[0].get<std::uint64_t>();
  delta->to = value[1].get<std::uint64_t>();
  delta->form = static_cast<DeltaForm>(form);
  delta->prefix_bytes = value[3].get<std::uint64_t>();
  delta->suffix_bytes = value[4].get<std::uint64_t>();
  delta->digest = value[6].get<std::uint64_t>();
  return ReadCborBinary(value[5], &delta->bytes);
}

bool ReadDeltas(const Json& value, ConfigurationDeltas* message) {
  const bool well_formed = value.size() == 3 && value[2].is_array() &&
                           ReadDigest(value[1], &message->digest);
  if (!well_formed) {
    return false;
  }
  for (const Json& row : value[2]) {
    DocumentDelta delta;
    if (!ReadDelta(row, &delta)) {
      return false;
    }
    message->deltas.push_back(std::move(delta));
  }
  return true;
}

struct Encoder {
  Json operator()(const ConfigurationDigest& digest) const {
    return DigestJson(digest);
  }
  Json operator()(const ConfigurationPull& pull) const {
    return Json::array({kPullTag, pull.have});
  }
  Json operator()(const ConfigurationDeltas& message) const {
    Json rows = Json::array();
    for (const DocumentDelta& delta : message.deltas) {
      rows.push_back(DeltaJson(delta));
    }
    return Json::array({kDeltasTag, DigestJson(message.digest), rows});
  }
};

}  // namespace

std::string EncodeConfiguration(const ConfigurationMessage& message) {
  return EncodeCbor(std::visit(Encoder(), message));
}

absl::StatusOr<ConfigurationMessage> DecodeConfiguration(
    std::string_view bytes) {
  const auto value = DecodeCbor(bytes, kLimits);
  if (!value.ok()) {
    return value.status();
  }
  const Json& root = *value;
  const bool tagged =
      root.is_array() && !root.empty() && root[0].is_number_unsigned();
  const std::uint64_t tag =
      tagged ? root[0].get<std::uint64_t>() : kDeltasTag + 1;
  ConfigurationDigest digest;
  ConfigurationDeltas deltas;
  if (tag == kDigestTag && ReadDigest(root, &digest)) {
    return ConfigurationMessage(digest);
  }
  if (tag == kPullTag && root.size() == 2 && root[1].is_number_unsigned()) {
    return ConfigurationMessage(
        ConfigurationPull{root[1].get<std::uint64_t>()});
  }
  if (tag == kDeltasTag && ReadDeltas(root, &deltas)) {
    return ConfigurationMessage(std::move(deltas));
  }
  return MakeStatus(ErrorCode::kPeerRefused,
                    "configuration message is malformed");
}

}  // namespace limpetlink
