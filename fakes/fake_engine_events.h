/// @file
/// @brief Server-sent events of an engine's stream.
#pragma once

#include <cstdint>
#include <string>

namespace limpetlink {

/// @brief Returns the text of the token at an offset. It depends only on the
/// arguments, so that a reader can verify that a stream is complete, in order
/// and of one generation.
std::string TokenText(const std::string& generation, std::uint64_t offset);

/// @return the server-sent event of one token
std::string TokenEvent(const std::string& generation, std::uint64_t offset);

/// @return the server-sent event that ends a generation
std::string EndEvent(const std::string& generation, std::uint64_t tokens,
                     const std::string& finish_reason);

}  // namespace limpetlink
