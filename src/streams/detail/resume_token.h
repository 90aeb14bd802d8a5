/// @file
/// @brief Resume tokens, with which a caller can continue a stream at any entry
/// host.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/base.h"

namespace limpetlink {

/// @brief Position of a caller in a generation.
struct ResumeToken {
  UpstreamId worker;
  GenerationId generation;
  std::uint64_t offset = 0;         ///< tokens that the caller received
  std::uint64_t fleet_version = 0;  ///< fleet document version at placement
  std::string route;                ///< name of the route
};

/// @brief Creates the resume tokens of one generation.
/// @note The MAC covers organisation, worker, generation, fleet version and
/// route, but not the offset: a holder may read its own generation again from
/// any offset, and no other generation. The MAC is therefore computed only
/// once, and each token costs one copy.
/// @note Example:
/// @code
/// ResumeTokenMinter minter(secret, organisation, token);
/// minter.At(offset + 1);  // id of the event with the token at `offset`
/// @endcode
class ResumeTokenMinter {
 public:
  /// @param secret shared by all entry hosts
  /// @param organisation whose callers may use the tokens
  /// @param token fields of the tokens; the offset is ignored
  ResumeTokenMinter(std::string_view secret, const OrganisationId& organisation,
                    const ResumeToken& token);

  /// @param offset tokens that the caller has received by then
  /// @return the token, valid as an SSE id and as a header value
  /// @note Complexity: linear in the length of the token.
  std::string At(std::uint64_t offset) const;

 private:
  std::string prefix;
};

/// @brief Creates a single token; prefer ResumeTokenMinter for several.
std::string MintResumeToken(std::string_view secret,
                            const OrganisationId& organisation,
                            const ResumeToken& token);

/// @brief Verifies and parses a token sent by a caller.
/// @param secret shared by all entry hosts
/// @param organisation of the caller that sent the token
/// @param text the token, at most 1024 bytes
/// @return the token, or error streams.102 if it is malformed, forged or
/// belongs to another organisation
absl::StatusOr<ResumeToken> ParseResumeToken(std::string_view secret,
                                             const OrganisationId& organisation,
                                             std::string_view text);

}  // namespace limpetlink
