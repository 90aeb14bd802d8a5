/// @file
/// @brief What is known of one entry host.
#pragma once

#include <cstdint>
#include <string>

#include "base/base.h"

namespace limpetlink {

/// @brief State of a host as others see it; for one incarnation a later row
/// overrides an earlier one.
enum class MemberState {
  kAlive,
  kSuspect,  ///< did not answer; still counts as live until the time passes
  kDead,     ///< did not answer and did not refute the suspicion in time
  kLeft,     ///< announced that it leaves
};

template <>
struct EnumTable<MemberState> {
  static constexpr EnumName<MemberState> kRows[] = {
      {MemberState::kAlive, "alive"},
      {MemberState::kSuspect, "suspect"},
      {MemberState::kDead, "dead"},
      {MemberState::kLeft, "left"}};
};

/// @brief One host's record, as it spreads.
struct Member {
  HostId id;
  std::string address;             ///< "ip:port"
  FailureDomainId failure_domain;  ///< where it stands
  std::uint64_t boot = 0;          ///< differs for each start of the process
  std::uint64_t incarnation = 0;   ///< raised only by the host itself
  MemberState state = MemberState::kAlive;
};

/// @brief Whether record `a` overrides record `b` of the same host.
bool Overrides(const Member& a, const Member& b);

/// @brief Whether a state counts as live.
inline bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

/// @brief A small item that every host is to learn. A higher version of the
/// same topic and key replaces a lower one.
struct Broadcast {
  std::uint32_t topic = 0;  ///< chosen by the user of the broadcast
  std::string key;          ///< at most 128 bytes
  std::uint64_t version = 0;
  std::string bytes;  ///< at most 256 bytes
};

}  // namespace limpetlink
