#include <catch2/catch.hpp>

#include "platform/platform.h"

namespace limpetlink {
namespace {

class ReadBackFixture {
 public:
  static PlatformResult Read(PlatformStatus status, std::uint64_t version,
                             const std::string& bytes) {
    PlatformResult read;
    read.status = status;
    read.version = version;
    read.bytes = bytes;
    return read;
  }

  static WriteVerdict Resolve(const PlatformResult& read) {
    const auto is_own = [](std::string_view bytes) { return bytes == "mine"; };
    return ResolveByReadBack(WriteCondition::IfVersion(4), read, is_own);
  }
};

TEST_CASE_METHOD(ReadBackFixture,
                 "read back, each state of the object, gives the verdict that "
                 "is true of the lost write") {
  using Status = PlatformStatus;
  CHECK(Resolve(Read(Status::kOk, 5, "mine")) == WriteVerdict::kTookEffect);
  CHECK(Resolve(Read(Status::kOk, 5, "other")) == WriteVerdict::kNotTaken);
  CHECK(Resolve(Read(Status::kOk, 4, "base")) == WriteVerdict::kRepeat);
  CHECK(Resolve(Read(Status::kOk, 6, "other")) == WriteVerdict::kCovered);
  CHECK(Resolve(Read(Status::kUnavailable, 0, "")) == WriteVerdict::kNoAnswer);
  CHECK(Resolve(Read(Status::kAbsent, 0, "")) == WriteVerdict::kNotTaken);
}

}  // namespace
}  // namespace limpetlink
