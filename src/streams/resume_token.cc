#include "streams/detail/resume_token.h"

#include <optional>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"

namespace limpetlink {
namespace {

constexpr std::string_view kVersion = "r1";
constexpr char kSeparator = '.';
constexpr std::size_t kMacDigits = 32;
constexpr std::size_t kMaxTextBytes = 1024;
constexpr std::size_t kParts = 7;  // version, worker, generation, fleet
                                   // version, route, MAC, offset

bool IsPlain(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '_' || c == '-';
}

std::string Escape(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string escaped;
  for (const char c : text) {
    if (IsPlain(c)) {
      escaped.push_back(c);
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    escaped.push_back('~');
    escaped.push_back(kDigits[byte >> 4U]);
    escaped.push_back(kDigits[byte & 0x0FU]);
  }
  return escaped;
}

std::optional<unsigned> DigitValue(char c) {
  if (c >= '0' && c <= '9') {
    return static_cast<unsigned>(c - '0');
  }
  if (c >= 'a' && c <= 'f') {
    return static_cast<unsigned>(c - 'a') + 10U;
  }
  return std::nullopt;
}

std::optional<std::string> Unescape(std::string_view text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '~') {
      plain.push_back(text[i]);
      continue;
    }
    if (i + 2 >= text.size()) {
      return std::nullopt;
    }
    const auto high = DigitValue(text[i + 1]);
    const auto low = DigitValue(text[i + 2]);
    if (!high || !low) {
      return std::nullopt;
    }
    plain.push_back(static_cast<char>(*high * 16U + *low));
    i += 2;
  }
  return plain;
}

std::string Mac(std::string_view secret, const OrganisationId& organisation,
                std::string_view body) {
  std::string message = "resume-token ";
  message.append(Escape(organisation.value)).push_back(' ');
  message.append(body);
  return HmacSha256Hex(secret, message).substr(0, kMacDigits);
}

std::vector<std::string_view> Split(std::string_view text) {
  std::vector<std::string_view> parts;
  while (true) {
    const std::size_t cut = text.find(kSeparator);
    parts.push_back(text.substr(0, cut));
    if (cut == std::string_view::npos || parts.size() > kParts) {
      return parts;
    }
    text.remove_prefix(cut + 1);
  }
}

bool ParseNumber(std::string_view text, std::uint64_t& value) {
  const bool digits =
      text.find_first_not_of("0123456789") == std::string_view::npos;
  return digits &&
         absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &value);
}

absl::Status Invalid(std::string_view detail) {
  return MakeStatus(ErrorCode::kStreamResumeInvalid, detail);
}

}  // namespace

ResumeTokenMinter::ResumeTokenMinter(std::string_view secret,
                                     const OrganisationId& organisation,
                                     const ResumeToken& token) {
  std::string body(kVersion);
  body.append(1, kSeparator).append(Escape(token.worker.value));
  body.append(1, kSeparator).append(Escape(token.generation.value));
  body.append(1, kSeparator).append(std::to_string(token.fleet_version));
  body.append(1, kSeparator).append(Escape(token.route));
  const std::string mac = Mac(secret, organisation, body);
  this->prefix = std::move(body);
  this->prefix.append(1, kSeparator).append(mac).push_back(kSeparator);
}

std::string ResumeTokenMinter::At(std::uint64_t offset) const {
  return this->prefix + std::to_string(offset);
}

std::string MintResumeToken(std::string_view secret,
                            const OrganisationId& organisation,
                            const ResumeToken& token) {
  return ResumeTokenMinter(secret, organisation, token).At(token.offset);
}

absl::StatusOr<ResumeToken> ParseResumeToken(std::string_view secret,
                                             const OrganisationId& organisation,
                                             std::string_view text) {
  if (text.size() > kMaxTextBytes) {
    return Invalid("resume token is too long");
  }
  const std::vector<std::string_view> parts = Split(text);
  if (parts.size() != kParts || parts[0] != kVersion) {
    return Invalid("resume token has an unknown format");
  }
  const std::size_t body_size =
      text.size() - parts[5].size() - parts[6].size() - 2;
  const std::string mac = Mac(secret, organisation, text.substr(0, body_size));
  if (!EqualInConstantTime(mac, parts[5])) {
    return Invalid("resume token signature is not valid for this organisation");
  }
  const auto worker = Unescape(parts[1]);
  const auto generation = Unescape(parts[2]);
  const auto route = Unescape(parts[4]);
  ResumeToken token;
  if (!worker || !generation || !route ||
      !ParseNumber(parts[3], token.fleet_version) ||
      !ParseNumber(parts[6], token.offset)) {
    return Invalid("resume token has a malformed field");
  }
  token.worker = UpstreamId{*worker};
  token.generation = GenerationId{*generation};
  token.route = *route;
  return token;
}

}  // namespace limpetlink
