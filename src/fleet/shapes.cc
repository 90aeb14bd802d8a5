#include "fleet/detail/shapes.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace limpetlink {
namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxSingleLineBytes = 128;
constexpr std::size_t kMaxPathBytes = 256;
constexpr std::size_t kMaxMethodBytes = 16;
constexpr std::size_t kDigestDigits = 64;

bool IsLetterOrDigit(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9');
}

bool IsVisible(char c) { return c > ' ' && c < '\x7f'; }

template <typename Predicate>
bool AllOf(std::string_view text, Predicate predicate) {
  return std::all_of(text.begin(), text.end(), predicate);
}

bool IsPort(std::string_view text) {
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, port);
  return result.ec == std::errc() && result.ptr == end && port != 0;
}

bool IsIpAddress(std::string_view text) {
  unsigned char bytes[sizeof(in6_addr)];
  const bool bracketed =
      text.size() > 2 && text.front() == '[' && text.back() == ']';
  if (bracketed) {
    const std::string inner(text.substr(1, text.size() - 2));
    return inet_pton(AF_INET6, inner.c_str(), bytes) == 1;
  }
  const std::string address(text);
  return inet_pton(AF_INET, address.c_str(), bytes) == 1;
}

}  // namespace

bool IsName(std::string_view text) {
  const bool valid_size = !text.empty() && text.size() <= kMaxNameBytes;
  return valid_size && IsLetterOrDigit(text.front()) && AllOf(text, [](char c) {
           return IsLetterOrDigit(c) || c == '.' || c == '_' || c == '-';
         });
}

bool IsVersion(std::string_view text) {
  const bool valid_size = !text.empty() && text.size() <= kMaxSingleLineBytes;
  return valid_size && AllOf(text, [](char c) {
           return IsVisible(c) && c != '"' && c != '\\';
         });
}

bool IsSingleLine(std::string_view text) {
  const bool valid_size = !text.empty() && text.size() <= kMaxSingleLineBytes;
  return valid_size && AllOf(text, [](char c) {
           return static_cast<unsigned char>(c) >= ' ' && c != '\x7f';
         });
}

bool IsDigest(std::string_view text) {
  return text.size() == kDigestDigits && AllOf(text, [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

bool IsUpstreamUrl(std::string_view text) {
  constexpr std::string_view kScheme = "http://";
  if (text.substr(0, kScheme.size()) != kScheme) {
    return false;
  }
  const std::string_view authority = text.substr(kScheme.size());
  const std::size_t colon = authority.rfind(':');
  return colon != std::string_view::npos &&
         IsIpAddress(authority.substr(0, colon)) &&
         IsPort(authority.substr(colon + 1));
}

bool IsMethod(std::string_view text) {
  const bool valid_size = !text.empty() && text.size() <= kMaxMethodBytes;
  return text == "*" || (valid_size && AllOf(text, [](char c) {
                           return c >= 'A' && c <= 'Z';
                         }));
}

bool IsPathPrefix(std::string_view text) {
  const bool valid_size = !text.empty() && text.size() <= kMaxPathBytes;
  return valid_size && text.front() == '/' && AllOf(text, [](char c) {
           return IsVisible(c) && c != '?' && c != '#';
         });
}

}  // namespace limpetlink
