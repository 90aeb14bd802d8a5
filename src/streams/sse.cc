#include "streams/detail/sse.h"

#include <utility>

#include "base/base.h"

namespace limpetlink {
namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

std::string WithoutLineBreaks(std::string_view text) {
  std::string clean;
  clean.reserve(text.size());
  for (const char c : text) {
    if (c != '\n' && c != '\r' && c != '\0') {
      clean.push_back(c);
    }
  }
  return clean;
}

}  // namespace

SseDecoder::SseDecoder(SseLimits limits) : limits(limits) {}

absl::StatusOr<std::vector<SseEvent>> SseDecoder::Feed(std::string_view bytes) {
  std::vector<SseEvent> events;
  for (const char c : bytes) {
    if (!this->failure.ok()) {
      return this->failure;
    }
    const bool second_of_pair = this->after_carriage_return && c == '\n';
    this->after_carriage_return = c == '\r';
    if (second_of_pair) {
      continue;
    }
    if (c == '\n' || c == '\r') {
      this->failure = this->ProcessLine(events);
      continue;
    }
    if (this->line.size() >= this->limits.max_line_bytes) {
      this->failure = MakeStatus(ErrorCode::kUpstreamMalformed,
                                 "event line exceeds its size limit");
      continue;
    }
    this->line.push_back(c);
  }
  if (!this->failure.ok()) {
    return this->failure;
  }
  return events;
}

absl::Status SseDecoder::ProcessLine(std::vector<SseEvent>& events) {
  std::string_view text = this->line;
  if (this->at_start && text.substr(0, 3) == kByteOrderMark) {
    text.remove_prefix(kByteOrderMark.size());
  }
  this->at_start = false;
  absl::Status status;
  if (text.empty()) {
    this->Dispatch(events);
  } else if (text.front() == ':') {
    ++this->comment_count;
  } else {
    const std::size_t colon = text.find(':');
    std::string_view value;
    if (colon != std::string_view::npos) {
      value = text.substr(colon + 1);
    }
    if (!value.empty() && value.front() == ' ') {
      value.remove_prefix(1);
    }
    status = this->ProcessField(text.substr(0, colon), value);
  }
  this->line.clear();
  return status;
}

absl::Status SseDecoder::ProcessField(std::string_view name,
                                      std::string_view value) {
  if (name == "data") {
    if (this->current.data.size() + value.size() >
        this->limits.max_event_bytes) {
      return MakeStatus(ErrorCode::kUpstreamMalformed,
                        "event data exceeds its size limit");
    }
    if (this->has_data) {
      this->current.data.push_back('\n');
    }
    this->current.data.append(value);
    this->has_data = true;
  } else if (name == "event") {
    this->current.event = std::string(value);
  } else if (name == "id" && value.find('\0') == std::string_view::npos) {
    this->current.id = std::string(value);
  }
  return absl::OkStatus();
}

void SseDecoder::Dispatch(std::vector<SseEvent>& events) {
  if (this->has_data) {
    events.push_back(
        {this->current.id, this->current.event, std::move(this->current.data)});
  }
  this->current.event.clear();
  this->current.data.clear();
  this->has_data = false;
}

std::string EncodeSse(const SseEvent& event) {
  std::string bytes;
  bytes.reserve(event.id.size() + event.event.size() + event.data.size() + 32);
  if (!event.id.empty()) {
    bytes.append("id: ").append(WithoutLineBreaks(event.id)).push_back('\n');
  }
  if (!event.event.empty()) {
    bytes.append("event: ")
        .append(WithoutLineBreaks(event.event))
        .push_back('\n');
  }
  std::string_view rest = event.data;
  for (bool more = true; more;) {
    const std::size_t cut = rest.find_first_of("\r\n");
    more = cut != std::string_view::npos;
    bytes.append("data: ").append(rest.substr(0, cut)).push_back('\n');
    if (more) {
      const bool pair = rest.substr(cut, 2) == "\r\n";
      rest.remove_prefix(cut + (pair ? 2 : 1));
    }
  }
  bytes.push_back('\n');
  return bytes;
}

std::string EncodeSseComment(std::string_view text) {
  std::string bytes = ": ";
  for (const char c : text) {
    bytes.push_back(c == '\n' || c == '\r' ? ' ' : c);
  }
  bytes.append("\n\n");
  return bytes;
}

}  // namespace limpetlink
