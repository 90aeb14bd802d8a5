#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "fleet/fleet.h"

namespace limpetlink {
namespace {

constexpr char kDigest[] =
    "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

/// A small valid document that each test modifies.
class FleetParseFixture {
 protected:
  FleetParseFixture() {
    this->json = {
        {"name", "test"},
        {"failure_domains", {{{"id", "a"}, {"region", "r"}}}},
        {"organisations", {{{"id", "org"}, {"key_digests", {kDigest}}}}},
        {"models", {{{"name", "m"}, {"version", "1"}}}},
        {"services",
         {{{"name", "s"},
           {"rules",
            {{{"method", "GET"}, {"path_prefix", "/"}, {"idempotent", true}},
             {{"method", "*"},
              {"path_prefix", "/"},
              {"idempotent", false}}}}}}},
        {"upstreams",
         {{{"id", "e1"},
           {"kind", "engine"},
           {"serves", "m"},
           {"url", "http://127.0.0.1:8000"},
           {"failure_domain", "a"}}}},
        {"routes", {{{"name", "r"}, {"model", "m"}}}}};
  }

  std::vector<std::string> Pointers() const {
    std::vector<std::string> pointers;
    for (const FleetValidationError& error :
         ParseFleet(this->json.dump()).errors) {
      pointers.push_back(error.pointer);
    }
    return pointers;
  }

  nlohmann::json& At(const char* pointer) {
    return this->json[nlohmann::json::json_pointer(pointer)];
  }

