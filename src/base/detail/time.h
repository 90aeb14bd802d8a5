/// @file
/// @brief Time types of the core, which never reads a clock itself.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace limpetlink {

/// @brief Clock tag without now(); each step passes the current time to the
/// core.
struct CoreClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<CoreClock, duration>;
  static constexpr bool is_steady = true;
};

/// @brief A span of time in microseconds.
using Duration = CoreClock::duration;
/// @brief A point in the core's monotonic time.
using Instant = CoreClock::time_point;

/// @brief The latest representable time; denotes "never".
inline constexpr Instant kNever = Instant::max();

/// @brief Converts a duration to seconds.
/// @return seconds, with a fraction
inline double ToSeconds(Duration value) {
  return std::chrono::duration<double>(value).count();
}

/// @brief Formats a duration as whole milliseconds, for log lines.
inline std::string MillisecondsText(Duration value) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

/// @brief Converts seconds to a duration.
/// @param value seconds, with a fraction
/// @return the duration, rounded towards zero to a microsecond
inline Duration FromSeconds(double value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(value));
}

}  // namespace limpetlink
