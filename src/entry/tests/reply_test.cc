#include "entry/detail/reply.h"

#include <catch2/catch.hpp>

namespace limpetlink {
namespace {

TEST_CASE(
    "problem reply, with a time to come back, carries whole seconds in "
    "Retry-After") {
  Actions actions;
  ReplyProblem(actions, RequestId{7},
               {ErrorCode::kAdmissionQueueFull, Outcome::kNotRun, "full",
                std::chrono::milliseconds(1200)});
  REQUIRE(actions.size() == 3);
  const auto& head = std::get<ReplyHead>(actions[0]);
  CHECK(head.status == 503);
  CHECK(*FindHeader(head.headers, "retry-after") == "2");
  CHECK(std::get<ReplyEnd>(actions[2]).id == RequestId{7});
}

TEST_CASE("retry-after text, shorter than a second, is at least one") {
  CHECK(RetryAfterValue(Duration(0)) == "1");
  CHECK(RetryAfterValue(std::chrono::seconds(3)) == "3");
}

}  // namespace
}  // namespace limpetlink
