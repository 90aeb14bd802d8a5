#include "gateway/detail/end_to_end.h"

#include <algorithm>
#include <array>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"

namespace limpetlink {
namespace {

constexpr std::array<absl::string_view, 10> kHopByHopHeaders = {
    "Connection", "Keep-Alive",    "Proxy-Connection",  "Proxy-Authorization",
    "TE",         "Trailer",       "Transfer-Encoding", "Upgrade",
    "Expect",     "Content-Length"};

}  // namespace

Headers EndToEndHeaders(const Headers& headers) {
  std::vector<std::string> listed;
  for (const Header& header : headers) {
    if (!absl::EqualsIgnoreCase(header.name, "Connection")) {
      continue;
    }
    for (const absl::string_view name : absl::StrSplit(header.value, ',')) {
      listed.emplace_back(absl::StripAsciiWhitespace(name));
    }
  }
  const auto is_hop_by_hop = [&listed](const std::string& name) {
    const auto same = [&name](absl::string_view other) {
      return absl::EqualsIgnoreCase(name, other);
    };
    return std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                       same) ||
           std::any_of(listed.begin(), listed.end(), same);
  };
  Headers kept;
  for (const Header& header : headers) {
    if (!is_hop_by_hop(header.name)) {
      kept.push_back(header);
    }
  }
  return kept;
}

}  // namespace limpetlink
