#include <catch2/catch.hpp>

#include "routes/routes.h"

namespace limpetlink {
namespace {

ForwardingRoute RouteOf(std::string name, std::string prefix) {
  ForwardingRoute route;
  route.name = std::move(name);
  route.host = "Fleet.Example";
  route.path_prefix = std::move(prefix);
  route.services = {{"engines", 1.0}};
  return route;
}

class RouteTableFixture {
 public:
  RouteTableFixture() : table(Make()) {}

  static Deployment Make() {
    Deployment deployment;
    deployment.routes = {RouteOf("all", "/"), RouteOf("trial", "/trial/"),
                         RouteOf("trial-long", "/trial/long/")};
    deployment.holders = {
        {OrganisationId{"panel"}, {Sha256Hex("key-1")}, std::nullopt}};
    return deployment;
  }

  std::string NameOf(std::string_view host, std::string_view path) const {
    const ForwardingRoute* route = this->table.Find(host, path);
    return route == nullptr ? "" : route->name;
  }

  RouteTable table;
};

TEST_CASE_METHOD(RouteTableFixture,
                 "route table, several prefixes match, finds the longest",
                 "[routes]") {
  CHECK(this->NameOf("fleet.example", "/trial/long/7") == "trial-long");
  CHECK(this->NameOf("fleet.example", "/trial/7") == "trial");
  CHECK(this->NameOf("fleet.example", "/trial") == "all");
}

TEST_CASE_METHOD(RouteTableFixture,
                 "route table, host with port and other case, finds the route",
                 "[routes]") {
  CHECK(this->NameOf("FLEET.example:8080", "/trial/7") == "trial");
  CHECK(this->NameOf("other.example", "/trial/7").empty());
}

TEST_CASE_METHOD(RouteTableFixture,
                 "route table, percent-encoded path, is not decoded",
                 "[routes]") {
  CHECK(this->NameOf("fleet.example", "/trial%2Flong/7") == "all");
}

TEST_CASE_METHOD(RouteTableFixture, "route table, key, finds only its holder",
                 "[routes]") {
  REQUIRE(this->table.FindKeyHolder("key-1") != nullptr);
  CHECK(this->table.FindKeyHolder("key-1")->organisation.value == "panel");
  CHECK(this->table.FindKeyHolder("key-2") == nullptr);
  CHECK(this->table.FindKeyHolder("") == nullptr);
}

TEST_CASE("split route, weights 90 and 10, selects services by weight",
          "[routes]") {
  ForwardingRoute route;
  route.services = {{"first", 90}, {"second", 10}};
  CHECK(ChooseService(route, 0.0) == "first");
  CHECK(ChooseService(route, 0.89) == "first");
  CHECK(ChooseService(route, 0.91) == "second");
}

TEST_CASE("split route, weight 0, is never selected", "[routes]") {
  ForwardingRoute route;
  route.services = {{"none", 0}, {"all", 10}};
  CHECK(ChooseService(route, 0.0) == "all");
  CHECK(ChooseService(route, 0.999) == "all");
}

}  // namespace
}  // namespace limpetlink
