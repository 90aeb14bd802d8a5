#include "fleet/detail/write.h"

#include "fleet/fleet.h"

namespace limpetlink {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kIndentSpaces = 2;

Json ToJson(const FailureDomain& domain) {
  return {{"id", domain.id.value}, {"region", domain.region}};
}

Json ToJson(const Organisation& organisation) {
  return {{"id", organisation.id.value},
          {"key_digests", organisation.key_digests},
          {"weight", organisation.weight},
          {"max_concurrent", organisation.max_concurrent},
          {"requests_per_second", organisation.requests_per_second}};
}

Json ToJson(const Model& model) {
  return {{"name", model.name},
          {"version", model.version},
          {"adapters", model.adapters},
          {"max_output_tokens", model.max_output_tokens}};
}

Json ToJson(const ServiceRule& rule) {
  return {{"method", rule.method},
          {"path_prefix", rule.path_prefix},
          {"idempotent", rule.idempotent}};
}

Json ToJson(const Upstream& upstream) {
  return {{"id", upstream.id.value},
          {"kind", ToText(upstream.kind)},
          {"serves", upstream.serves},
          {"url", upstream.url},
          {"failure_domain", upstream.failure_domain.value},
          {"checks_fencing", upstream.checks_fencing}};
}

Json ToJson(const Route& route) {
  return {{"name", route.name},
          {"model", route.model},
          {"request_class", ToText(route.request_class)},
          {"on_loss", ToText(route.on_loss)},
          {"default_deadline_s", ToSeconds(route.default_deadline)},
          {"max_deadline_s", ToSeconds(route.max_deadline)}};
}

Json ToJson(const Weights& weights) {
  return {{"stall", weights.stall},
          {"preemption", weights.preemption},
          {"tail", weights.tail}};
}

Json ToJson(const Service& service);

template <typename T>
Json ToJson(const std::vector<T>& elements) {
  Json list = Json::array();
  for (const T& element : elements) {
    list.push_back(ToJson(element));
  }
  return list;
}

Json ToJson(const Service& service) {
  return {{"name", service.name},
          {"rules", ToJson(service.rules)},
          {"default_deadline_s", ToSeconds(service.default_deadline)},
          {"max_deadline_s", ToSeconds(service.max_deadline)}};
}

}  // namespace

Json ToJson(const FleetDocument& document) {
  Json json;
  json["name"] = document.name;
  if (!document.change_id.empty()) {
    json["change_id"] = document.change_id;
  }
  if (!document.author.empty()) {
    json["author"] = document.author;
  }
  json["failure_domains"] = ToJson(document.failure_domains);
  json["organisations"] = ToJson(document.organisations);
  json["models"] = ToJson(document.models);
  json["services"] = ToJson(document.services);
  json["upstreams"] = ToJson(document.upstreams);
  json["routes"] = ToJson(document.routes);
  json["weights"] = ToJson(document.weights);
  return json;
}

std::string WriteFleet(const FleetDocument& document, FleetLayout layout) {
  const int indent = layout == FleetLayout::kIndented ? kIndentSpaces : -1;
  return ToJson(document).dump(indent, ' ', false,
                               Json::error_handler_t::replace);
}

}  // namespace limpetlink
