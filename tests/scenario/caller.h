/// @file
/// @brief Sends a request and reads its response in the background.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "ports/ports.h"
#include "streams/streams.h"

namespace limpetlink::scenario {

/// @brief Resume token secret shared by all entry hosts of a scenario.
inline constexpr char kResumeSecret[] = "scenario-resume-secret";
/// @brief Organisation of all scenario callers.
inline constexpr char kOrganisation[] = "org";
/// @brief Key of kOrganisation.
inline constexpr char kCallerKey[] = "scenario-caller-key";

/// @brief A request to send.
struct CallerCall {
  std::string method;
  std::string url;
  Headers headers;
  std::string body;
  std::vector<std::string> tokens;  ///< received before this call resumes
                                    ///< the stream
  bool retries =
      false;  ///< repeats after Retry-After while the outcome is unknown
};

/// @brief What a caller has received so far.
struct CallerView {
  bool ended = false;
  bool connected = false;
  int status = 0;
  bool done = false;  ///< a stream's "[DONE]" arrived
  std::string last_event_id;
  std::vector<std::string> tokens;  ///< of the current generation
  std::uint32_t restarts = 0;
  nlohmann::json problem;  ///< of a rejection or aborted stream, or null
  std::string body;        ///< raw bytes of the response
};

/// @brief Sends a request on its own thread and stores the response.
class Caller {
 public:
  /// @brief Starts sending the request.
  explicit Caller(CallerCall call);
  /// @brief Disconnects and waits for the thread.
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  /// @return a snapshot of the response received so far
  CallerView View() const;

  /// @brief Closes the connection.
  void Disconnect() { this->disconnected = true; }

  /// @brief Handles bytes of the response; called by the HTTP library.
  /// @return false if the transfer is to be aborted
  bool OnBody(std::string_view bytes, int status);

  /// @return true if Disconnect() was called
  bool Disconnected() const { return this->disconnected; }

 private:
  void Run(const CallerCall& call);
  void RunOnce(const CallerCall& call);
  void OnEvent(const SseEvent& event);
  void Finish(int status, bool connected);
  std::optional<double> TakeRetryDelay();

  mutable std::mutex mutex;
  CallerView view;
  SseDecoder decoder;
  std::atomic<bool> disconnected{false};
  std::thread thread;
};

/// @brief Returns true if the tokens are those of one generation, from its
/// first token on, without gaps, duplicates or reordering. The generation is
/// read from the resume token.
bool TokensInOrder(const CallerView& view);

/// @brief Returns the generation named in the last resume token, or an empty
/// string.
std::string GenerationOf(const CallerView& view);

/// @brief Renders a view as an observation of the scenario language.
/// @return an object with the members ended, status, answer, tokens, in_order
/// and restarts, and with code, outcome and retry_after if there is a problem.
/// The member answer is "whole", "incomplete" (stream ended with a problem),
/// "refused", "cut", "none", or "foreign" (an error without problem details).
nlohmann::json Observe(const CallerView& view);

}  // namespace limpetlink::scenario
