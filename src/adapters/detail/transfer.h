/// @file
/// @brief One HTTP call made with libcurl.
#pragma once

#include <curl/curl.h>

#include <memory>
#include <string>

#include "adapters/detail/address.h"

namespace limpetlink {

/// @brief Frees a libcurl handle.
struct EasyCleanup {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};

/// @brief Frees a libcurl list.
struct ListCleanup {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

/// @brief One call: its request, its libcurl handle and the part of the
/// response received so far. Not thread-safe; the client uses it on its own
/// thread.
class Transfer {
 public:
  /// @param call the call to make
  /// @param sink receives the events and must outlive the transfer
  Transfer(HttpCall call, const EventSink* sink);
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;

  /// @return the easy handle to add to the multi handle
  CURL* Easy() const { return this->easy.get(); }

  /// @return the call's id
  CallId Id() const { return this->call.id; }

  /// @brief Converts libcurl's result to the end of the call.
  /// @param code libcurl's result
  HttpEnd ToHttpEnd(CURLcode code) const;

  /// @return whether a second send of the request by libcurl was blocked
  bool ResendBlocked() const { return this->sends > 1; }

  /// @brief Pauses or resumes reading the response.
  void Pause(bool paused);

 private:
  static std::size_t OnHeader(char* bytes, std::size_t size, std::size_t count,
                              void* self);
  static std::size_t OnBody(char* bytes, std::size_t size, std::size_t count,
                            void* self);
  static int BeforeSend(void* self, char* local_ip, char* remote_ip,
                        int local_port, int remote_port);

  void SetRequest();
  void SetLimits();
  void HandleHeaderLine(std::string_view line);

  HttpCall call;
  const EventSink* sink;
  std::unique_ptr<CURL, EasyCleanup> easy;
  std::unique_ptr<curl_slist, ListCleanup> header_lines;
  HttpHead head;
  std::uint64_t head_bytes = 0;  ///< received, of all heads
  std::uint64_t body_bytes = 0;  ///< received
  bool head_emitted = false;
  int sends = 0;
};

}  // namespace limpetlink
