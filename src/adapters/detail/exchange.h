/// @file
/// @brief One request of a caller and its reply, shared by the threads of
/// libmicrohttpd and the core.
#pragma once

#include <microhttpd.h>

#include <memory>
#include <mutex>
#include <string>

#include "ports/ports.h"

namespace limpetlink {

/// @return the socket of a connection, or -1
int SocketOf(MHD_Connection* connection);

/// @brief Result of reading the reply's buffer.
enum class ReadResult {
  kBytes,      ///< bytes were copied
  kSuspended,  ///< no bytes are available; the connection was suspended
  kEnd,        ///< the reply is complete
  kCut         ///< the connection is to be closed without completing the reply
};

/// @brief State shared by the server's thread, its watcher and the core's
/// thread.
///
/// Every public function locks the exchange's mutex, and none calls code
/// outside the adapter.
class Exchange {
 public:
  /// @param id the id of the request
  /// @param target the request target as sent
  Exchange(RequestId id, const std::string& target);

  /// @return the id of the request
  RequestId Id() const { return this->id; }

  // ---- Server's thread, before the request is passed to the core ----

  /// @brief Stores the request line and headers.
  /// @return whether this is the first call
  bool Begin(MHD_Connection* to, const char* method);

  /// @brief Appends bytes to the body.
  /// @param limit maximum size of the body in bytes; a longer body is dropped
  /// @return false when so many bytes arrived that the connection is to be
  /// closed
  bool AppendBody(const char* bytes, std::size_t size, std::size_t limit);

  /// @brief Suspends the connection and moves the request out.
  /// @return whether this is the first call
  bool HandOver(CallerRequest* to);

  // ---- Actions of the core ----

  /// @brief Starts the reply.
  void SetHead(const ReplyHead& to);

  /// @brief Appends bytes to the reply.
  /// @param limit maximum number of unsent bytes
  /// @return false when the limit is exceeded, which closes the connection
  bool AppendReply(std::string bytes, std::size_t limit);

  /// @brief Ends the reply.
  /// @param abort whether to close the connection without completing the reply
  void End(bool abort);

  /// @brief Marks the connection to be closed when it is next processed.
  void Cut();

  /// @brief Marks the exchange as changed since the last flush.
  /// @return whether it was unmarked before
  bool MarkChanged();

  /// @brief Clears the mark and resumes the connection if it is suspended.
  void Resume();

  // ---- Server's thread, for the reply ----

  /// @brief Creates the response once the core has started its reply.
  /// @param reader,free callbacks for a reply that is not complete yet; they
  /// receive `holder` as their argument
  /// @param used_reader set to whether the response uses the callbacks
  /// @return the response, or nullptr when the reply has not started
  MHD_Response* MakeResponse(int* status, MHD_ContentReaderCallback reader,
                             void* holder, MHD_ContentReaderFreeCallback free,
                             bool* used_reader);

  /// @brief Suspends the connection unless it is to be closed.
  /// @return whether the connection is to be closed
  bool SuspendUnlessCut();

  /// @brief Moves bytes of the reply out of its buffer.
  /// @param copied set to the number of bytes copied to `to`
  /// @param drained set when the core is to be notified of the remaining bytes
  ReadResult Read(char* to, std::size_t max, std::size_t drain_step,
                  std::size_t* copied, CallerBufferDrained* drained);

  /// @brief Records that the caller disconnected.
  /// @return whether the core is to be notified, at most once
  bool SetDisconnected();

  /// @brief Records that the connection has finished this request.
  /// @return whether the core is to be notified that the caller disconnected
  bool Finish();

  /// @return whether the request was passed to the core
  bool HandedOver();

  /// @return whether the body exceeded the limit
  bool BodyTooLarge();

 private:
  std::size_t Unsent() const { return this->reply.size() - this->reply_offset; }

  const RequestId id;
  std::mutex mutex;
  CallerRequest request;
  MHD_Connection* connection = nullptr;
  std::size_t discarded = 0;
  bool started = false;
  bool handed_over = false;
  bool suspended = false;
  bool changed = false;
  bool has_head = false;
  bool ended = false;
  bool abort_at_end = false;
  bool cut = false;
  bool disconnected = false;
  bool finished = false;
  ReplyHead head;
  std::string reply;
  std::size_t reply_offset = 0;
  std::size_t unreported = 0;  ///< bytes sent since the last notification
};

}  // namespace limpetlink
