/// @file
/// @brief Fake of the metadata store for gateway hosts in virtual time.
#pragma once

#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "gateway/gateway.h"

namespace limpetlink {

/// @brief A metadata store that answers lists and watches. Its responses are
/// "REVISION|NAME,VERSION,DELETED,BYTES|..."; status 410 when the history is
/// gone.
class FakeStore {
 public:
  struct Object {
    std::uint64_t version = 0;
    std::string bytes;
  };
  struct Change {
    std::uint64_t revision = 0;
    std::string kind;
    std::string name;
    std::string bytes;
    bool deleted = false;
  };

  void Write(const std::string& kind, const std::string& name,
             const std::string& bytes) {
    ++this->revision;
    this->objects[kind][name] = {this->revision, bytes};
    this->changes.push_back({this->revision, kind, name, bytes, false});
  }

  void Delete(const std::string& kind, const std::string& name) {
    ++this->revision;
    this->objects[kind].erase(name);
    this->changes.push_back({this->revision, kind, name, "", true});
  }

  static StoreDialect Dialect() {
    StoreDialect dialect;
    dialect.target = [](const StoreRequest& request) {
      if (request.verb == StoreVerb::kPut ||
          request.verb == StoreVerb::kDelete) {
        return "/" + request.key.kind + " write " + request.key.name;
      }
      const bool list = request.verb == StoreVerb::kListRecords;
      return "/" + request.key.kind + (list ? " list " : " watch ") +
             std::to_string(request.version) + " " +
             std::to_string(
                 std::chrono::duration_cast<std::chrono::milliseconds>(
                     request.wait)
                     .count()) +
             (request.allow_stale ? " stale" : " linearizable");
    };
    dialect.read = [](StoreVerb verb, StoreResponse* response,
                      StoreResult* result) {
      result->era = std::stoull(*FindHeader(response->headers, "era"));
      if (verb == StoreVerb::kPut || verb == StoreVerb::kDelete) {
        return StoreStatus::kOk;
      }
      if (response->status == 410) {
        return StoreStatus::kHistoryGone;
      }
      std::istringstream rows(response->body);
      std::string row;
      std::getline(rows, row, '|');
      result->revision = std::stoull(row);
      while (std::getline(rows, row, '|')) {
        std::istringstream columns(row);
        ObjectRecord record;
        std::string version;
        std::string deleted;
        std::getline(columns, record.name, ',');
        std::getline(columns, version, ',');
        std::getline(columns, deleted, ',');
        record.version = std::stoull(version);
        record.deleted = deleted == "1";
        // Configurations have increasing versions of their own.
        std::getline(columns, record.bytes);
        result->records.push_back(record);
      }
      return StoreStatus::kOk;
    };
    return dialect;
  }

  /// @brief Executes a write of the dialect.
  /// @return whether the URL is that of a write
  bool Execute(const HttpCall& call) {
    std::istringstream words(call.url.substr(call.url.rfind('/') + 1));
    std::string kind;
    std::string verb;
    std::string name;
    words >> kind >> verb >> name;
    if (verb != "write") {
      return false;
    }
    if (call.method == "DELETE") {
      this->Delete(kind, name);
    } else if (this->objects[kind].count(name) == 0) {
      this->Write(kind, name, call.body);
    }
    return true;
  }

  /// @param age of the call
  /// @return the response, or nullopt while a watch has nothing to report
  std::optional<std::string> Respond(const std::string& url,
                                     Duration age) const {
    std::istringstream words(url.substr(url.rfind('/') + 1));
    std::string kind;
    std::string verb;
    std::uint64_t from = 0;
    std::int64_t wait_ms = 0;
    words >> kind >> verb >> from >> wait_ms;
    std::string body = std::to_string(this->revision);
    bool any = false;
    if (verb == "list") {
      if (this->objects.count(kind) > 0) {
        for (const auto& [name, object] : this->objects.at(kind)) {
          body += "|" + name + "," + std::to_string(object.version) + ",0," +
                  object.bytes;
        }
      }
      return body;
    }
    if (from < this->first_revision || from > this->revision) {
      return std::string();  // the history is gone
    }
    for (const Change& change : this->changes) {
      if (change.kind == kind && change.revision > from) {
        body += "|" + change.name + "," + std::to_string(change.revision) +
                (change.deleted ? ",1," : ",0,") + change.bytes;
        any = true;
      }
    }
    const bool waits = !any && age < std::chrono::milliseconds(wait_ms);
    return waits ? std::nullopt : std::optional<std::string>(body);
  }

  /// @brief Replaces the contents by an earlier copy.
  void Restore(const FakeStore& copy) {
    const std::uint64_t next_era = this->era + 1;
    *this = copy;
    this->era = next_era;
    // The history of the copy is gone as well.
    this->changes.clear();
    this->first_revision = this->revision;
  }

  std::uint64_t era = 1;
  std::uint64_t revision = 10;
  std::uint64_t first_revision = 0;  ///< that a watch may start from
  std::map<std::string, std::map<std::string, Object>> objects;
  std::vector<Change> changes;
  bool is_down = false;
};

}  // namespace limpetlink
