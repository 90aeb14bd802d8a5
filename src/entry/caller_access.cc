#include "entry/detail/caller_access.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace limpetlink {
namespace {

constexpr absl::string_view kBearer = "Bearer ";

}  // namespace

absl::StatusOr<std::string> ParseBearerKey(const Headers& headers) {
  const std::string* header = FindHeader(headers, "Authorization");
  if (header == nullptr || !absl::StartsWithIgnoreCase(*header, kBearer) ||
      header->size() == kBearer.size()) {
    return MakeStatus(ErrorCode::kRequestNoKey,
                      "send Authorization: Bearer KEY");
  }
  return header->substr(kBearer.size());
}

absl::StatusOr<const Organisation*> AuthenticateCaller(
    const FleetDocument& document, const Headers& headers) {
  const absl::StatusOr<std::string> key = ParseBearerKey(headers);
  if (!key.ok()) {
    return key.status();
  }
  const std::string digest = Sha256Hex(*key);
  const Organisation* found = nullptr;
  for (const Organisation& organisation : document.organisations) {
    for (const std::string& candidate : organisation.key_digests) {
      if (EqualInConstantTime(candidate, digest)) {
        found = &organisation;
      }
    }
  }
  if (found == nullptr) {
    return MakeStatus(ErrorCode::kRequestWrongKey,
                      "no organisation has this key");
  }
  return found;
}

bool IsOperator(std::string_view digest, const Headers& headers) {
  const absl::StatusOr<std::string> key = ParseBearerKey(headers);
  return !digest.empty() && key.ok() &&
         EqualInConstantTime(digest, Sha256Hex(*key));
}

absl::StatusOr<Duration> ParsePreferredWait(const Headers& headers,
                                            Duration default_wait,
                                            Duration max_wait) {
  const std::string* header = FindHeader(headers, "Prefer");
  if (header == nullptr) {
    return std::min(default_wait, max_wait);
  }
  for (absl::string_view preference :
       absl::StrSplit(*header, absl::ByAnyChar(",;"))) {
    preference = absl::StripAsciiWhitespace(preference);
    if (!absl::ConsumePrefix(&preference, "wait=")) {
      continue;
    }
    double seconds = 0;
    if (!absl::SimpleAtod(preference, &seconds)) {
      return MakeStatus(ErrorCode::kRequestMalformed,
                        "Prefer: wait must be a number of seconds");
    }
    if (!(seconds > 0)) {
      return MakeStatus(ErrorCode::kRequestDeadlinePast,
                        "Prefer: wait must be greater than 0");
    }
    return seconds >= ToSeconds(max_wait) ? max_wait : FromSeconds(seconds);
  }
  return std::min(default_wait, max_wait);
}

}  // namespace limpetlink
