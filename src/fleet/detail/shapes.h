/// @file
/// @brief Shapes of the texts in a fleet document.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace limpetlink {

/// @brief How many elements a list may have, ends included.
struct CountRange {
  std::size_t least = 0;
  std::size_t most = 0;
};

/// @brief A rule for texts and its wording for a person.
struct TextShape {
  bool (*fits)(std::string_view text);
  std::string_view rule;  ///< ends the sentence "must be ..."
};

/// @brief Whether a text is 1 to 64 of letters, digits, '.', '_' and '-', and
/// begins with a letter or a digit.
bool IsName(std::string_view text);

/// @brief Whether a text is 1 to 128 printable ASCII characters without
/// blanks, quotes and backslashes.
bool IsVersion(std::string_view text);

/// @brief Whether a text is 1 to 128 bytes without control characters.
bool IsLine(std::string_view text);

/// @brief Whether a text is 64 lower-case hexadecimal digits.
bool IsDigest(std::string_view text);

/// @brief Whether a text is "http://IP:PORT" with an IPv4 address or an IPv6
/// address in brackets, and nothing after the port.
bool IsUpstreamUrl(std::string_view text);

/// @brief Whether a text is an upper-case HTTP method or "*".
bool IsMethod(std::string_view text);

/// @brief Whether a text is a path that begins with '/', up to 256 printable
/// ASCII characters without blanks, '?' and '#'.
bool IsPathPrefix(std::string_view text);

inline constexpr TextShape kNameShape{IsName,
                                      "1 to 64 of letters, digits, '.', '_' "
                                      "and '-', the first a letter or digit"};
inline constexpr TextShape kVersionShape{
    IsVersion, "1 to 128 printable characters without blanks and quotes"};
inline constexpr TextShape kLineShape{
    IsLine, "1 to 128 bytes without control characters"};
inline constexpr TextShape kDigestShape{
    IsDigest, "a SHA-256 digest: 64 lower-case hexadecimal digits"};
inline constexpr TextShape kUrlShape{
    IsUpstreamUrl, "\"http://IP:PORT\" with nothing after the port"};
inline constexpr TextShape kMethodShape{IsMethod,
                                        "an upper-case HTTP method or \"*\""};
inline constexpr TextShape kPathPrefixShape{
    IsPathPrefix, "a path that begins with '/', without '?' and '#'"};

}  // namespace limpetlink
