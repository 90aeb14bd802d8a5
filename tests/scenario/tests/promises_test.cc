#include "tests/scenario/promises.h"

#include <catch2/catch.hpp>

#include "fakes/fake_engine_events.h"

namespace limpetlink::scenario {
namespace {

using Json = nlohmann::json;

/// Evidence of a complete stream and an order; each test adds a violation.
class GuaranteeTest {
 protected:
  GuaranteeTest() {
    CallEvidence stream;
    stream.call.name = "stream";
    stream.call.path = "/v1/completions";
    stream.view.ended = true;
    stream.view.status = 200;
    stream.view.done = true;
    stream.view.tokens = {TokenText("g", 0), TokenText("g", 1),
                          TokenText("g", 2)};
    const ResumeToken token{{"engine-1"}, {"g"}, 3, 1, "draft"};
    stream.view.last_event_id =
        MintResumeToken(kResumeSecret, {kOrganisation}, token);
    this->evidence.calls.push_back(stream);
    this->evidence.generations = {{{"generation", "g"}, {"tokens", 3}}};
    CallEvidence order;
    order.call.name = "order";
    order.call.path = "/v1/services/app/orders";
    order.call.body = {{"grams", 40}};
    order.view.ended = true;
    order.view.status = 200;
    this->evidence.calls.push_back(order);
    this->evidence.executions = {{{"id", "order"}, {"idempotency_key", ""}}};
  }

  CallerView& Stream() { return this->evidence.calls[0].view; }
  CallEvidence& Order() { return this->evidence.calls[1]; }

  void Reject(CallerView* view) {
    view->status = 503;
    view->problem = {{"code", "upstream.101"}, {"outcome", "not_run"}};
  }

  std::size_t ViolationCount() const {
    return FindViolations(this->evidence).size();
  }

  GuaranteeEvidence evidence;
};

TEST_CASE_METHOD(GuaranteeTest,
                 "guarantee check, no violation, returns nothing") {
  CHECK(this->ViolationCount() == 0);
}

TEST_CASE_METHOD(GuaranteeTest,
                 "guarantee check, malformed stream, reports it") {
  std::vector<std::string>& tokens = this->Stream().tokens;
  const std::string mixed = "stream: tokens are not of one generation in order";
  std::vector<std::string> found = {mixed};
  SECTION("tokens of two generations") { tokens[1] = TokenText("h", 1); }
  SECTION("swapped tokens") { std::swap(tokens[0], tokens[1]); }
  SECTION("duplicate token") {
    tokens.insert(tokens.begin(), tokens.front());
    found = {mixed, "stream: ended as complete with 4 of 3 tokens"};
  }
  SECTION("missing token") {
    tokens.erase(tokens.begin() + 1);
    found = {mixed, "stream: ended as complete with 2 of 3 tokens"};
  }
  SECTION("end before the last token") {
    tokens.pop_back();
    found = {"stream: ended as complete with 2 of 3 tokens"};
  }
  CHECK(FindViolations(this->evidence) == found);
}

TEST_CASE_METHOD(GuaranteeTest,
                 "guarantee check, wrong outcome of an order, reports it") {
  SECTION("reported not_run, but ran") { this->Reject(&this->Order().view); }
  SECTION("executed twice") {
    this->evidence.executions.push_back(this->evidence.executions[0]);
  }
  SECTION("succeeded without an execution") {
    this->evidence.executions.clear();
  }
  SECTION("with key, executed twice") {
    this->Order().call.headers["Idempotency-Key"] = "k";
    this->evidence.executions = {{{"idempotency_key", "k"}},
                                 {{"idempotency_key", "k"}}};
  }
  SECTION("with key, all callers got not_run, but ran") {
    this->Order().call.headers["Idempotency-Key"] = "k";
    this->Reject(&this->Order().view);
    this->evidence.executions = {{{"idempotency_key", "k"}}};
  }
  CHECK(this->ViolationCount() == 1);
}

TEST_CASE_METHOD(GuaranteeTest,
                 "guarantee check, changes of one base version, reports them") {
  this->evidence.applied_bases = {1, 2};
  CHECK(this->ViolationCount() == 0);
  this->evidence.applied_bases = {1, 2, 1};
  CHECK(this->ViolationCount() == 1);
  this->evidence.reverted_hosts = {"entry-1"};
  CHECK(this->ViolationCount() == 2);
}

}  // namespace
}  // namespace limpetlink::scenario
