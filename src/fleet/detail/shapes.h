/// @file
/// @brief Formats of the strings in a fleet document.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace limpetlink {

/// @brief Inclusive range of the number of elements in a list.
struct CountRange {
  std::size_t min = 0;
  std::size_t max = 0;
};

/// @brief A predicate for strings and its human-readable description.
struct StringFormat {
  bool (*matches)(std::string_view text);
  std::string_view rule;  ///< completes "must be ..." in an error message
};

/// @brief Returns whether a string has 1 to 64 letters, digits, '.', '_' or '-'
/// and starts with a letter or a digit.
bool IsName(std::string_view text);

/// @brief Returns whether a string has 1 to 128 printable ASCII characters,
/// none of them a blank, a double quote or a backslash.
bool IsVersion(std::string_view text);

/// @brief Returns whether a string has 1 to 128 bytes and no control
/// characters.
bool IsSingleLine(std::string_view text);

/// @brief Returns whether a string is 64 lower-case hexadecimal digits.
bool IsDigest(std::string_view text);

/// @brief Returns whether a string is "http://IP:PORT" with an IPv4 address or
/// an IPv6 address in brackets, and nothing after the port.
bool IsUpstreamUrl(std::string_view text);

/// @brief Returns whether a string is an upper-case HTTP method or "*".
bool IsMethod(std::string_view text);

/// @brief Returns whether a string is a path that starts with '/' and has up to
/// 256 printable ASCII characters, none of them a blank, '?' or '#'.
bool IsPathPrefix(std::string_view text);

inline constexpr StringFormat kNameFormat{
    IsName,
    "1 to 64 of letters, digits, '.', '_' "
    "and '-', the first a letter or digit"};
inline constexpr StringFormat kVersionFormat{
    IsVersion, "1 to 128 printable characters without blanks and quotes"};
inline constexpr StringFormat kSingleLineFormat{
    IsSingleLine, "1 to 128 bytes without control characters"};
inline constexpr StringFormat kDigestFormat{
    IsDigest, "a SHA-256 digest: 64 lower-case hexadecimal digits"};
inline constexpr StringFormat kUrlFormat{
    IsUpstreamUrl, "\"http://IP:PORT\" with nothing after the port"};
inline constexpr StringFormat kMethodFormat{
    IsMethod, "an upper-case HTTP method or \"*\""};
inline constexpr StringFormat kPathPrefixFormat{
    IsPathPrefix, "a path that begins with '/', without '?' and '#'"};

}  // namespace limpetlink
