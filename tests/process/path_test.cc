#include <catch2/catch.hpp>
#include <csignal>

#include "fakes/fake_engine_events.h"
#include "tests/process/fleet_fixture.h"

namespace limpetlink::testing {
namespace {

class PathFixture : public FleetFixture {
 public:
  PathFixture() { this->StartEntry(1); }

  /// Returns the id of the generation, of which there must be exactly one.
  std::string OnlyGeneration() {
    const auto all = this->CollectGenerations();
    REQUIRE(all.size() == 1);
    return all.begin()->first;
  }

  static std::string ExpectedText(const std::string& generation,
                                  std::uint64_t tokens) {
    std::string text;
    for (std::uint64_t offset = 0; offset < tokens; ++offset) {
      text += TokenText(generation, offset);
    }
    return text;
  }

  nlohmann::json Executions() {
    return this->caller.Call("GET", this->ServiceUrl("/control/executions"))
        .Json()["executions"];
  }

  void CheckProblem(const TestResponse& response, int status,
                    const std::string& code) {
    CHECK(response.status == status);
    CHECK(response.Json().value("code", "") == code);
    CHECK(response.Json().value("outcome", "") == "not_run");
  }

  static std::string CodeText(ErrorCode code) {
    return std::string(Describe(code).name);
  }

  TestResponse SendCompletion(const std::string& body, Headers headers) {
    return this->caller.Call("POST", this->EntryUrl(1, "/v1/completions"), body,
                             std::move(headers));
  }
};

const std::string kValidBody =
    R"({"model":"tasting-model","prompt":"tokens=3","max_tokens":3})";

}  // namespace

TEST_CASE_METHOD(PathFixture,
                 "a stream, full path, each token arrives once and in order") {
  const TestResponse response =
      this->caller.WaitForEnd(this->StartStream(1, 200));
  CHECK(response.status == 200);
  CHECK(response.end == HttpEnd::kComplete);
  CHECK(JoinTexts(ParseEvents(response.body)) ==
        ExpectedText(this->OnlyGeneration(), 200));
}

TEST_CASE_METHOD(PathFixture,
                 "a lookup, full path, the service's response is returned") {
  const TestResponse response = this->caller.Call(
      "GET", this->EntryUrl(1, "/v1/services/trial-bench/recipes/7"), "",
      WithApiKey());
  CHECK(response.status == 200);
  CHECK(response.Json().value("path", "") == "/recipes/7");
}

TEST_CASE_METHOD(PathFixture,
                 "an order, sent twice with one key, it runs once") {
  const std::string url = this->EntryUrl(1, "/v1/services/trial-bench/dosing");
  const Headers headers = WithApiKey({{"Idempotency-Key", "order-1"}});
  const TestResponse first =
      this->caller.Call("POST", url, R"({"id":"order-1"})", headers);
  const TestResponse second =
      this->caller.Call("POST", url, R"({"id":"order-1"})", headers);
  CHECK(first.status == 200);
  CHECK(second.status == 200);
  CHECK(second.body == first.body);
  CHECK(this->Executions().size() == 1);
}

TEST_CASE_METHOD(
    PathFixture,
    "an invalid request, each kind, a specific problem is returned") {
  const std::string services = this->EntryUrl(1, "/v1/services/");
  CheckProblem(this->SendCompletion(kValidBody, {}), 401,
               CodeText(ErrorCode::kRequestNoKey));
  CheckProblem(
      this->SendCompletion(kValidBody, {{"Authorization", "Bearer wrong"}}),
      Describe(ErrorCode::kRequestWrongKey).http_status,
      CodeText(ErrorCode::kRequestWrongKey));
  CheckProblem(
      this->SendCompletion(R"({"model":"none","prompt":"x"})", WithApiKey()),
      404, CodeText(ErrorCode::kRequestUnknownModel));
  CheckProblem(this->SendCompletion("{", WithApiKey()), 400,
               CodeText(ErrorCode::kRequestMalformed));
  CheckProblem(this->SendCompletion(std::string(2U << 20U, 'x'), WithApiKey()),
               413, CodeText(ErrorCode::kRequestTooLarge));
  CheckProblem(
      this->SendCompletion(kValidBody, WithApiKey({{"X-Route", "none"}})),
      Describe(ErrorCode::kRequestUnknownRoute).http_status,
      CodeText(ErrorCode::kRequestUnknownRoute));
  CheckProblem(this->caller.Call("GET", services + "none/x", "", WithApiKey()),
               404, CodeText(ErrorCode::kRequestUnknownService));
  CheckProblem(
      this->SendCompletion(kValidBody, WithApiKey({{"Prefer", "wait=0"}})),
      Describe(ErrorCode::kRequestDeadlinePast).http_status,
      CodeText(ErrorCode::kRequestDeadlinePast));
  CHECK(this->CollectGenerations().empty());
}

TEST_CASE_METHOD(PathFixture,
                 "SIGTERM with an open stream, the stream completes, exit 0") {
  const CallId id = this->StartStream(1, 300);
  REQUIRE(this->caller.WaitForBody(id, "data: "));
  this->entries[1]->Signal(SIGTERM);
  const TestResponse response = this->caller.WaitForEnd(id);
  CHECK(response.end == HttpEnd::kComplete);
  CHECK(JoinTexts(ParseEvents(response.body)) ==
        ExpectedText(this->OnlyGeneration(), 300));
  CHECK(this->entries[1]->Wait() == 0);
}

TEST_CASE_METHOD(
    PathFixture,
    "an order whose connection closes after its execution, retried, is "
    "unknown and ran once") {
  this->caller.Call("POST", this->ServiceUrl("/control/faults"),
                    R"({"fault":"cut_after","times":1})");
  const std::string url = this->EntryUrl(1, "/v1/services/trial-bench/dosing");
  const Headers headers = WithApiKey({{"Idempotency-Key", "order-2"}});
  const TestResponse first =
      this->caller.Call("POST", url, R"({"id":"order-2"})", headers);
  const TestResponse second =
      this->caller.Call("POST", url, R"({"id":"order-2"})", headers);
  CHECK(first.Json().value("outcome", "") == "unknown");
  CHECK(second.Json().value("outcome", "") == "unknown");
  CHECK(this->Executions().size() == 1);
}

TEST_CASE_METHOD(
    PathFixture,
    "an entry host killed in a stream, another resumes it completely") {
  this->StartEntry(2);
  const CallId id = this->StartStream(1, 300);
  REQUIRE(this->caller.WaitForBody(id, "data: "));
  this->entries[1]->Kill();
  const std::vector<ServerSentEvent> received =
      ParseEvents(this->caller.WaitForEnd(id).body);
  REQUIRE_FALSE(received.empty());
  const CallId resumed =
      this->StartStream(2, 300, {{"Last-Event-ID", received.back().id}});
  const TestResponse rest = this->caller.WaitForEnd(resumed);
  CHECK(rest.end == HttpEnd::kComplete);
  CHECK(JoinTexts(received) + JoinTexts(ParseEvents(rest.body)) ==
        ExpectedText(this->OnlyGeneration(), 300));
}

}  // namespace limpetlink::testing
