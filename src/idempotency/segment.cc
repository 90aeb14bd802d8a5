#include "idempotency/detail/segment.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace limpetlink {
namespace {

using Json = nlohmann::json;

constexpr int kFormatVersion = 1;
constexpr std::size_t kDigestDigits = 32;

Json ToJson(const StoredOutcome& outcome) {
  Json headers = Json::array();
  for (const StoredHeader& header : outcome.headers) {
    headers.push_back({header.name, header.value});
  }
  const std::vector<std::uint8_t> body(outcome.body.begin(),
                                       outcome.body.end());
  return {{"s", outcome.status},
          {"h", std::move(headers)},
          {"b", Json::binary(body)},
          {"k", outcome.body_stored}};
}

StoredOutcome ParseOutcome(const Json& json) {
  StoredOutcome outcome;
  outcome.status = json.at("s").get<int>();
  for (const Json& header : json.at("h")) {
    outcome.headers.push_back(
        {header.at(0).get<std::string>(), header.at(1).get<std::string>()});
  }
  const auto& body = json.at("b").get_binary();
  outcome.body.assign(body.begin(), body.end());
  outcome.body_stored = json.at("k").get<bool>();
  return outcome;
}

struct RecordToJson {
  Json operator()(const IntentRecord& record) const {
    return {{"t", "i"},
            {"k", record.key.value},
            {"c", record.claim.value},
            {"d", record.body_digest},
            {"a", record.at_ms},
            {"r", record.replaces.value}};
  }
  Json operator()(const OutcomeRecord& record) const {
    return {{"t", "o"},
            {"k", record.key.value},
            {"c", record.claim.value},
            {"a", record.at_ms},
            {"o", ToJson(record.outcome)}};
  }
  Json operator()(const WithdrawRecord& record) const {
    return {{"t", "w"},
            {"k", record.key.value},
            {"c", record.claim.value},
            {"a", record.at_ms}};
  }
};

std::optional<LogRecord> ParseRecord(const Json& json) {
  const auto kind = json.at("t").get<std::string>();
  const KeyDigest key{json.at("k").get<std::string>()};
  const ClaimId claim{json.at("c").get<std::string>()};
  const auto at_ms = json.at("a").get<std::int64_t>();
  if (kind == "i") {
    return IntentRecord{key, claim, json.at("d").get<std::string>(), at_ms,
                        ClaimId{json.at("r").get<std::string>()}};
  }
  if (kind == "o") {
    return OutcomeRecord{key, claim, at_ms, ParseOutcome(json.at("o"))};
  }
  if (kind == "w") {
    return WithdrawRecord{key, claim, at_ms};
  }
  return std::nullopt;
}

Json ToJson(const Checkpoint& checkpoint) {
  Json parts = Json::array();
  for (const CheckpointPart& part : checkpoint.parts) {
    parts.push_back({part.name, part.newest_ms, part.sealed});
  }
  return {{"parts", std::move(parts)}, {"cutoff", checkpoint.cutoff_ms}};
}

Checkpoint ParseCheckpoint(const Json& json) {
  Checkpoint checkpoint;
  for (const Json& part : json.at("parts")) {
    checkpoint.parts.push_back({part.at(0).get<std::string>(),
                                part.at(1).get<std::int64_t>(),
                                part.at(2).get<bool>()});
  }
  checkpoint.cutoff_ms = json.at("cutoff").get<std::int64_t>();
  return checkpoint;
}

std::string ToCbor(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

absl::Status UnreadableObject() {
  return MakeStatus(ErrorCode::kPlatformUnavailable,
                    "an object of the idempotency log is malformed");
}

/// Parses a CBOR value. The JSON library reports malformed input with
/// exceptions, which are caught here.
template <typename Value, typename Parse>
absl::StatusOr<Value> FromCbor(std::string_view bytes, Parse parse) {
  try {
    const Json json = Json::from_cbor(bytes.begin(), bytes.end());
    if (json.at("v").get<int>() != kFormatVersion) {
      return UnreadableObject();
    }
    return parse(json);
  } catch (const Json::exception&) {
    return UnreadableObject();
  }
}

std::optional<KeyedEntry> ParseEntry(const Json& json) {
  KeyedEntry keyed;
  keyed.key = KeyDigest{json.at("k").get<std::string>()};
  keyed.entry.claim = ClaimId{json.at("c").get<std::string>()};
  keyed.entry.body_digest = json.at("d").get<std::string>();
  keyed.entry.at_ms = json.at("a").get<std::int64_t>();
  const auto state = ParseEnum<KeyState>(json.at("s").get<std::string>());
  if (!state) {
    return std::nullopt;
  }
  keyed.entry.state = *state;
  if (keyed.entry.state == KeyState::kDone) {
    keyed.entry.outcome = ParseOutcome(json.at("o"));
  }
  return keyed;
}

}  // namespace

KeyDigest DigestKey(const OrganisationId& organisation, std::string_view key) {
  std::string text = std::to_string(organisation.value.size());
  text.append(":").append(organisation.value).append(key);
  return KeyDigest{Sha256Hex(text).substr(0, kDigestDigits)};
}

std::string EncodeSegment(const Segment& segment) {
  Json records = Json::array();
  for (const LogRecord& record : segment.records) {
    records.push_back(std::visit(RecordToJson{}, record));
  }
  Json json = {{"v", kFormatVersion},
               {"n", segment.nonce},
               {"p", segment.checkpoint_sequence},
               {"r", std::move(records)}};
  if (segment.is_checkpoint) {
    json["checkpoint"] = ToJson(segment.checkpoint);
  }
  return ToCbor(json);
}

absl::StatusOr<Segment> DecodeSegment(std::string_view bytes) {
  return FromCbor<Segment>(bytes, [](const Json& json) {
    absl::StatusOr<Segment> result = Segment();
    Segment& segment = *result;
    segment.nonce = json.at("n").get<std::string>();
    segment.checkpoint_sequence = json.at("p").get<std::uint64_t>();
    for (const Json& record : json.at("r")) {
      std::optional<LogRecord> parsed = ParseRecord(record);
      if (!parsed) {
        return absl::StatusOr<Segment>(UnreadableObject());
      }
      segment.records.push_back(*std::move(parsed));
    }
    segment.is_checkpoint = json.contains("checkpoint");
    if (segment.is_checkpoint) {
      segment.checkpoint = ParseCheckpoint(json.at("checkpoint"));
    }
    return result;
  });
}

std::string EncodePart(const std::vector<KeyedEntry>& entries) {
  Json list = Json::array();
  for (const auto& [key, entry] : entries) {
    Json json = {{"k", key.value},
                 {"c", entry.claim.value},
                 {"d", entry.body_digest},
                 {"a", entry.at_ms},
                 {"s", ToText(entry.state)}};
    if (entry.state == KeyState::kDone) {
      json["o"] = ToJson(entry.outcome);
    }
    list.push_back(std::move(json));
  }
  return ToCbor({{"v", kFormatVersion}, {"e", std::move(list)}});
}

absl::StatusOr<std::vector<KeyedEntry>> DecodePart(std::string_view bytes) {
  using Result = absl::StatusOr<std::vector<KeyedEntry>>;
  return FromCbor<std::vector<KeyedEntry>>(bytes, [](const Json& json) {
    Result entries = std::vector<KeyedEntry>();
    for (const Json& entry : json.at("e")) {
      std::optional<KeyedEntry> parsed = ParseEntry(entry);
      if (!parsed) {
        return Result(UnreadableObject());
      }
      entries->push_back(*std::move(parsed));
    }
    return entries;
  });
}

}  // namespace limpetlink
