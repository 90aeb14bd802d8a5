/// @file
/// @brief The entry host's process: the core on its adapters, until it is told
/// to end.
#pragma once

#include <string>

#include "base/base.h"
#include "entry/entry.h"
#include "ports/ports.h"

namespace limpetlink {

/// @brief Settings of limpet-entry.
struct EntryProcessSettings {
  EntryHostSettings host;
  std::string listen;       ///< callers' address, "ip:port"
  std::string peer_listen;  ///< address for peers, "ip:port"; empty: the host's
                            ///< peer address
  std::string peer_secret;  ///< equal on all hosts
  std::uint64_t max_body_bytes = 1U << 20U;
  LogLevel log_level = LogLevel::kInfo;
};

/// @brief Serves until SIGTERM or SIGINT, then finishes all that is in
/// progress. A second signal
///        ends the process at once.
/// @return 0 after a whole shutdown, 1 when it could not listen or was ended at
/// once
int RunEntryProcess(EntryProcessSettings settings);

}  // namespace limpetlink
