/// @file
/// @brief Record of one entry host, and broadcasts.
#pragma once

#include <cstdint>
#include <string>

#include "base/base.h"

namespace limpetlink {

/// @brief State of a host as other hosts see it. Within one incarnation, a
/// later enumerator overrides an earlier one.
enum class MemberState {
  kAlive,
  kSuspect,  ///< did not respond; counts as live until the suspicion expires
  kDead,     ///< did not respond or refute the suspicion in time
  kLeft,     ///< announced its departure
};

template <>
struct EnumTable<MemberState> {
  static constexpr EnumName<MemberState> kRows[] = {
      {MemberState::kAlive, "alive"},
      {MemberState::kSuspect, "suspect"},
      {MemberState::kDead, "dead"},
      {MemberState::kLeft, "left"}};
};

/// @brief Record of a host, as hosts exchange it.
struct Member {
  HostId id;
  std::string address;  ///< "ip:port"
  FailureDomainId failure_domain;
  std::uint64_t boot = 0;         ///< identifies the process of the host
  std::uint64_t incarnation = 0;  ///< incremented only by the host itself
  MemberState state = MemberState::kAlive;
};

/// @brief Returns whether record `a` overrides record `b` of the same host.
bool Overrides(const Member& a, const Member& b);

/// @brief Returns whether a state counts as live.
inline bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

/// @brief A small item that is disseminated to every host. A higher version of
/// the same topic and key replaces a lower one.
struct Broadcast {
  std::uint32_t topic = 0;  ///< chosen by the sending component
  std::string key;          ///< at most 128 bytes
  std::uint64_t version = 0;
  std::string bytes;  ///< at most 256 bytes
};

}  // namespace limpetlink
