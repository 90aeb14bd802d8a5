/// @file
/// @brief The process of an entry host: runs the core on its adapters until a
/// signal stops it.
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
  std::string peer_listen;  ///< address to bind for peers, "ip:port"; empty:
                            ///< the host's peer address
  std::string peer_secret;  ///< shared by all hosts
  std::uint64_t max_body_bytes = 1U << 20U;
  LogLevel log_level = LogLevel::kInfo;
};

/// @brief Serves callers until SIGTERM or SIGINT, then completes the requests
/// in progress. A second signal stops the process immediately.
/// @return 0 after a complete shutdown, 1 if it could not listen or was stopped
/// immediately
int RunEntryProcess(EntryProcessSettings settings);

}  // namespace limpetlink
