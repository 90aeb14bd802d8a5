/// @file
/// @brief Links between entry hosts: CBOR frames over mutually authenticated
/// WebSocket connections.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "adapters/detail/address.h"

namespace limpetlink {

/// @brief Settings of PeerLinks.
struct PeerLinksSettings {
  HostId self;
  std::string listen;  ///< "ip:port"; port 0 selects a free port
  std::string secret;  ///< must be equal on all hosts
  std::size_t max_frame_bytes = 2U << 20U;  ///< a longer frame closes the link
  /// Maximum number of queued frames of a link; beyond it the oldest frame is
  /// dropped.
  std::size_t max_queued_frames = 256;
  /// Number of unsent bytes in a link's socket beyond which frames are queued.
  std::size_t max_buffered_bytes = 1U << 20U;
  std::size_t max_links = 512;  ///< further links are rejected
  std::chrono::milliseconds handshake_timeout{3000};
  /// Time without sent or received frames after which a link is closed.
  std::chrono::milliseconds idle_timeout{60'000};
  /// Time after a failed link before the next connection attempt.
  std::chrono::milliseconds retry_delay{200};
};

/// @brief Counters of PeerLinks since its start.
struct PeerLinksCounts {
  std::uint64_t open = 0;  ///< authenticated links now
  std::uint64_t opened = 0;
  std::uint64_t frames_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t frames_received = 0;
  std::uint64_t bytes_received = 0;
  /// Oldest frames of full queues, and frames of links that failed.
  std::uint64_t frames_dropped = 0;
  /// Peers with a wrong secret, the wrong host or no proof in time, and links
  /// over PeerLinksSettings::max_links.
  std::uint64_t unauthenticated_rejected = 0;
  /// Messages that are not binary.
  std::uint64_t malformed_rejected = 0;
};

/// @brief Sends frames to peers and receives theirs. Frames may be lost, but
/// are never altered or delivered to another peer.
///
/// Each side proves that it knows the shared secret by an HMAC-SHA-256 over its
/// role, both nonces and both host ids. All work is done on one thread.
/// @note Example:
/// @code
/// PeerLinks links(settings, sink);
/// absl::Status status = links.Start();
/// links.Send(PeerSend{HostId{"b"}, "127.0.0.1:7101", frame});
/// @endcode
class PeerLinks {
 public:
  /// @param settings identity, secret and limits
  /// @param sink receives PeerFrame events
  PeerLinks(PeerLinksSettings settings, EventSink sink);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /// @brief Listens and starts the thread.
  /// @return request.101 for an invalid address, or absl::UnavailableError when
  /// the address cannot be listened on
  absl::Status Start();

  /// @brief Closes all links and joins the thread.
  void Stop();

  /// @return the port on which the host listens; 0 unless started
  std::uint16_t Port() const;

  /// @brief Queues a frame without blocking. Thread-safe.
  void Send(PeerSend send);

  /// @return the counters since the start
  PeerLinksCounts Counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace limpetlink
