#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <string>

#include "base/base.h"

namespace limpetlink {
namespace {

std::string ReadPage() {
  std::ifstream file(LIMPETLINK_SOURCE_DIR "/docs/errors.md");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST_CASE("error page, every code, has a row with its status and title") {
  const std::string page = ReadPage();
  REQUIRE_FALSE(page.empty());
  for (int i = 0; i <= static_cast<int>(ErrorCode::kPeerRefused); ++i) {
    const ErrorInfo& info = Describe(static_cast<ErrorCode>(i));
    const std::string row = "| `" + std::string(info.name) + "` | " +
                            std::to_string(info.http_status) + " | " +
                            std::string(info.title) + " |";
    INFO(row);
    CHECK(page.find(row) != std::string::npos);
  }
}

}  // namespace
}  // namespace limpetlink
