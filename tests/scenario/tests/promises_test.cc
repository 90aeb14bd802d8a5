#include "tests/scenario/promises.h"

#include <catch2/catch.hpp>

#include "fakes/fake_engine_events.h"

namespace limpetlink::scenario {
namespace {

using Json = nlohmann::json;

/// Evidence of a whole stream and an order; each test breaks one promise.
class PromiseChecking {
 protected:
  PromiseChecking() {
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

  void Refuse(CallerView* view) {
    view->status = 503;
    view->problem = {{"code", "upstream.101"}, {"outcome", "not_run"}};
  }

  std::size_t Broken() const { return BrokenPromises(this->evidence).size(); }

  PromiseEvidence evidence;
};

TEST_CASE_METHOD(PromiseChecking, "promise checker, all kept, finds nothing") {
  CHECK(this->Broken() == 0);
}

TEST_CASE_METHOD(PromiseChecking,
                 "promise checker, a spoilt stream, is caught") {
  std::vector<std::string>& tokens = this->Stream().tokens;
  const std::string mixed = "stream: tokens are not of one generation in order";
  std::vector<std::string> found = {mixed};
  SECTION("splice of two generations") { tokens[1] = TokenText("h", 1); }
  SECTION("crossed order") { std::swap(tokens[0], tokens[1]); }
  SECTION("token twice") {
    tokens.insert(tokens.begin(), tokens.front());
    found = {mixed, "stream: ended as whole with 4 of 3 tokens"};
  }
  SECTION("gap") {
    tokens.erase(tokens.begin() + 1);
    found = {mixed, "stream: ended as whole with 2 of 3 tokens"};
  }
  SECTION("end before the last token") {
    tokens.pop_back();
    found = {"stream: ended as whole with 2 of 3 tokens"};
  }
  CHECK(BrokenPromises(this->evidence) == found);
}

TEST_CASE_METHOD(PromiseChecking,
                 "promise checker, an order's lie, is caught") {
  SECTION("not_run of what ran") { this->Refuse(&this->Order().view); }
  SECTION("sent again") {
    this->evidence.executions.push_back(this->evidence.executions[0]);
  }
  SECTION("answered without a run") { this->evidence.executions.clear(); }
  SECTION("keyed and run twice") {
    this->Order().call.headers["Idempotency-Key"] = "k";
    this->evidence.executions = {{{"idempotency_key", "k"}},
                                 {{"idempotency_key", "k"}}};
  }
  SECTION("keyed, every caller told not_run, and run") {
    this->Order().call.headers["Idempotency-Key"] = "k";
    this->Refuse(&this->Order().view);
    this->evidence.executions = {{{"idempotency_key", "k"}}};
  }
  CHECK(this->Broken() == 1);
}

TEST_CASE_METHOD(PromiseChecking, "promise checker, changes, are held apart") {
  this->evidence.applied_bases = {1, 2};
  CHECK(this->Broken() == 0);
  this->evidence.applied_bases = {1, 2, 1};
  CHECK(this->Broken() == 1);
  this->evidence.reverted_hosts = {"entry-1"};
  CHECK(this->Broken() == 2);
}

}  // namespace
}  // namespace limpetlink::scenario
