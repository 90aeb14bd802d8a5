#include "gateway/detail/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace limpetlink {
namespace {

constexpr std::string_view kIdField = "id:";

/// @brief Finds the first blank line at or after a position.
/// @return the position behind it, or npos
std::size_t EndOfEvent(std::string_view text, std::size_t from) {
  const std::size_t plain = text.find("\n\n", from);
  const std::size_t carriage = text.find("\r\n\r\n", from);
  const std::size_t plain_end = plain == text.npos ? text.npos : plain + 2;
  const std::size_t carriage_end =
      carriage == text.npos ? text.npos : carriage + 4;
  return std::min(plain_end, carriage_end);
}

}  // namespace

bool EventSplitter::TakeId(std::string_view event) {
  std::size_t begin = 0;
  while (begin < event.size()) {
    std::size_t end = event.find('\n', begin);
    end = end == event.npos ? event.size() : end;
    std::string_view line = event.substr(begin, end - begin);
    begin = end + 1;
    if (line.substr(0, kIdField.size()) != kIdField) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    while (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const auto [stop, error] =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (error != std::errc()) {
      continue;  // an id that is no number has no order
    }
    if (this->last_id.has_value() && id <= *this->last_id) {
      return false;
    }
    this->last_id = id;
  }
  return true;
}

void EventSplitter::DropPartial() {
  this->held.clear();
  this->scanned = 0;
}

SplitEvents EventSplitter::Push(std::string_view bytes) {
  SplitEvents split;
  this->held.append(bytes);
  std::size_t begin = 0;
  std::size_t end = EndOfEvent(this->held, this->scanned);
  while (end != std::string::npos) {
    const std::string_view text = this->held;
    const std::string_view event = text.substr(begin, end - begin);
    if (!this->TakeId(event)) {
      split.in_order = false;
      break;
    }
    ++split.count;
    begin = end;
    end = EndOfEvent(this->held, begin);
  }
  split.whole = this->held.substr(0, begin);
  this->held.erase(0, begin);
  constexpr std::size_t kLongestEnd = 3;  // of a blank line that has begun
  this->scanned = this->held.size() - std::min(this->held.size(), kLongestEnd);
  split.in_order = split.in_order && this->held.size() <= kMaxEventBytes;
  return split;
}

}  // namespace limpetlink
