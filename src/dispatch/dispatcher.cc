#include "dispatch/detail/core.h"
#include "dispatch/dispatch.h"

namespace limpetlink {

Dispatcher::Dispatcher(DispatcherSettings settings)
    : core(std::make_unique<DispatchCore>(std::move(settings))) {}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&& other) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&& other) noexcept = default;

std::vector<DispatchAction> Dispatcher::Step(Instant now,
                                             const DispatchMessage& message) {
  return this->core->Step(now, message);
}

Instant Dispatcher::NextWakeup() const { return this->core->NextWakeup(); }

std::optional<Duration> Dispatcher::HedgeDelay(const std::string& target,
                                               const std::string& route) const {
  return this->core->HedgeDelay(target, route);
}

std::vector<UpstreamId> Dispatcher::OwnedWorkers() const {
  return this->core->OwnedWorkers();
}

}  // namespace limpetlink
