/// @file
/// @brief Server-sent events: an incremental decoder with bounds, and an
/// encoder.
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
  std::string id;     ///< the last id seen, as the standard has it; or empty
  std::string event;  ///< the event's name; empty stands for "message"
  std::string data;   ///< lines joined by '\n'
};

/// @brief Bounds of what a decoder keeps.
struct SseLimits {
  std::size_t max_line_bytes = 65536;
  std::size_t max_event_bytes = 262144;
};

/// @brief Turns bytes, cut anywhere, into events.
/// @note Example:
/// @code
/// SseDecoder decoder(SseLimits{});
/// auto events = decoder.Feed("data: a\n\n");  // one event with data "a"
/// @endcode
class SseDecoder {
 public:
  /// @param limits longest line and event that are kept
  explicit SseDecoder(SseLimits limits = {});

  /// @brief Takes the next bytes in.
  /// @param bytes any part of the stream
  /// @return the events that these bytes completed; an error with
  /// upstream.104 once a line or an event passes its bound, and from then on
  /// @note Complexity: linear in the bytes.
  absl::StatusOr<std::vector<SseEvent>> Feed(std::string_view bytes);

  /// @return comment lines seen; they show that the sender is alive
  std::uint64_t CommentCount() const { return this->comment_count; }

 private:
  absl::Status TakeLine(std::vector<SseEvent>& events);
  absl::Status TakeField(std::string_view name, std::string_view value);
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

/// @brief Renders an event with its closing blank line.
/// @param event line breaks in id and name are left out; data may hold any
/// @return bytes for the wire
/// @note Example: `EncodeSse({"7", "", "a"})` gives "id: 7\ndata: a\n\n".
std::string EncodeSse(const SseEvent& event);

/// @brief Renders a comment, which callers ignore.
/// @param text line breaks become blanks
/// @return bytes for the wire
std::string EncodeSseComment(std::string_view text);

}  // namespace limpetlink
