#include "bench/decisions_mix.h"

#include <algorithm>
#include <cmath>

namespace limpetlink::bench {
namespace {

constexpr std::uint32_t kPrefixTokens = 160;
/// Fraction of requests that share a prefix.
constexpr double kPrefixFraction = 0.7;
constexpr std::size_t kMeanSamples = 200000;

double SampleNormal(Random& random) {
  const double u = std::max(random.Fraction(), 1e-12);
  const double v = random.Fraction();
  return std::sqrt(-2.0 * std::log(u)) * std::cos(6.283185307179586 * v);
}

std::uint32_t SampleLength(Random& random,
                           const LengthDistribution& distribution) {
  const double value =
      distribution.median * std::exp(distribution.sigma * SampleNormal(random));
  return static_cast<std::uint32_t>(
      std::clamp<double>(value, distribution.min, distribution.max));
}

LengthDistribution ScaleMedian(LengthDistribution distribution, double factor) {
  distribution.median *= factor;
  return distribution;
}

std::size_t SampleOrganisation(Random& random, const Mix& mix) {
  double total = 0;
  for (const double weight : mix.demand) {
    total += weight;
  }
  double remaining = random.Fraction() * total;
  for (std::size_t i = 0; i < mix.demand.size(); ++i) {
    remaining -= mix.demand[i];
    if (remaining < 0) {
      return i;
    }
  }
  return mix.demand.size() - 1;
}

}  // namespace

Mix SwanCoast() {
  Mix mix;
  mix.name = "swan-coast";
  mix.workers = 9;
  mix.weights = {0.9, 0.3, 0.9};
  mix.verdict_fraction = 0.6;
  mix.verdict_prompt = {250, 0.3, 170, 2000};
  mix.verdict_output = {12, 0.6, 2, 64};
  mix.draft_prompt = {700, 0.5, 170, 6000};
  mix.draft_output = {350, 0.9, 8, 32768};
  mix.demand = {4, 3, 2, 1, 1, 1, 1, 1, 1, 1};
  mix.length_scale = {0.5, 1.5, 0.3, 6, 0.5, 1, 0.3, 2, 0.5, 3};
  return mix;
}

Mix Syrtos() {
  Mix mix;
  mix.name = "syrtos";
  mix.workers = 12;
  mix.weights = {0.4, 0.9, 0.4};
  mix.verdict_fraction = 0.4;
  mix.verdict_prompt = {300, 0.3, 170, 2000};
  mix.verdict_output = {20, 0.6, 2, 96};
  mix.draft_prompt = {900, 0.6, 170, 8000};
  mix.draft_output = {600, 0.9, 8, 32768};
  mix.demand = {5, 3, 3, 1, 1, 1, 1, 1, 1, 1};
  mix.length_scale = {0.5, 1.5, 0.3, 8, 0.5, 1, 0.3, 2, 0.5, 4};
  return mix;
}

std::vector<Arrival> GenerateArrivals(const Mix& mix,
                                      double requests_per_second,
                                      Duration duration, std::uint64_t seed) {
  Random random(seed);
  std::vector<Arrival> arrivals;
  double at = 0;
  while (true) {
    at -= std::log(std::max(random.Fraction(), 1e-12)) / requests_per_second;
    if (at >= ToSeconds(duration)) {
      return arrivals;
    }
    Arrival arrival;
    arrival.at = Instant{FromSeconds(at)};
    arrival.organisation = SampleOrganisation(random, mix);
    const bool verdict = random.Fraction() < mix.verdict_fraction;
    arrival.request_class =
        verdict ? RequestClass::kVerdict : RequestClass::kDraft;
    arrival.prompt_tokens =
        SampleLength(random, verdict ? mix.verdict_prompt : mix.draft_prompt);
    const double scale = mix.length_scale[arrival.organisation];
    arrival.output_tokens =
        SampleLength(random, verdict ? mix.verdict_output
                                     : ScaleMedian(mix.draft_output, scale));
    if (random.Fraction() < kPrefixFraction) {
      arrival.prefix = static_cast<std::uint32_t>(1 + arrival.organisation * 2 +
                                                  (verdict ? 1 : 0));
      arrival.prefix_tokens = kPrefixTokens;
    }
    arrivals.push_back(arrival);
  }
}

double MeanOutputTokens(const Mix& mix) {
  Random random(7);
  double sum = 0;
  for (std::size_t i = 0; i < kMeanSamples; ++i) {
    const bool verdict = random.Fraction() < mix.verdict_fraction;
    const double scale = mix.length_scale[SampleOrganisation(random, mix)];
    sum += SampleLength(random, verdict ? mix.verdict_output
                                        : ScaleMedian(mix.draft_output, scale));
  }
  return sum / static_cast<double>(kMeanSamples);
}

FleetDocument MakeFleetDocument(const Mix& mix) {
  FleetDocument document;
  document.name = mix.name;
  document.weights = mix.weights;
  document.failure_domains = {{FailureDomainId{"d"}, "r"}};
  document.models = {{"model", "1", {}, mix.max_output_tokens}};
  for (std::size_t i = 0; i < mix.demand.size(); ++i) {
    Organisation organisation;
    organisation.id = OrganisationId{"org-" + std::to_string(i)};
    organisation.max_concurrent = 100000;
    organisation.requests_per_second = 100000;
    document.organisations.push_back(organisation);
  }
  for (std::size_t i = 0; i < mix.workers; ++i) {
    Upstream upstream;
    upstream.id = UpstreamId{"w-" + std::to_string(100 + i)};
    upstream.serves = "model";
    upstream.url = "http://w";
    upstream.failure_domain = FailureDomainId{"d"};
    document.upstreams.push_back(upstream);
  }
  Route verdicts;
  verdicts.name = "verdicts";
  verdicts.model = "model";
  verdicts.request_class = RequestClass::kVerdict;
  Route drafts;
  drafts.name = "drafts";
  drafts.model = "model";
  document.routes = {verdicts, drafts};
  return document;
}

}  // namespace limpetlink::bench
