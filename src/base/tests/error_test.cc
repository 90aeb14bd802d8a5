#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>

#include "base/base.h"

namespace limpetlink {
namespace {

TEST_CASE("error table, every code, has its own row with a unique name") {
  std::set<std::string_view> names;
  for (int i = 0; i <= static_cast<int>(ErrorCode::kPeerRefused); ++i) {
    const auto code = static_cast<ErrorCode>(i);
    const ErrorInfo& info = Describe(code);
    CHECK(info.code == code);
    CHECK(names.insert(info.name).second);
    CHECK(ParseErrorCode(info.name) == code);
  }
}

TEST_CASE("problem, with retry time, renders code, outcome and seconds") {
  const Problem problem{ErrorCode::kAdmissionQueueFull, Outcome::kNotRun,
                        "full", std::chrono::milliseconds(1500)};
  const auto body = nlohmann::json::parse(ToProblemJson(problem));
  CHECK(body["code"] == "admission.101");
  CHECK(body["outcome"] == "not_run");
  CHECK(body["status"] == 503);
  CHECK(body["retry_after"] == 1.5);
}

TEST_CASE("status, made from a code, returns code and detail") {
  const absl::Status status =
      MakeStatus(ErrorCode::kFleetConflict, "lost the race");
  CHECK(ErrorCodeOf(status) == ErrorCode::kFleetConflict);
  CHECK(status.code() == absl::StatusCode::kAborted);
  CHECK_FALSE(ErrorCodeOf(absl::OkStatus()).has_value());
  CHECK(DetailOf(status) == "lost the race");
  CHECK(RefusalOf(status).code == ErrorCode::kFleetConflict);
  CHECK(RefusalOf(absl::InternalError("x")).detail == "x");
}

}  // namespace
}  // namespace limpetlink
