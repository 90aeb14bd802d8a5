#include "tests/scenario/files.h"

#include <fstream>
#include <sstream>

#include "absl/strings/str_cat.h"

namespace limpetlink::scenario {

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return absl::NotFoundError(absl::StrCat(path, ": cannot read file"));
  }
  return text.str();
}

absl::Status WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  file.close();
  if (!file) {
    return absl::UnavailableError(absl::StrCat(path, ": cannot write file"));
  }
  return absl::OkStatus();
}

}  // namespace limpetlink::scenario
