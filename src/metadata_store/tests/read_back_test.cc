#include <catch2/catch.hpp>

#include "metadata_store/metadata_store.h"

namespace limpetlink {
namespace {

class ReadBackFixture {
 public:
  static StoreResult Read(StoreStatus status, std::uint64_t version,
                          const std::string& bytes) {
    StoreResult read;
    read.status = status;
    read.version = version;
    read.bytes = bytes;
    return read;
  }

  static WriteOutcome Resolve(const StoreResult& read) {
    const auto is_own = [](std::string_view bytes) { return bytes == "mine"; };
    return ResolveByReadBack(WriteCondition::IfVersion(4), read, is_own);
  }
};

TEST_CASE_METHOD(ReadBackFixture,
                 "read back, each state of the object, yields the outcome of "
                 "the lost write") {
  using Status = StoreStatus;
  CHECK(Resolve(Read(Status::kOk, 5, "mine")) == WriteOutcome::kApplied);
  CHECK(Resolve(Read(Status::kOk, 5, "other")) == WriteOutcome::kNotApplied);
  CHECK(Resolve(Read(Status::kOk, 4, "base")) == WriteOutcome::kRetry);
  CHECK(Resolve(Read(Status::kOk, 6, "other")) == WriteOutcome::kUndetermined);
  CHECK(Resolve(Read(Status::kUnavailable, 0, "")) ==
        WriteOutcome::kReadFailed);
  CHECK(Resolve(Read(Status::kAbsent, 0, "")) == WriteOutcome::kNotApplied);
}

}  // namespace
}  // namespace limpetlink