  nlohmann::json json;
};

using PointerList = std::vector<std::string>;

TEST_CASE_METHOD(FleetParseFixture,
                 "fleet document, minimal, is parsed with defaults") {
  const FleetParseResult result = ParseFleet(this->json.dump());
  REQUIRE(result.Ok());
  CHECK(result.document.weights.stall == 0.5);
  CHECK(result.document.routes[0].default_deadline ==
        std::chrono::seconds(600));
  CHECK(result.document.upstreams[0].checks_fencing);
  CHECK(result.document.services[0].rules[0].idempotent);
}

TEST_CASE_METHOD(FleetParseFixture,
                 "fleet document, written and parsed again, is unchanged") {
  this->At("/routes/0/default_deadline_s") = 0.25;
  this->At("/change_id") = "c-1";
  const FleetParseResult first = ParseFleet(this->json.dump());
  REQUIRE(first.Ok());
  for (const auto layout : {FleetLayout::kCompact, FleetLayout::kIndented}) {
    const std::string text = WriteFleet(first.document, layout);
    const FleetParseResult second = ParseFleet(text);
    REQUIRE(second.Ok());
    CHECK(WriteFleet(second.document, layout) == text);
  }
  CHECK(first.document.routes[0].default_deadline ==
        std::chrono::milliseconds(250));
}

TEST_CASE_METHOD(FleetParseFixture,
                 "fleet document, several errors, reports all at once") {
  this->At("/name") = "";
  this->At("/weights") = {{"stall", 1.5}, {"speed", 1}};
  this->At("/upstreams/0/url") = "https://engine:8000";
  this->At("/upstreams/0/kind") = "worker";
  this->json.erase("failure_domains");
  CHECK(this->Pointers() == PointerList{"/name", "/failure_domains",
                                        "/upstreams/0/kind", "/upstreams/0/url",
                                        "/weights/stall", "/weights/speed",
                                        "/upstreams/0/failure_domain"});
}

TEST_CASE_METHOD(FleetParseFixture,
                 "fleet document, one error, reports its pointer") {
  SECTION("duplicate id") {
    this->json["failure_domains"].push_back({{"id", "a"}, {"region", "q"}});
    CHECK(this->Pointers() == PointerList{"/failure_domains/1/id"});
  }
  SECTION("key digest of two organisations") {
    this->json["organisations"].push_back(
        {{"id", "other"}, {"key_digests", {kDigest}}});
    CHECK(this->Pointers() == PointerList{"/organisations/1/key_digests/0"});
  }
  SECTION("digest shape") {
    this->At("/organisations/0/key_digests/0") = "secret";
    CHECK(this->Pointers() == PointerList{"/organisations/0/key_digests/0"});
  }
  SECTION("organisation without a key") {
    this->At("/organisations/0/key_digests") = nlohmann::json::array();
    CHECK(this->Pointers() == PointerList{"/organisations/0/key_digests"});
  }
  SECTION("no upstream") {
    this->At("/upstreams") = nlohmann::json::array();
    CHECK(this->Pointers() == PointerList{"/upstreams"});
  }
  SECTION("dangling references") {
    this->At("/upstreams/0/serves") = "s";  // a service, not a model
    this->At("/upstreams/0/failure_domain") = "b";
    CHECK(this->Pointers() ==
          PointerList{"/upstreams/0/serves", "/upstreams/0/failure_domain"});
  }
  SECTION("route to an unknown model") {
    this->json["routes"].push_back({{"name", "q"}, {"model", "none"}});
    CHECK(this->Pointers() == PointerList{"/routes/1/model"});
  }
  SECTION("model without a route") {
    this->At("/routes") = nlohmann::json::array();
    CHECK(this->Pointers() == PointerList{"/models/0/name"});
  }
  SECTION("rule shadowed by an earlier one") {
    this->At("/services/0/rules/0/method") = "*";
    CHECK(this->Pointers() == PointerList{"/services/0/rules/1"});
  }
  SECTION("rule whose prefix matches only part of a segment") {
    this->At("/services/0/rules/0") = {
        {"method", "*"}, {"path_prefix", "/rec"}, {"idempotent", true}};
    this->At("/services/0/rules/1/path_prefix") = "/recipes";
    CHECK(this->Pointers().empty());
    this->At("/services/0/rules/1/path_prefix") = "/rec/7";
    CHECK(this->Pointers() == PointerList{"/services/0/rules/1"});
  }
  SECTION("default deadline above the maximum") {
    this->At("/routes/0/default_deadline_s") = 4000;
    CHECK(this->Pointers() == PointerList{"/routes/0/default_deadline_s"});
  }
  SECTION("integer with a fraction") {
    this->At("/organisations/0/max_concurrent") = 1.5;
    CHECK(this->Pointers() == PointerList{"/organisations/0/max_concurrent"});
  }
  SECTION("element of the wrong type") {
    this->At("/routes/0") = "r";
    CHECK(this->Pointers() == PointerList{"/routes/0", "/models/0/name"});
  }
}

TEST_CASE("fleet document, text that is no document, gives one error") {
  CHECK(ParseFleet("").errors.size() == 1);
  CHECK(ParseFleet("{\"name\":").errors.size() == 1);
  CHECK(ParseFleet("[]").errors.size() == 1);
  CHECK(ParseFleet(std::string(kMaxFleetBytes + 1, ' ')).errors.size() == 1);
  CHECK(ParseFleet(std::string(100000, '[')).errors.size() == 1);
}

TEST_CASE_METHOD(
    FleetParseFixture,
    "fleet document, duplicate member in one object, is rejected") {
  std::string text = this->json.dump();
  text.insert(1, "\"name\":\"other\",");
  const FleetParseResult result = ParseFleet(text);
  REQUIRE(result.errors.size() == 1);
  CHECK(result.errors[0].message ==
        "member \"name\" occurs twice in an object");
}

TEST_CASE_METHOD(
    FleetParseFixture,
    "upstream url, valid and invalid formats, is accepted or rejected") {
  const std::vector<std::pair<std::string, bool>> cases = {
      {"http://10.0.0.1:80", true},     {"http://[::1]:8000", true},
      {"http://10.0.0.1", false},       {"http://10.0.0.1:0", false},
      {"http://10.0.0.1:65536", false}, {"http://10.0.0.1:80/", false},
      {"http://host:80", false},        {"http://u@10.0.0.1:80", false},
      {"ftp://10.0.0.1:80", false},     {"http://::1:80", false}};
  for (const auto& [url, accepted] : cases) {
    this->At("/upstreams/0/url") = url;
    INFO(url);
    CHECK(this->Pointers().empty() == accepted);
  }
}

}  // namespace
}  // namespace limpetlink
