#include "metadata_store/detail/encode.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "decoding/decoding.h"
#include "metadata_store/detail/dialect.h"

namespace limpetlink {
namespace {

constexpr std::uint64_t kMaxRetryAfterSeconds = 3600;

using Json = nlohmann::json;

bool IsUnreserved(char c) {
  const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool digit = c >= '0' && c <= '9';
  return letter || digit || c == '-' || c == '.' || c == '_' || c == '~';
}

std::optional<std::uint64_t> ReadNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return value;
}

std::string ReadText(const Json& row, const char* member) {
  const auto found = row.find(member);
  const bool is_text = found != row.end() && found->is_string();
  return is_text ? found->get<std::string>() : std::string();
}

/// @brief Returns the array of rows in a response; nullptr when malformed.
const Json* FindRows(const Json& document, const char* member) {
  if (!document.is_object()) {
    return nullptr;
  }
  const auto found = document.find(member);
  const bool is_array = found != document.end() && found->is_array();
  return is_array ? &*found : nullptr;
}

}  // namespace

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  encoded.reserve(text.size());
  for (const char c : text) {
    if (IsUnreserved(c)) {
      encoded.push_back(c);
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded.push_back('%');
    encoded.push_back(kDigits[byte >> 4U]);
    encoded.push_back(kDigits[byte & 0x0FU]);
  }
  return encoded;
}

std::string ObjectPath(const ObjectKey& key) {
  return "/v1/objects/" + PercentEncode(key.kind) + "/" +
         PercentEncode(key.name);
}

void AddCondition(const WriteCondition& condition, Headers* headers) {
  switch (condition.kind) {
    case WriteConditionKind::kAlways:
      return;
    case WriteConditionKind::kAbsent:
      headers->push_back({"If-None-Match", "*"});
      return;
    case WriteConditionKind::kVersion:
      headers->push_back(
          {"If-Match", "\"" + std::to_string(condition.version) + "\""});
      return;
  }
}

std::optional<std::uint64_t> ReadVersion(const Headers& headers) {
  const std::string* tag = FindHeader(headers, "ETag");
  if (tag == nullptr || tag->size() < 3 || tag->front() != '"' ||
      tag->back() != '"') {
    return std::nullopt;
  }
  const std::string digits = tag->substr(1, tag->size() - 2);
  return ReadNumber(digits);
}

std::optional<Duration> ReadRetryAfter(const Headers& headers) {
  const std::string* text = FindHeader(headers, "Retry-After");
  if (text == nullptr) {
    return std::nullopt;
  }
  const auto seconds = ReadNumber(*text);
  if (!seconds) {
    return std::nullopt;
  }
  return std::chrono::seconds(std::min(*seconds, kMaxRetryAfterSeconds));
}

bool ReadObjects(const std::string& body, std::vector<ObjectEntry>* objects) {
  const Json document = DecodeJsonOrDiscard(body);
  const Json* rows = FindRows(document, "objects");
  if (rows == nullptr) {
    return false;
  }
  for (const Json& row : *rows) {
    const bool well_formed = row.is_object() && row.contains("version") &&
                             row["version"].is_number_unsigned();
    if (!well_formed) {
      return false;
    }
    objects->push_back(
        {ReadText(row, "name"), row["version"].get<std::uint64_t>()});
  }
  return true;
}

bool ReadHosts(const std::string& body, std::vector<ListedHost>* hosts) {
  const Json document = DecodeJsonOrDiscard(body);
  const Json* rows = FindRows(document, "hosts");
  if (rows == nullptr) {
    return false;
  }
  for (const Json& row : *rows) {
    if (!row.is_object()) {
      return false;
    }
    const auto role = ParseEnum<ListedRole>(ReadText(row, "role"));
    const std::string id = ReadText(row, "id");
    if (!role || id.empty()) {
      continue;
    }
    const bool leaving = ReadText(row, "state") == "leaving";
    hosts->push_back({id, ReadText(row, "address"), *role, leaving});
  }
  return true;
}

namespace {

std::string ObjectApiTarget(const StoreRequest& request) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(request.wait);
  switch (request.verb) {
    case StoreVerb::kHosts:
      return "/v1/hosts";
    case StoreVerb::kList:
      return "/v1/objects/" + PercentEncode(request.key.kind) +
             "?prefix=" + PercentEncode(request.key.name) +
             "&after=" + PercentEncode(request.after) +
             "&limit=" + std::to_string(request.limit);
    case StoreVerb::kWatch:
      return ObjectPath(request.key) +
             "?watch=" + std::to_string(request.version) +
             "&wait_ms=" + std::to_string(milliseconds.count());
    default:
      return ObjectPath(request.key);
  }
}

StoreStatus ReadObjectApiResponse(StoreVerb verb, StoreResponse* response,
                                  StoreResult* result) {
  const auto version = ReadVersion(response->headers);
  result->version = version.value_or(0);
  if (response->status == 404) {
    return StoreStatus::kAbsent;
  }
  if (response->status == 412) {
    return StoreStatus::kConflict;
  }
  if (response->status == 204 && verb == StoreVerb::kWatch) {
    return StoreStatus::kUnchanged;
  }
  if (response->status < 200 || response->status >= 300) {
    return StoreStatus::kRefused;
  }
  bool well_formed = true;
  if (verb == StoreVerb::kList) {
    well_formed = ReadObjects(response->body, &result->objects);
  } else if (verb == StoreVerb::kHosts) {
    well_formed = ReadHosts(response->body, &result->hosts);
  } else if (verb != StoreVerb::kDelete) {
    well_formed = version.has_value();
    result->bytes = std::move(response->body);
  }
  if (well_formed) {
    return StoreStatus::kOk;
  }
  return verb == StoreVerb::kPut ? StoreStatus::kUnknown
                                 : StoreStatus::kUnavailable;
}

}  // namespace

StoreDialect ObjectApiDialect() {
  return {ObjectApiTarget, ReadObjectApiResponse};
}

}  // namespace limpetlink
