/// @file
/// @brief Identifiers with a distinct type for each kind of entity.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace limpetlink {

/// @brief A text identifier typed by the kind of entity that it identifies.
/// @tparam Tag an empty type that distinguishes the kinds of identifiers
template <typename Tag>
struct TextId {
  std::string value;

  friend bool operator==(const TextId& a, const TextId& b) {
    return a.value == b.value;
  }
  friend bool operator!=(const TextId& a, const TextId& b) {
    return a.value != b.value;
  }
  friend bool operator<(const TextId& a, const TextId& b) {
    return a.value < b.value;
  }
};

/// @brief A numeric identifier typed by the kind of entity that it identifies;
/// 0 identifies nothing.
/// @tparam Tag an empty type that distinguishes the kinds of identifiers
template <typename Tag>
struct NumberId {
  std::uint64_t value = 0;

  friend bool operator==(NumberId a, NumberId b) { return a.value == b.value; }
  friend bool operator!=(NumberId a, NumberId b) { return a.value != b.value; }
  friend bool operator<(NumberId a, NumberId b) { return a.value < b.value; }
};

/// @brief An entry host.
using HostId = TextId<struct HostTag>;
/// @brief A model worker or a worker of an application service.
using UpstreamId = TextId<struct UpstreamTag>;
/// @brief An organisation whose callers use the system.
using OrganisationId = TextId<struct OrganisationTag>;
/// @brief A failure domain; every host and upstream belongs to one.
using FailureDomainId = TextId<struct FailureDomainTag>;
/// @brief A generation run by an engine. The entry host chooses the identifier,
/// which is never reused.
using GenerationId = TextId<struct GenerationTag>;
/// @brief A caller's request, unique within one entry host.
using RequestId = NumberId<struct RequestTag>;
/// @brief An HTTP call, unique within the entry host that makes it.
using CallId = NumberId<struct CallTag>;

}  // namespace limpetlink

/// @brief Hash of a text identifier, for unordered containers.
template <typename Tag>
struct std::hash<limpetlink::TextId<Tag>> {
  std::size_t operator()(const limpetlink::TextId<Tag>& id) const {
    return std::hash<std::string>()(id.value);
  }
};

/// @brief Hash of a numeric identifier, for unordered containers.
template <typename Tag>
struct std::hash<limpetlink::NumberId<Tag>> {
  std::size_t operator()(limpetlink::NumberId<Tag> id) const {
    return std::hash<std::uint64_t>()(id.value);
  }
};
