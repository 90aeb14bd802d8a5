#include <algorithm>
#include <nlohmann/json.hpp>

#include "configuration/configuration.h"
#include "decoding/decoding.h"

namespace limpetlink {
namespace {

using Json = nlohmann::json;

/// Encoded size of the two lengths, in bytes.
constexpr std::size_t kSpliceOverhead = 20;

std::string Dump(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::size_t CommonPrefix(std::string_view a, std::string_view b) {
  const std::size_t limit = std::min(a.size(), b.size());
  const auto end = a.begin() + static_cast<std::ptrdiff_t>(limit);
  return static_cast<std::size_t>(
      std::mismatch(a.begin(), end, b.begin()).first - a.begin());
}

std::size_t CommonSuffix(std::string_view a, std::string_view b,
                         std::size_t limit) {
  std::size_t size = 0;
  while (size < limit && a[a.size() - 1 - size] == b[b.size() - 1 - size]) {
    ++size;
  }
  return size;
}

DocumentDelta MakeSplice(std::string_view old_text, std::string_view new_text) {
  const std::size_t shorter = std::min(old_text.size(), new_text.size());
  const std::size_t prefix = CommonPrefix(old_text, new_text);
  const std::size_t suffix = CommonSuffix(old_text, new_text, shorter - prefix);
  DocumentDelta delta;
  delta.form = DeltaForm::kSplice;
  delta.prefix_bytes = prefix;
  delta.suffix_bytes = suffix;
  delta.bytes =
      std::string(new_text.substr(prefix, new_text.size() - prefix - suffix));
  return delta;
}

absl::Status DeltaMismatch() {
  return MakeStatus(ErrorCode::kFleetMalformed,
                    "delta does not match its base");
}

absl::StatusOr<std::string> ApplyPatch(const std::string& patch,
                                       std::string_view base_text) {
  const Json base = DecodeJsonOrDiscard(base_text);
  const Json operations = DecodeJsonOrDiscard(patch);
  if (base.is_discarded() || operations.is_discarded()) {
    return DeltaMismatch();
  }
  // The library reports a mismatched patch only by an exception.
  try {
    return Dump(base.patch(operations));
  } catch (const Json::exception&) {
    return DeltaMismatch();
  }
}

absl::StatusOr<std::string> ApplySplice(const DocumentDelta& delta,
                                        std::string_view base_text) {
  const bool fits = delta.prefix_bytes <= base_text.size() &&
                    delta.suffix_bytes <= base_text.size() - delta.prefix_bytes;
  if (!fits) {
    return DeltaMismatch();
  }
  std::string text(base_text.substr(0, delta.prefix_bytes));
  text += delta.bytes;
  text += base_text.substr(base_text.size() - delta.suffix_bytes);
  return text;
}

}  // namespace

absl::StatusOr<std::string> CanonicalText(std::string_view json) {
  const Json value = DecodeJsonOrDiscard(json);
  if (!value.is_object()) {
    return MakeStatus(ErrorCode::kFleetMalformed, "not a JSON object");
  }
  return Dump(value);
}

DocumentDelta MakeDelta(std::uint64_t from, std::string_view old_text,
                        std::uint64_t to, std::string_view new_text) {
  DocumentDelta delta = MakeSplice(old_text, new_text);
  std::string patch = DifferenceAsPatch(old_text, new_text);
  if (patch.size() < delta.bytes.size() + kSpliceOverhead) {
    delta = DocumentDelta{};
    delta.form = DeltaForm::kPatch;
    delta.bytes = std::move(patch);
  }
  if (delta.bytes.size() + kSpliceOverhead >= new_text.size()) {
    delta = DocumentDelta{};
    delta.form = DeltaForm::kFull;
    delta.bytes = std::string(new_text);
  }
  delta.from = delta.form == DeltaForm::kFull ? 0 : from;
  delta.to = to;
  delta.digest = StableHash(new_text);
  return delta;
}

absl::StatusOr<std::string> ApplyDelta(const DocumentDelta& delta,
                                       std::string_view base_text) {
  absl::StatusOr<std::string> text = delta.bytes;
  if (delta.form == DeltaForm::kPatch) {
    text = ApplyPatch(delta.bytes, base_text);
  } else if (delta.form == DeltaForm::kSplice) {
    text = ApplySplice(delta, base_text);
  }
  if (text.ok() && StableHash(*text) != delta.digest) {
    return DeltaMismatch();
  }
  return text;
}

std::string DifferenceAsPatch(std::string_view from_json,
                              std::string_view to_json) {
  const Json from = DecodeJsonOrDiscard(from_json);
  const Json to = DecodeJsonOrDiscard(to_json);
  if (from.is_discarded() || to.is_discarded()) {
    return "[]";
  }
  return Dump(Json::diff(from, to));
}

}  // namespace limpetlink
