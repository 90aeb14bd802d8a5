/// @file
/// @brief Helpers of the adapters' tests: a recorder of events and raw TCP
/// sockets.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "adapters/adapters.h"

namespace limpetlink::testing {

/// @brief Maximum time to wait for a condition before the test fails.
inline constexpr std::chrono::seconds kWaitTimeout{60};

/// @brief Records events and waits for conditions on them.
class Recorder {
 public:
  EventSink Sink() {
    return [this](Event event) {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->events.push_back(std::move(event));
      this->changed.notify_all();
    };
  }

  /// @brief Waits until a condition on all events received so far holds.
  /// @return whether it held before the timeout
  bool WaitFor(
      const std::function<bool(const std::vector<Event>&)>& condition) {
    std::unique_lock<std::mutex> lock(this->mutex);
    return this->changed.wait_for(lock, kWaitTimeout,
                                  [&] { return condition(this->events); });
  }

  /// @brief Waits for the nth event of a type, counted from 0, and returns it.
  template <typename Wanted>
  Wanted Next(std::size_t nth = 0) {
    Wanted found;
    const bool received = this->WaitFor([&](const std::vector<Event>& all) {
      std::size_t seen = 0;
      for (const Event& event : all) {
        const auto* const wanted = std::get_if<Wanted>(&event);
        if (wanted != nullptr && seen++ == nth) {
          found = *wanted;
          return true;
        }
      }
      return false;
    });
    REQUIRE(received);
    return found;
  }

  /// @brief Concatenates the bytes of all chunks of a call.
  std::string BodyOf(CallId id) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::string body;
    for (const Event& event : this->events) {
      const auto* const chunk = std::get_if<HttpChunk>(&event);
      if (chunk != nullptr && chunk->id == id) {
        body += chunk->bytes;
      }
    }
    return body;
  }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<Event> events;
};

/// @brief A listening socket on a free loopback port.
class Listener {
 public:
  Listener() : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const SocketAddress address = *ParseSocketAddress("127.0.0.1:0");
    REQUIRE(bind(this->descriptor, address.Get(), address.size) == 0);
    REQUIRE(listen(this->descriptor, 16) == 0);
  }
  ~Listener() { this->Close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  void Close() {
    if (this->descriptor >= 0) {
      close(this->descriptor);
      this->descriptor = -1;
    }
  }

  std::uint16_t Port() const {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(this->descriptor,
                static_cast<sockaddr*>(static_cast<void*>(&address)), &size);
    return ntohs(address.sin_port);
  }

  std::string Url(const std::string& path) const {
    return "http://127.0.0.1:" + std::to_string(this->Port()) + path;
  }

  int Accept() const {
    return accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
  }

 private:
  int descriptor;
};

/// @brief Connects to a loopback port.
inline int ConnectTo(std::uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const SocketAddress address =
      *ParseSocketAddress("127.0.0.1:" + std::to_string(port));
  REQUIRE(connect(descriptor, address.Get(), address.size) == 0);
  return descriptor;
}

inline void SendAll(int descriptor, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(descriptor, bytes.data() + sent,
                               bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return;
    }
    sent += static_cast<std::size_t>(count);
  }
}

/// @brief Reads until the text contains `mark` or the connection ends.
inline std::string ReadUntil(int descriptor, const std::string& mark) {
  std::string text;
  char block[4096];
  while (text.find(mark) == std::string::npos) {
    const ssize_t count = recv(descriptor, block, sizeof(block), 0);
    if (count <= 0) {
      break;
    }
    text.append(block, static_cast<std::size_t>(count));
  }
  return text;
}

}  // namespace limpetlink::testing
