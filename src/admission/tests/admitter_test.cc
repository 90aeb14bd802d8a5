#include <catch2/catch.hpp>

#include "admission/admission.h"

namespace limpetlink {
namespace {

constexpr Instant At(int milliseconds) {
  return Instant{std::chrono::milliseconds(milliseconds)};
}

class AdmitterFixture {
 public:
  AdmitterFixture() {
    for (int i = 0; i < 200; ++i) {
      this->lengths.Observe(400);
    }
    this->demand.lengths = &this->lengths;
    this->demand.prompt_tokens = 100;
    this->demand.max_output_tokens = 4096;
    this->load.memory_tokens = 6000;
  }

 protected:
  StreamKey Key(std::uint64_t id) { return {HostId{"a"}, Ticket{id}}; }

  std::uint64_t FillWithStreams(Admitter& admitter) {
    std::uint64_t count = 0;
    while (admitter.Check(At(0), this->demand, 1.0) ==
           AdmissionDecision::kAdmit) {
      admitter.Add(At(0), this->Key(++count), this->demand, 0);
      admitter.RecordProduced(At(0), this->Key(count), 1);
    }
    return count;
  }

  LengthHistogram lengths;
  Demand demand;
  EngineLoad load;
};

TEST_CASE_METHOD(AdmitterFixture,
                 "admitter, lengths known, fills by expected not worst case",
                 "[admission]") {
  Admitter admitter(MakeAdmissionPolicy({0.5, 0.5, 0.5}));
  admitter.Report(At(0), this->load);
  const std::uint64_t count = this->FillWithStreams(admitter);
  CHECK(count >= 8);   // reserving the worst case would admit one
  CHECK(count <= 13);  // checking current use only would admit sixty
  SECTION("a removed stream frees capacity") {
    CHECK(admitter.Remove(this->Key(1)));
    CHECK(admitter.Check(At(0), this->demand, 1.0) ==
          AdmissionDecision::kAdmit);
  }
}

TEST_CASE_METHOD(AdmitterFixture,
                 "admitter, higher preemption weight, admits fewer",
                 "[admission]") {
  Admitter restricted(MakeAdmissionPolicy({0.5, 1.0, 0.5}));
  Admitter bold(MakeAdmissionPolicy({0.5, 0.0, 0.5}));
  restricted.Report(At(0), this->load);
  bold.Report(At(0), this->load);
  CHECK(this->FillWithStreams(restricted) < this->FillWithStreams(bold));
}

TEST_CASE_METHOD(AdmitterFixture,
                 "admitter, no report yet, admits a few streams only",
                 "[admission]") {
  Admitter admitter(MakeAdmissionPolicy({}));
  CHECK(this->FillWithStreams(admitter) == 4);
}

TEST_CASE_METHOD(AdmitterFixture,
                 "admitter, verdicts arrive often, drafts leave headroom",
                 "[admission]") {
  Admitter admitter(MakeAdmissionPolicy({1.0, 0.5, 0.5}));
  admitter.Report(At(0), this->load);
  Demand verdict = this->demand;
  verdict.request_class = RequestClass::kVerdict;
  for (int i = 0; i < 100; ++i) {
    admitter.ObserveVerdict(verdict, 1);
  }
  this->FillWithStreams(admitter);
  CHECK(admitter.Check(At(0), this->demand, 1.0) != AdmissionDecision::kAdmit);
  CHECK(admitter.Check(At(0), verdict, 1.0) == AdmissionDecision::kAdmit);
}

TEST_CASE_METHOD(AdmitterFixture,
                 "admitter, drafts overflow later, verdict still starts",
                 "[admission]") {
  Admitter admitter(MakeAdmissionPolicy({0.5, 1.0, 0.5}));
  admitter.Report(At(0), this->load);
  for (std::uint64_t i = 1; i <= 13; ++i) {
    admitter.Add(At(0), this->Key(i), this->demand, 0);
    admitter.RecordProduced(At(0), this->Key(i), 1);
  }
  LengthHistogram short_lengths;
  for (int i = 0; i < 200; ++i) {
    short_lengths.Observe(8);
  }
  Demand verdict = this->demand;
  verdict.request_class = RequestClass::kVerdict;
  verdict.lengths = &short_lengths;
  CHECK(admitter.Check(At(0), this->demand, 1.0) == AdmissionDecision::kMemory);
  CHECK(admitter.Check(At(0), verdict, 1.0) == AdmissionDecision::kAdmit);
}

TEST_CASE("stream priority, tokens are produced, never falls", "[admission]") {
  std::int32_t last = -1;
  for (std::uint32_t tokens = 0; tokens < 5000; ++tokens) {
    const std::int32_t priority = StreamPriority(RequestClass::kDraft, tokens);
    CHECK(priority >= last);
    last = priority;
  }
  CHECK(last == 4);
  CHECK(last < StreamPriority(RequestClass::kVerdict, 0));
}

TEST_CASE("length model, unknown key, falls back to the coarser key",
          "[admission]") {
  LengthModel model;
  for (int i = 0; i < 100; ++i) {
    model.Observe({"m", "r", OrganisationId{"big"}}, 20);
  }
  const LengthKey unseen{"m", "r", OrganisationId{"small"}};
  CHECK(model.Find(unseen).Mean(4096) < 60);
  const LengthKey other{"other", "r", OrganisationId{"big"}};
  CHECK(model.Find(other).Mean(4096) > 100);
}

TEST_CASE("length histogram, long output, is expected to continue",
          "[admission]") {
  LengthHistogram lengths;
  for (std::uint32_t i = 0; i < 500; ++i) {
    lengths.Observe(i % 10 == 0 ? 8000 : 50);
  }
  CHECK(lengths.ContinuationProbability(1, 1000) < 0.2);
  CHECK(lengths.ContinuationProbability(200, 1000) > 0.8);
}

}  // namespace
}  // namespace limpetlink
