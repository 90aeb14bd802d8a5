/// @file
/// @brief Cuts a worker's event stream into whole events and checks their
/// order.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limpetlink {

/// @brief What came of some bytes of a stream.
struct SplitEvents {
  std::string whole;  ///< whole events, byte for byte; may be empty
  std::uint32_t count = 0;
  bool in_order = true;  ///< false: an id did not rise, nothing may follow
};

/// @brief Holds back the bytes of an event until its blank line has come, so
/// that a stream which breaks off never shows half an event.
class EventSplitter {
 public:
  /// @brief Longest event that is held back.
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

  /// @brief Takes bytes in the order of the stream.
  SplitEvents Push(std::string_view bytes);

  /// @brief Drops the begun event; the stream goes on after the last whole one.
  void DropPartial();

  /// @return bytes of an event that is not whole
  std::size_t Held() const { return this->held.size(); }

  /// @return id of the last whole event that had a number as its id
  std::optional<std::uint64_t> LastId() const { return this->last_id; }

 private:
  bool TakeId(std::string_view event);

  std::string held;
  std::size_t scanned = 0;  ///< bytes of it that hold no event's end
  std::optional<std::uint64_t> last_id;
};

}  // namespace limpetlink
