#include "entry/entry.h"

namespace limpetlink {

class EntryHost::Impl {
 public:
  explicit Impl(EntryHostSettings settings) : settings(std::move(settings)) {}
  EntryHostSettings settings;
  bool draining = false;
};

EntryHost::EntryHost(EntryHostSettings settings)
    : impl(std::make_unique<Impl>(std::move(settings))) {}
EntryHost::~EntryHost() = default;
Actions EntryHost::Start(Instant /*now*/) { return {}; }
Actions EntryHost::Step(Instant /*now*/, const Event& /*event*/) { return {}; }
Actions EntryHost::Tick(Instant /*now*/) { return {}; }
Actions EntryHost::Drain(Instant /*now*/) {
  this->impl->draining = true;
  return {};
}
Instant EntryHost::NextWakeup() const { return kNever; }
bool EntryHost::Drained() const { return this->impl->draining; }

}  // namespace limpetlink
