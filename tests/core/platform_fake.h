/// @file
/// @brief Fake of the platform's object API and host list in virtual time.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tests/core/network.h"

namespace limpetlink::testing {

/// @brief Fake platform with versioned objects, conditional writes, watches,
/// object lists and a host list.
class PlatformFake {
 public:
  /// @brief One row of the host list.
  struct Host {
    std::string id;
    std::string address;
    std::string role;
    std::string state;
  };

  /// @param network network that the fake joins as server "platform"
  /// @param timeline virtual clock for the timeouts of watches
  PlatformFake(Network& network, Timeline& timeline);

  /// @brief Writes an object unconditionally, like an operator's tool.
  /// @return the new version
  std::uint64_t Write(const std::string& key, std::string bytes);

  /// @return an object's version; 0 if it does not exist
  std::uint64_t VersionOf(const std::string& key) const;

  /// @brief Applies the next write and breaks the connection before its
  /// response.
  void DropNextWriteResponse() { this->drop_next_write_response = true; }

  /// @brief Enables or disables an outage, in which every response is 503.
  void SetOutage(bool on) { this->outage = on; }

  std::vector<Host> hosts;
  std::uint64_t writes =
      0;  ///< write requests received, including rejected ones

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
