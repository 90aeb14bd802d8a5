#include "requests/detail/wait_preference.h"

#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace limpetlink {
namespace {

constexpr double kMaxWaitSeconds = 1e6;

}  // namespace

std::optional<Duration> ParseWaitPreference(std::string_view prefer) {
  const absl::string_view text(prefer.data(), prefer.size());
  const std::vector<absl::string_view> items =
      absl::StrSplit(text, absl::ByAnyChar(",;"));
  for (const absl::string_view item : items) {
    const std::pair<absl::string_view, absl::string_view> parts =
        absl::StrSplit(item, absl::MaxSplits('=', 1));
    const auto name = absl::StripAsciiWhitespace(parts.first);
    if (!absl::EqualsIgnoreCase(name, "wait")) {
      continue;
    }
    const auto value = absl::StripAsciiWhitespace(parts.second);
    double seconds = 0;
    const bool number = absl::SimpleAtod(value, &seconds);
    if (!number || !(seconds >= 0) || seconds > kMaxWaitSeconds) {
      return std::nullopt;
    }
    return FromSeconds(seconds);
  }
  return std::nullopt;
}

}  // namespace limpetlink
