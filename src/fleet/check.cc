#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "fleet/detail/aggregates.h"
#include "fleet/detail/reader.h"
#include "fleet/detail/rules.h"

namespace limpetlink {
namespace {

/// @brief Records the first pointer of each value and reports duplicates.
class UniquenessChecker {
 public:
  explicit UniquenessChecker(FleetValidationErrors* errors) : errors(errors) {}

  void Add(const std::string& text, const std::string& pointer) {
    if (text.empty()) {
      return;  // an invalid or missing member, reported already
    }
    const auto [first, added] = this->first_pointers.emplace(text, pointer);
    if (!added) {
      this->errors->push_back(
          {pointer, absl::StrCat("duplicates the value at ", first->second)});
    }
  }

 private:
  std::map<std::string, std::string> first_pointers;
  FleetValidationErrors* errors;
};

std::string At(std::string_view list, std::size_t index,
               std::string_view member) {
  const std::string element = ElementPointer(MemberPointer("", list), index);
  return MemberPointer(element, member);
}

/// Reports values of one member that occur in several elements of a list.
template <typename T, typename Get>
void CheckUnique(const std::vector<T>& elements, std::string_view list,
                 std::string_view member, Get get,
                 FleetValidationErrors* errors) {
  UniquenessChecker checker(errors);
  for (std::size_t i = 0; i < elements.size(); ++i) {
    checker.Add(get(elements[i]), At(list, i, member));
  }
}

void CheckKeyDigests(const std::vector<Organisation>& organisations,
                     FleetValidationErrors* errors) {
  UniquenessChecker checker(errors);
  for (std::size_t i = 0; i < organisations.size(); ++i) {
    const std::string list = At("organisations", i, "key_digests");
    const auto& digests = organisations[i].key_digests;
    for (std::size_t k = 0; k < digests.size(); ++k) {
      checker.Add(digests[k], ElementPointer(list, k));
    }
  }
}

void CheckAdapters(const std::vector<Model>& models,
                   FleetValidationErrors* errors) {
  for (std::size_t i = 0; i < models.size(); ++i) {
    UniquenessChecker checker(errors);
    const std::string list = At("models", i, "adapters");
    for (std::size_t k = 0; k < models[i].adapters.size(); ++k) {
      checker.Add(models[i].adapters[k], ElementPointer(list, k));
    }
  }
}

template <typename T, typename Get>
std::set<std::string> Collect(const std::vector<T>& elements, Get get) {
  std::set<std::string> texts;
  for (const T& element : elements) {
    texts.insert(get(element));
  }
  return texts;
}

std::string NameOfModel(const Model& model) { return model.name; }
std::string NameOfService(const Service& service) { return service.name; }
std::string NameOfRoute(const Route& route) { return route.name; }
std::string ModelOfRoute(const Route& route) { return route.model; }

std::string IdOfDomain(const FailureDomain& domain) { return domain.id.value; }

void CheckReference(const std::set<std::string>& known, const std::string& text,
                    const std::string& pointer, std::string_view kind,
                    FleetValidationErrors* errors) {
  if (!text.empty() && known.count(text) == 0) {
    errors->push_back(
        {pointer, absl::StrCat("refers to no ",
                               absl::string_view(kind.data(), kind.size()),
                               " of this document: ", text)});
  }
}

void CheckUpstreams(const FleetDocument& document,
                    FleetValidationErrors* errors) {
  const auto models = Collect(document.models, NameOfModel);
  const auto services = Collect(document.services, NameOfService);
  const auto domains = Collect(document.failure_domains, IdOfDomain);
  for (std::size_t i = 0; i < document.upstreams.size(); ++i) {
    const Upstream& upstream = document.upstreams[i];
    const bool engine = upstream.kind == UpstreamKind::kEngine;
    CheckReference(engine ? models : services, upstream.serves,
                   At("upstreams", i, "serves"), engine ? "model" : "service",
                   errors);
    CheckReference(domains, upstream.failure_domain.value,
                   At("upstreams", i, "failure_domain"), "failure domain",
                   errors);
  }
}

void CheckRoutes(const FleetDocument& document, FleetValidationErrors* errors) {
  const auto models = Collect(document.models, NameOfModel);
  const auto routed = Collect(document.routes, ModelOfRoute);
  for (std::size_t i = 0; i < document.routes.size(); ++i) {
    CheckReference(models, document.routes[i].model, At("routes", i, "model"),
                   "model", errors);
  }
  for (std::size_t i = 0; i < document.models.size(); ++i) {
    if (routed.count(document.models[i].name) == 0) {
      errors->push_back({At("models", i, "name"), "has no route"});
    }
  }
}

bool Shadows(const ServiceRule& earlier, const ServiceRule& later) {
  const bool method = earlier.method == "*" || earlier.method == later.method;
  return method && PrefixMatches(earlier.path_prefix, later.path_prefix);
}

void CheckRules(const std::vector<ServiceRule>& rules,
                const std::string& pointer, FleetValidationErrors* errors) {
  for (std::size_t i = 1; i < rules.size(); ++i) {
    const auto end = rules.begin() + static_cast<std::ptrdiff_t>(i);
    const auto shadowing =
        std::find_if(rules.begin(), end, [&](const ServiceRule& earlier) {
          return !earlier.method.empty() && !earlier.path_prefix.empty() &&
                 Shadows(earlier, rules[i]);
        });
    if (shadowing != end) {
      const auto index = static_cast<std::size_t>(shadowing - rules.begin());
      errors->push_back(
          {ElementPointer(pointer, i),
           absl::StrCat("is never reached: ", ElementPointer(pointer, index),
                        " covers it")});
    }
  }
}

}  // namespace

void CheckDuplicates(const FleetDocument& document,
                     FleetValidationErrors* errors) {
  CheckUnique(document.failure_domains, "failure_domains", "id", IdOfDomain,
              errors);
  CheckUnique(
      document.organisations, "organisations", "id",
      [](const Organisation& organisation) { return organisation.id.value; },
      errors);
  CheckUnique(document.models, "models", "name", NameOfModel, errors);
  CheckUnique(document.services, "services", "name", NameOfService, errors);
  CheckUnique(
      document.upstreams, "upstreams", "id",
      [](const Upstream& upstream) { return upstream.id.value; }, errors);
  CheckUnique(
      document.upstreams, "upstreams", "url",
      [](const Upstream& upstream) { return upstream.url; }, errors);
  CheckUnique(document.routes, "routes", "name", NameOfRoute, errors);
  CheckKeyDigests(document.organisations, errors);
  CheckAdapters(document.models, errors);
}

void CheckReferences(const FleetDocument& document,
                     FleetValidationErrors* errors) {
  CheckUpstreams(document, errors);
  CheckRoutes(document, errors);
  for (std::size_t i = 0; i < document.services.size(); ++i) {
    CheckRules(document.services[i].rules, At("services", i, "rules"), errors);
  }
}

}  // namespace limpetlink
