#include "entry/detail/service_request.h"

#include "absl/strings/match.h"
#include "absl/strings/str_split.h"

namespace limpetlink {
namespace {

constexpr std::string_view kServicePrefix = "/v1/services/";

bool HasDotSegment(std::string_view path) {
  for (const absl::string_view segment :
       absl::StrSplit(absl::string_view(path.data(), path.size()), '/')) {
    if (segment == "." || segment == "..") {
      return true;
    }
  }
  return false;
}

bool HasControlByte(std::string_view path) {
  for (const char c : path) {
    if (static_cast<unsigned char>(c) < 0x20 || c == '\x7f' || c == '\\') {
      return true;
    }
  }
  return false;
}

}  // namespace

absl::StatusOr<ServicePath> ParseServicePath(std::string_view path) {
  if (path.substr(0, kServicePrefix.size()) != kServicePrefix) {
    return MakeStatus(ErrorCode::kRequestUnknownRoute, path);
  }
  if (HasDotSegment(path) || HasControlByte(path)) {
    return MakeStatus(
        ErrorCode::kRequestMalformed,
        "the path must not hold dot segments, backslashes or control bytes");
  }
  const std::string_view below = path.substr(kServicePrefix.size());
  const std::size_t slash = below.find('/');
  ServicePath parts;
  parts.service = std::string(below.substr(0, slash));
  parts.rest =
      slash == std::string_view::npos ? "/" : std::string(below.substr(slash));
  if (parts.service.empty()) {
    return MakeStatus(ErrorCode::kRequestUnknownService,
                      "the path must name a service");
  }
  return parts;
}

std::string EncodePath(std::string_view path) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  constexpr std::string_view kUnescaped = "/-._~!$&'()*+,;=:@";
  std::string text;
  for (const char c : path) {
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    if (letter || digit || kUnescaped.find(c) != std::string_view::npos) {
      text.push_back(c);
    } else {
      const auto byte = static_cast<unsigned char>(c);
      text.push_back('%');
      text.push_back(kDigits[byte >> 4U]);
      text.push_back(kDigits[byte & 0x0FU]);
    }
  }
  return text;
}

}  // namespace limpetlink
