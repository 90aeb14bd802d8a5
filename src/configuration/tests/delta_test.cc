#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "configuration/configuration.h"

namespace limpetlink {
namespace {

using Json = nlohmann::json;

class DeltaFixture {
 public:
  static Json Document(std::size_t rows) {
    Json document = {{"name", "today"}, {"upstreams", Json::array()}};
    for (std::size_t i = 0; i < rows; ++i) {
      document["upstreams"].push_back(
          {{"id", "worker-" + std::to_string(i)},
           {"url", "http://10.0.0.1:" + std::to_string(i)},
           {"failure_domain", "perth-a"}});
    }
    return document;
  }
};

TEST_CASE_METHOD(DeltaFixture,
                 "delta, any two documents, converts one into the other") {
  Random random(11);
  for (int round = 0; round < 300; ++round) {
    Json from = Document(1 + random.Below(20));
    Json to = from;
    for (std::uint64_t i = random.Below(4); i > 0; --i) {
      Json& rows = to["upstreams"];
      const std::size_t at = random.Below(rows.size());
      if (random.Below(2) == 0 && rows.size() > 1) {
        rows.erase(at);
      } else {
        rows[at]["url"] = "http://10.0.0.2:" + std::to_string(round);
      }
    }
    const DocumentDelta delta = MakeDelta(4, from.dump(), 5, to.dump());
    const auto applied = ApplyDelta(delta, from.dump());
    REQUIRE(applied.ok());
    CHECK(*applied == to.dump());
  }
}

TEST_CASE_METHOD(DeltaFixture,
                 "delta, one element changed, removed or several changed, is "
                 "small compared with the document") {
  const Json from = Document(2000);
  Json to = from;
  SECTION("changed") { to["upstreams"][700]["url"] = "http://10.0.0.3:1"; }
  SECTION("removed") { to["upstreams"].erase(700); }
  SECTION("changed in several places") {
    to["upstreams"][7]["url"] = "http://10.0.0.3:1";
    to["upstreams"][1900]["url"] = "http://10.0.0.3:2";
  }
  const DocumentDelta delta = MakeDelta(1, from.dump(), 2, to.dump());
  CHECK(delta.bytes.size() < 400);
  CHECK(from.dump().size() > 100000);
}

TEST_CASE_METHOD(DeltaFixture, "delta, applied to another base, is rejected") {
  const std::string base = Document(30).dump();
  Json to = Document(30);
  to["upstreams"][3]["url"] = "http://10.0.0.3:1";
  const DocumentDelta delta = MakeDelta(1, base, 2, to.dump());
  CHECK_FALSE(ApplyDelta(delta, Document(2).dump()).ok());
  CHECK_FALSE(ApplyDelta(delta, Document(31).dump()).ok());
  CHECK_FALSE(ApplyDelta(delta, "").ok());
}

TEST_CASE(
    "configuration message, corrupted bytes, are rejected or decoded without a "
    "crash") {
  ConfigurationDeltas message;
  message.digest = {7, std::chrono::seconds(2), true};
  message.deltas.push_back({6, 7, DeltaForm::kSplice, 3, 4, "abc", 99});
  const std::string good = EncodeConfiguration(message);
  const auto read = DecodeConfiguration(good);
  REQUIRE(read.ok());
  const auto& decoded = std::get<ConfigurationDeltas>(*read);
  CHECK(decoded.digest.confirmed_age == message.digest.confirmed_age);
  CHECK(decoded.deltas.at(0).bytes == "abc");
  Random random(5);
  int rejected = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = good;
    bytes[random.Below(bytes.size())] = static_cast<char>(random() & 0xFFU);
    rejected += DecodeConfiguration(bytes).ok() ? 0 : 1;
  }
  CHECK(rejected > 0);
}

}  // namespace
}  // namespace limpetlink
