/// @file
/// @brief Links between entry hosts: CBOR frames over WebSocket, authenticated
/// on both sides.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "adapters/detail/address.h"

namespace limpetlink {

/// @brief How PeerLinks is set up.
struct PeerLinksSettings {
  HostId self;
  std::string listen;  ///< "ip:port"; port 0 takes a free one
  std::string secret;  ///< equal on all hosts
  std::size_t max_frame_bytes = 2U << 20U;  ///< a longer frame ends the link
  std::size_t max_queued_frames =
      256;  ///< of one link; then the oldest is dropped
  std::size_t max_buffered_bytes =
      1U << 20U;                ///< in a link's socket before frames queue
  std::size_t max_links = 512;  ///< more are refused
  std::chrono::milliseconds handshake_timeout{3000};
  std::chrono::milliseconds idle_timeout{
      60'000};  ///< after nothing was sent or came
  std::chrono::milliseconds retry_delay{
      200};  ///< after a link failed, before the next try
};

/// @brief Counts of PeerLinks since its start.
struct PeerLinksCounts {
  std::uint64_t open = 0;  ///< authenticated links now
  std::uint64_t opened = 0;
  std::uint64_t frames_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t frames_received = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t frames_dropped =
      0;  ///< oldest of a full queue, or of a link that failed
  std::uint64_t unauthenticated_rejected =
      0;  ///< wrong secret, wrong host or no proof in time
  std::uint64_t malformed_rejected =
      0;  ///< frames that are no frames; over-long ones too
};

/// @brief Sends frames to peers and receives theirs. Frames may be lost, never
/// altered or crossed.
///
/// Each side proves that it has the shared secret: HMAC-SHA-256 over its role,
/// both nonces and both host ids. One thread does all the work.
/// @note Example:
/// @code
/// PeerLinks links(settings, sink);
/// absl::Status status = links.Start();
/// links.Send(PeerSend{HostId{"b"}, "127.0.0.1:7101", frame});
/// @endcode
class PeerLinks {
 public:
  /// @param settings identity, secret and bounds
  /// @param sink takes PeerFrame events
  PeerLinks(PeerLinksSettings settings, EventSink sink);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /// @brief Listens and starts the thread.
  /// @return unavailable when it cannot listen
  absl::Status Start();

  /// @brief Cuts all links and ends the thread.
  void Stop();

  /// @return the port that is listened on, once started
  std::uint16_t Port() const;

  /// @brief Queues a frame; never blocks. Any thread.
  void Send(PeerSend send);

  /// @return counts since the start
  PeerLinksCounts Counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace limpetlink
