#include "gateway/detail/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace limpetlink {
namespace {

constexpr std::string_view kIdField = "id:";

/// @brief Finds the first blank line at or after a position.
/// @return the position after it, or npos
std::size_t EndOfEvent(std::string_view text, std::size_t from) {
  const std::size_t plain = text.find("\n\n", from);
  const std::size_t crlf = text.find("\r\n\r\n", from);
  const std::size_t plain_end = plain == text.npos ? text.npos : plain + 2;
  const std::size_t crlf_end = crlf == text.npos ? text.npos : crlf + 4;
  return std::min(plain_end, crlf_end);
}

}  // namespace

bool EventSplitter::CheckIds(std::string_view event) {
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
      continue;  // only numeric ids are ordered
    }
    if (this->last_id.has_value() && id <= *this->last_id) {
      return false;
    }
    this->last_id = id;
  }
  return true;
}

void EventSplitter::DropPartial() {
  this->pending.clear();
  this->scanned = 0;
}

SplitEvents EventSplitter::Push(std::string_view bytes) {
  SplitEvents split;
  this->pending.append(bytes);
  std::size_t begin = 0;
  std::size_t end = EndOfEvent(this->pending, this->scanned);
  while (end != std::string::npos) {
    const std::string_view text = this->pending;
    const std::string_view event = text.substr(begin, end - begin);
    if (!this->CheckIds(event)) {
      split.in_order = false;
      break;
    }
    ++split.count;
    begin = end;
    end = EndOfEvent(this->pending, begin);
  }
  split.complete = this->pending.substr(0, begin);
  this->pending.erase(0, begin);
  constexpr std::size_t kMaxPartialEnd = 3;  // "\r\n\r" of a blank line
  this->scanned =
      this->pending.size() - std::min(this->pending.size(), kMaxPartialEnd);
  split.in_order = split.in_order && this->pending.size() <= kMaxEventBytes;
  return split;
}

}  // namespace limpetlink
