#include "decoding/detail/decoder.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/string_view.h"

namespace limpetlink {
namespace {

using Json = nlohmann::json;

/// @brief Copies a JSON text and replaces what the parser rejects although it
/// is well-formed, or what is nested too deeply. It does not recurse.
class PartMasker {
 public:
  PartMasker(std::string_view text, std::size_t max_depth)
      : text(text), max_depth(max_depth) {
    this->masked.reserve(text.size());
  }

  /// @return the text with its unreadable parts replaced
  std::string Mask() {
    while (this->at < this->text.size()) {
      const char c = this->text[this->at];
      if (c == '"') {
        this->CopyString();
      } else if (c == '-' || (c >= '0' && c <= '9')) {
        this->CopyNumber();
      } else if (c == '[' || c == '{') {
        this->Open();
      } else {
        const bool closes = c == ']' || c == '}';
        this->depth -= closes && this->depth > 0 ? 1 : 0;
        this->masked += c;
        ++this->at;
      }
    }
    return std::move(this->masked);
  }

  /// @return why the first part was replaced; empty if none was
  const std::string& Reason() const { return this->reason; }

 private:
  void Replace(const char* why) {
    if (this->reason.empty()) {
      this->reason = why;
    }
    this->masked += "\"\\u0001";
    this->masked += kUnreadablePart.substr(1);
    this->masked += '"';
  }

  /// @return the position behind the string that begins at a quotation mark
  std::size_t EndOfString(std::size_t begin) const {
    std::size_t end = begin + 1;
    while (end < this->text.size() && this->text[end] != '"') {
      end += this->text[end] == '\\' ? 2 : 1;
    }
    return std::min(end + 1, this->text.size());
  }

  void CopyString() {
    const std::size_t end = this->EndOfString(this->at);
    const std::string_view part = this->text.substr(this->at, end - this->at);
    const auto is_ascii = [](char c) {
      return static_cast<unsigned char>(c) < 0x80U;
    };
    const bool readable =
        std::all_of(part.begin(), part.end(), is_ascii) || Json::accept(part);
    if (readable) {
      this->masked += part;
    } else {
      this->Replace("a string is not UTF-8");
    }
    this->at = end;
  }

  void CopyNumber() {
    constexpr std::string_view kNumber = "+-.0123456789Ee";
    const std::size_t end = std::min(
        this->text.find_first_not_of(kNumber, this->at), this->text.size());
    const std::string_view part = this->text.substr(this->at, end - this->at);
    double value = 0;
    const bool out_of_range =
        absl::SimpleAtod(absl::string_view(part.data(), part.size()), &value) &&
        !std::isfinite(value);
    if (out_of_range) {
      this->Replace("a number is out of range");
    } else {
      this->masked += part;
    }
    this->at = end;
  }

  void Open() {
    if (this->depth < this->max_depth) {
      ++this->depth;
      this->masked += this->text[this->at++];
      return;
    }
    std::size_t open = 0;
    do {
      const char c = this->text[this->at];
      if (c == '"') {
        this->at = this->EndOfString(this->at);
        continue;
      }
      open += c == '[' || c == '{' ? 1 : 0;
      open -= c == ']' || c == '}' ? 1 : 0;
      ++this->at;
    } while (open > 0 && this->at < this->text.size());
    this->Replace("nested too deeply");
  }

  std::string_view text;
  std::size_t max_depth;
  std::size_t at = 0;
  std::size_t depth = 0;
  std::string masked;
  std::string reason;
};

absl::StatusOr<Json> DecodeText(std::string_view text,
                                const DecodeLimits& limits, bool allow_parts) {
  if (text.size() > limits.bytes) {
    return absl::InvalidArgumentError("too long");
  }
  PartMasker masker(text, limits.depth);
  const std::string masked = masker.Mask();
  if (!allow_parts && !masker.Reason().empty()) {
    return absl::InvalidArgumentError(masker.Reason());
  }
  Json value = Json::parse(masked, nullptr, false);
  if (value.is_discarded()) {
    return absl::InvalidArgumentError("not JSON");
  }
  return value;
}

}  // namespace

absl::StatusOr<Json> DecodeJson(std::string_view text,
                                const DecodeLimits& limits) {
  return DecodeText(text, limits, false);
}

absl::StatusOr<Json> DecodeJsonParts(std::string_view text,
                                     const DecodeLimits& limits) {
  return DecodeText(text, limits, true);
}

Json DecodeJsonOrDiscard(std::string_view text, const DecodeLimits& limits) {
  return DecodeJson(text, limits).value_or(Json(Json::value_t::discarded));
}

}  // namespace limpetlink
