/// @file
/// @brief The events of an engine's stream.
#pragma once

#include <cstdint>
#include <string>

namespace limpetlink {

/// @brief Text of the token at an offset; follows from both arguments alone, so
/// that a reader can
///        prove that a stream is whole, in order and of one generation.
std::string TokenText(const std::string& generation, std::uint64_t offset);

/// @return the server-sent event of one token
std::string TokenEvent(const std::string& generation, std::uint64_t offset);

/// @return the server-sent event that ends a generation
std::string EndEvent(const std::string& generation, std::uint64_t tokens,
                     const std::string& finish_reason);

}  // namespace limpetlink
