#include "fleet/detail/aggregates.h"
#include "fleet/detail/reader.h"

namespace limpetlink {
namespace {

constexpr CountRange kFailureDomains{1, 64};
constexpr CountRange kOrganisations{1, 1000};
constexpr CountRange kKeyDigests{1, 16};
constexpr CountRange kModels{0, 64};
constexpr CountRange kAdapters{0, 64};
constexpr CountRange kServices{0, 256};
constexpr CountRange kRules{0, 64};
constexpr CountRange kUpstreams{1, 10000};
constexpr CountRange kRoutes{0, 256};

constexpr NumberRange kShareWeight{0.001, 1000.0};
constexpr NumberRange kConcurrent{1, 1e6};
constexpr NumberRange kRequestsPerSecond{0.001, 1e6};
constexpr NumberRange kOutputTokens{1, 1e6};
constexpr NumberRange kDeadlineSeconds{0.001, 86400};
constexpr NumberRange kFraction{0, 1};

/// Reads the two deadlines of a route or service.
void ReadDeadlines(ObjectReader* reader, Duration* default_deadline,
                   Duration* max_deadline) {
  reader->Seconds("default_deadline_s", kDeadlineSeconds, Presence::kOptional,
                  default_deadline);
  reader->Seconds("max_deadline_s", kDeadlineSeconds, Presence::kOptional,
                  max_deadline);
  if (*default_deadline > *max_deadline) {
    reader->AddError("default_deadline_s", "must not exceed max_deadline_s");
  }
}

}  // namespace

FailureDomain ParseFailureDomain(const nlohmann::json& value,
                                 const std::string& pointer,
                                 FleetValidationErrors* errors) {
  FailureDomain domain;
  ObjectReader reader(value, pointer, errors);
  reader.String("id", kNameFormat, Presence::kRequired, &domain.id.value);
  reader.String("region", kNameFormat, Presence::kRequired, &domain.region);
  reader.Finish();
  return domain;
}

Organisation ParseOrganisation(const nlohmann::json& value,
                               const std::string& pointer,
                               FleetValidationErrors* errors) {
  Organisation organisation;
  ObjectReader reader(value, pointer, errors);
  reader.String("id", kNameFormat, Presence::kRequired, &organisation.id.value);
  reader.Strings("key_digests", kDigestFormat, kKeyDigests, Presence::kRequired,
                 &organisation.key_digests);
  reader.Number("weight", kShareWeight, Presence::kOptional,
                &organisation.weight);
  reader.Count("max_concurrent", kConcurrent, Presence::kOptional,
               &organisation.max_concurrent);
  reader.Number("requests_per_second", kRequestsPerSecond, Presence::kOptional,
                &organisation.requests_per_second);
  reader.Finish();
  return organisation;
}

Model ParseModel(const nlohmann::json& value, const std::string& pointer,
                 FleetValidationErrors* errors) {
  Model model;
  ObjectReader reader(value, pointer, errors);
  reader.String("name", kNameFormat, Presence::kRequired, &model.name);
  reader.String("version", kVersionFormat, Presence::kRequired, &model.version);
  reader.Strings("adapters", kVersionFormat, kAdapters, Presence::kOptional,
                 &model.adapters);
  reader.Count("max_output_tokens", kOutputTokens, Presence::kOptional,
               &model.max_output_tokens);
  reader.Finish();
  return model;
}

ServiceRule ParseServiceRule(const nlohmann::json& value,
                             const std::string& pointer,
                             FleetValidationErrors* errors) {
  ServiceRule rule;
  ObjectReader reader(value, pointer, errors);
  reader.String("method", kMethodFormat, Presence::kRequired, &rule.method);
  reader.String("path_prefix", kPathPrefixFormat, Presence::kRequired,
                &rule.path_prefix);
  reader.Flag("idempotent", Presence::kRequired, &rule.idempotent);
  reader.Finish();
  return rule;
}

Service ParseService(const nlohmann::json& value, const std::string& pointer,
                     FleetValidationErrors* errors) {
  Service service;
  ObjectReader reader(value, pointer, errors);
  reader.String("name", kNameFormat, Presence::kRequired, &service.name);
  reader.List("rules", kRules, Presence::kOptional, ParseServiceRule,
              &service.rules);
  ReadDeadlines(&reader, &service.default_deadline, &service.max_deadline);
  reader.Finish();
  return service;
}

Upstream ParseUpstream(const nlohmann::json& value, const std::string& pointer,
                       FleetValidationErrors* errors) {
  Upstream upstream;
  ObjectReader reader(value, pointer, errors);
  reader.String("id", kNameFormat, Presence::kRequired, &upstream.id.value);
  reader.Choice("kind", Presence::kRequired, &upstream.kind);
  reader.String("serves", kNameFormat, Presence::kRequired, &upstream.serves);
  reader.String("url", kUrlFormat, Presence::kRequired, &upstream.url);
  reader.String("failure_domain", kNameFormat, Presence::kRequired,
                &upstream.failure_domain.value);
  reader.Flag("checks_fencing", Presence::kOptional, &upstream.checks_fencing);
  reader.Finish();
  return upstream;
}

Route ParseRoute(const nlohmann::json& value, const std::string& pointer,
                 FleetValidationErrors* errors) {
  Route route;
  ObjectReader reader(value, pointer, errors);
  reader.String("name", kNameFormat, Presence::kRequired, &route.name);
  reader.String("model", kNameFormat, Presence::kRequired, &route.model);
  reader.Choice("request_class", Presence::kOptional, &route.request_class);
  reader.Choice("on_loss", Presence::kOptional, &route.on_loss);
  ReadDeadlines(&reader, &route.default_deadline, &route.max_deadline);
  reader.Finish();
  return route;
}

Weights ParseWeights(const nlohmann::json& value, const std::string& pointer,
                     FleetValidationErrors* errors) {
  Weights weights;
  ObjectReader reader(value, pointer, errors);
  reader.Number("stall", kFraction, Presence::kOptional, &weights.stall);
  reader.Number("preemption", kFraction, Presence::kOptional,
                &weights.preemption);
  reader.Number("tail", kFraction, Presence::kOptional, &weights.tail);
  reader.Finish();
  return weights;
}

FleetDocument ParseFleetDocument(const nlohmann::json& value,
                                 const std::string& pointer,
                                 FleetValidationErrors* errors) {
  FleetDocument document;
  ObjectReader reader(value, pointer, errors);
  reader.String("name", kNameFormat, Presence::kRequired, &document.name);
  reader.String("change_id", kVersionFormat, Presence::kOptional,
                &document.change_id);
  reader.String("author", kSingleLineFormat, Presence::kOptional,
                &document.author);
  reader.List("failure_domains", kFailureDomains, Presence::kRequired,
              ParseFailureDomain, &document.failure_domains);
  reader.List("organisations", kOrganisations, Presence::kRequired,
              ParseOrganisation, &document.organisations);
  reader.List("models", kModels, Presence::kOptional, ParseModel,
              &document.models);
  reader.List("services", kServices, Presence::kOptional, ParseService,
              &document.services);
  reader.List("upstreams", kUpstreams, Presence::kRequired, ParseUpstream,
              &document.upstreams);
  reader.List("routes", kRoutes, Presence::kOptional, ParseRoute,
              &document.routes);
  reader.Member("weights", Presence::kOptional, ParseWeights,
                &document.weights);
  reader.Finish();
  return document;
}

}  // namespace limpetlink
