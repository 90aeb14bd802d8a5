/// @file
/// @brief Resume tokens: with one, any entry host takes a stream up.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/base.h"

namespace limpetlink {

/// @brief Where a caller stands in a generation.
struct ResumeToken {
  UpstreamId worker;
  GenerationId generation;
  std::uint64_t offset = 0;         ///< tokens that the caller has
  std::uint64_t fleet_version = 0;  ///< of the fleet document at placement
  std::string route;                ///< the route's name
};

/// @brief Makes the tokens of one generation; the MAC is computed once.
/// @note The MAC binds organisation, worker, generation, fleet version and
/// route, and leaves the offset out: a holder may read its own generation
/// again from anywhere, and no other. Each token then costs one copy.
/// @note Example:
/// @code
/// ResumeTokenMinter minter(secret, organisation, token);
/// minter.At(offset + 1);  // id of the event that carries token `offset`
/// @endcode
class ResumeTokenMinter {
 public:
  /// @param secret equal on all entry hosts
  /// @param organisation whose callers may use the tokens
  /// @param token the generation; its offset is not used
  ResumeTokenMinter(std::string_view secret, const OrganisationId& organisation,
                    const ResumeToken& token);

  /// @param offset tokens that the caller has once it sees the text
  /// @return text fit for an SSE id and a header. Linear in its length.
  std::string At(std::uint64_t offset) const;

 private:
  std::string prefix;
};

/// @brief Makes one token's text; see ResumeTokenMinter for many.
std::string MintResumeToken(std::string_view secret,
                            const OrganisationId& organisation,
                            const ResumeToken& token);

/// @brief Reads a token that a caller brought back.
/// @param secret equal on all entry hosts
/// @param organisation of the caller that brings it
/// @param text as minted; bounded in length
/// @return the token, or an error with streams.102: malformed, forged, or of
/// another organisation
absl::StatusOr<ResumeToken> ParseResumeToken(std::string_view secret,
                                             const OrganisationId& organisation,
                                             std::string_view text);

}  // namespace limpetlink
