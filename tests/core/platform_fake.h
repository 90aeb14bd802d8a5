/// @file
/// @brief The platform's object API and host list in virtual time.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tests/core/network.h"

namespace limpetlink::testing {

/// @brief Objects with versions, conditional writes, watches and lists; a host
/// list.
class PlatformFake {
 public:
  /// @brief One row of the host list.
  struct Host {
    std::string id;
    std::string address;
    std::string role;
    std::string state;
  };

  /// @param network the fake is its server "platform"
  PlatformFake(Network& network, Timeline& timeline);

  /// @brief Writes an object as an operator's tool would, without a condition.
  /// @return its new version
  std::uint64_t Write(const std::string& key, std::string bytes);

  /// @return an object's version; 0 when absent
  std::uint64_t VersionOf(const std::string& key) const;

  /// @brief The next write takes effect and its answer is lost.
  void DropNextWriteResponse() { this->drop_next_write_response = true; }

  /// @brief Answers 503 to everything.
  void SetOutage(bool on) { this->outage = on; }

  std::vector<Host> hosts;
  std::uint64_t writes = 0;  ///< calls that asked for a write

 private:
  struct Object {
    std::uint64_t version = 0;
    std::string bytes;
  };
  struct Watch {
    ExchangeId exchange;
    std::string key;
    std::uint64_t version = 0;
  };

  void OnRequest(ExchangeId id, const HttpCall& call);
  void Get(ExchangeId id, const std::string& key, const std::string& query);
  void Put(ExchangeId id, const std::string& key, const HttpCall& call);
  void Delete(ExchangeId id, const std::string& key);
  void List(ExchangeId id, const std::string& kind, const std::string& query);
  void ListHosts(ExchangeId id);
  void CompleteWatches(const std::string& key);
  void RespondWithObject(ExchangeId id, const Object& object);

  Network& network;
  Timeline& timeline;
  bool outage = false;
  bool drop_next_write_response = false;
  std::map<std::string, Object> objects;  ///< by "kind/name"
  std::vector<Watch> watches;
};

}  // namespace limpetlink::testing
