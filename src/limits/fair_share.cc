#include "limits/detail/fair_share.h"

#include <algorithm>

namespace limpetlink {

void FairShare::SetWeight(const OrganisationId& organisation, double weight) {
  this->counters[organisation].weight = weight;
}

void FairShare::Activate(const OrganisationId& organisation,
                         const std::vector<OrganisationId>& waiting) {
  std::optional<double> lowest;
  for (const OrganisationId& other : waiting) {
    const double counter = this->Counter(other);
    if (other != organisation && (!lowest || counter < *lowest)) {
      lowest = counter;
    }
  }
  ServiceCounter& entry = this->counters[organisation];
  if (lowest) {
    entry.counter = std::max(entry.counter, *lowest);
  }
}

void FairShare::Charge(const OrganisationId& organisation, double tokens) {
  ServiceCounter& entry = this->counters[organisation];
  entry.counter += tokens / entry.weight;
}

std::vector<OrganisationId> FairShare::Order(
    const std::vector<OrganisationId>& waiting) const {
  std::vector<OrganisationId> order = waiting;
  std::sort(order.begin(), order.end(),
            [this](const OrganisationId& a, const OrganisationId& b) {
              const double counter_a = this->Counter(a);
              const double counter_b = this->Counter(b);
              return counter_a != counter_b ? counter_a < counter_b : a < b;
            });
  return order;
}

double FairShare::Counter(const OrganisationId& organisation) const {
  const auto it = this->counters.find(organisation);
  return it == this->counters.end() ? 0.0 : it->second.counter;
}

}  // namespace limpetlink
