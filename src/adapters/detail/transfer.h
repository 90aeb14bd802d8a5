/// @file
/// @brief One HTTP call in libcurl's hands.
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

/// @brief One call: its request, its handle and what of the answer has come.
/// Used by the client's
///        thread only.
class Transfer {
 public:
  /// @param call the order
  /// @param sink takes the events; outlives the transfer
  Transfer(HttpCall call, const EventSink* sink);
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;

  /// @return the handle to give to the multi handle
  CURL* Easy() const { return this->easy.get(); }

  /// @return the call's id
  CallId Id() const { return this->call.id; }

  /// @brief Says how the call ended.
  /// @param code libcurl's result
  HttpEnd EndOf(CURLcode code) const;

  /// @return whether the library wanted to send the request a second time
  bool RepeatRefused() const { return this->sends > 1; }

  /// @brief Stops or goes on reading.
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
  void TakeHeaderLine(std::string_view line);

  HttpCall call;
  const EventSink* sink;
  std::unique_ptr<CURL, EasyCleanup> easy;
  std::unique_ptr<curl_slist, ListCleanup> list;
  HttpHead head;
  bool head_told = false;
  int sends = 0;
};

}  // namespace limpetlink
