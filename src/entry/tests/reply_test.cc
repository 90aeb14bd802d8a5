#include "entry/detail/reply.h"

#include <catch2/catch.hpp>

namespace limpetlink {
namespace {

TEST_CASE(
    "problem reply, with a retry time, has whole seconds in "
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

TEST_CASE("Retry-After value, below one second, is at least one") {
  CHECK(RetryAfterValue(Duration(0)) == "1");
  CHECK(RetryAfterValue(std::chrono::seconds(3)) == "3");
}

}  // namespace
}  // namespace limpetlink
