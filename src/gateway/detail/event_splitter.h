/// @file
/// @brief Splits a worker's event stream into complete events and checks their
/// order.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limpetlink {

/// @brief The events completed by some bytes of a stream.
struct SplitEvents {
  std::string complete;  ///< unchanged bytes of complete events; may be empty
  std::uint32_t count = 0;
  bool in_order = true;  ///< false: the stream must be aborted
};

/// @brief Buffers the bytes of an event until its terminating blank line, so
/// that a caller never receives part of an event when the stream is cut.
class EventSplitter {
 public:
  /// @brief Maximum size of a buffered incomplete event.
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

  /// @brief Appends the next bytes of the stream.
  /// @return the completed events; not in order if an event id didn't increase
  /// or an incomplete event exceeds kMaxEventBytes
  SplitEvents Push(std::string_view bytes);

  /// @brief Discards the incomplete event; the stream resumes after the last
  /// complete one.
  void DropPartial();

  /// @return size of the incomplete event
  std::size_t PendingBytes() const { return this->pending.size(); }

  /// @return id of the last complete event with a numeric id
  std::optional<std::uint64_t> LastId() const { return this->last_id; }

 private:
  /// @return false if a numeric id isn't greater than the one before it
  bool CheckIds(std::string_view event);

  std::string pending;
  std::size_t scanned = 0;  ///< leading bytes that contain no end of event
  std::optional<std::uint64_t> last_id;
};

}  // namespace limpetlink
