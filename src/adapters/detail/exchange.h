/// @file
/// @brief One request of a caller and its reply, between libmicrohttpd's thread
/// and the core's.
#pragma once

#include <microhttpd.h>

#include <memory>
#include <mutex>
#include <string>

#include "ports/ports.h"

namespace limpetlink {

/// @return the socket of a connection
int SocketOf(MHD_Connection* connection);

/// @brief What the reply's reader found.
enum class ReadResult { kBytes, kSuspended, kEnd, kCut };

/// @brief State shared by the server's thread, its watcher and the core's
/// thread.
///
/// Every public function takes the exchange's own lock, and none calls out of
/// the adapter.
class Exchange {
 public:
  /// @param id the request's id
  /// @param target the request's target as sent
  Exchange(RequestId id, const std::string& target);

  /// @return the request's id
  RequestId Id() const { return this->id; }

  // ---- the server's thread, before the request is handed over ----

  /// @brief Notes the request line and headers; true for the first call.
  bool Begin(MHD_Connection* to, const char* method);

  /// @brief Adds bytes of the body.
  /// @return false when so much arrived that the connection is to be cut
  bool AddBody(const char* bytes, std::size_t size, std::size_t bound);

  /// @brief Suspends the connection and gives the request away; true for the
  /// first call.
  bool HandOver(CallerRequest* to);

  // ---- the core's orders ----

  /// @brief Starts the reply.
  void SetHead(const ReplyHead& to);

  /// @brief Adds to the reply.
  /// @return false when the bound is passed; the caller is then cut
  bool AddReply(std::string bytes, std::size_t bound);

  /// @brief Ends the reply.
  void End(bool abort);

  /// @brief Cuts the caller at the next step of its connection.
  void Cut();

  /// @brief Marks the exchange as touched since the last flush.
  /// @return whether it was not marked before
  bool Touch();

  /// @brief Goes on with the connection if it is suspended, and clears the
  /// mark.
  void Resume();

  // ---- the server's thread, for the reply ----

  /// @brief Makes the response when the core has answered.
  /// @param reader,free reader of a reply that is not whole yet; takes `holder`
  /// as its argument
  /// @return the response, or nullptr when there is none yet
  MHD_Response* MakeResponse(int* status, MHD_ContentReaderCallback reader,
                             void* holder, MHD_ContentReaderFreeCallback free,
                             bool* used_reader);

  /// @brief Suspends the connection unless it has been told to go on.
  /// @return whether the connection is to be cut
  bool WaitOrCut();

  /// @brief Takes bytes of the reply.
  /// @param taken bytes copied into `to`
  /// @param drained set when the core is to be told how much is left
  ReadResult Read(char* to, std::size_t max, std::size_t drain_step,
                  std::size_t* taken, CallerBufferDrained* drained);

  /// @brief Notes that the caller left, once.
  /// @return whether the core is to be told
  bool SetGone();

  /// @brief Notes that the connection is done with this request.
  /// @return whether the core is to be told that the caller left
  bool Finish();

  /// @return whether the request was handed over
  bool HandedOver();

  /// @return whether the body passed the bound
  bool TooLarge();

 private:
  std::size_t Unsent() const { return this->reply.size() - this->reply_offset; }

  const RequestId id;
  std::mutex mutex;
  CallerRequest request;
  MHD_Connection* connection = nullptr;
  std::size_t discarded = 0;
  bool begun = false;
  bool handed_over = false;
  bool suspended = false;
  bool touched = false;
  bool has_head = false;
  bool ended = false;
  bool abort_at_end = false;
  bool cut = false;
  bool gone = false;
  bool finished = false;
  ReplyHead head;
  std::string reply;
  std::size_t reply_offset = 0;
  std::size_t untold = 0;
};

}  // namespace limpetlink
