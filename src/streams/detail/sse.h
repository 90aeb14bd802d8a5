/// @file
/// @brief Incremental decoder with size limits, and encoder, of server-sent
/// events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace limpetlink {

/// @brief One server-sent event.
struct SseEvent {
  std::string id;     ///< last id received, as in the standard; may be empty
  std::string event;  ///< event type; empty denotes "message"
  std::string data;   ///< lines joined by '\n'
};

/// @brief Limits of the memory that a decoder uses.
struct SseLimits {
  std::size_t max_line_bytes = 65536;
  std::size_t max_event_bytes = 262144;
};

/// @brief Decodes a byte stream, split at any position, into events.
/// @note Example:
/// @code
/// SseDecoder decoder(SseLimits{});
/// auto events = decoder.Feed("data: a\n\n");  // one event with data "a"
/// @endcode
class SseDecoder {
 public:
  /// @param limits maximum size of a line and of an event
  explicit SseDecoder(SseLimits limits = {});

  /// @brief Decodes the next bytes.
  /// @param bytes the next part of the stream, of any size
  /// @return the events that these bytes complete; error upstream.104 once a
  /// line or an event exceeds its limit, and on every later call
  /// @note Complexity: linear in the bytes.
  absl::StatusOr<std::vector<SseEvent>> Feed(std::string_view bytes);

  /// @return comment lines received; they show that the sender is alive
  std::uint64_t CommentCount() const { return this->comment_count; }

 private:
  absl::Status ProcessLine(std::vector<SseEvent>& events);
  absl::Status ProcessField(std::string_view name, std::string_view value);
  void Dispatch(std::vector<SseEvent>& events);

  SseLimits limits;
  std::string line;
  SseEvent current;
  bool has_data = false;
  bool after_carriage_return = false;
  bool at_start = true;
  std::uint64_t comment_count = 0;
  absl::Status failure;
};

/// @brief Encodes an event, including the terminating blank line.
/// @param event line breaks in its id and type are removed; its data may
/// contain line breaks
/// @return the encoded bytes
/// @note Example: `EncodeSse({"7", "", "a"})` gives "id: 7\ndata: a\n\n".
std::string EncodeSse(const SseEvent& event);

/// @brief Encodes a comment, which callers ignore.
/// @param text line breaks are replaced by spaces
/// @return the encoded bytes
std::string EncodeSseComment(std::string_view text);

}  // namespace limpetlink
