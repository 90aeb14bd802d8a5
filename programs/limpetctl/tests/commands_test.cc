#include "programs/limpetctl/commands.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <map>
#include <sstream>

namespace limpetlink {
namespace {

/// @brief The platform's object API in memory. It can lose responses to writes
/// of fleet documents or be unreachable.
class MemoryPlatform {
 public:
  HttpResponse Exchange(const HttpCall& call) {
    if (this->unreachable) {
      return {HttpEnd::kNotConnected, 0, {}, {}};
    }
    constexpr std::string_view kObjects = "/v1/objects/";
    const std::string path = call.url.substr(call.url.find("/v1/"));
    const std::string key = path.substr(kObjects.size());
    HttpResponse response =
        call.method == "PUT" ? this->Put(key, call) : this->Get(key);
    if (call.method == "PUT" && this->lost_responses > 0 &&
        key.rfind("fleet/", 0) == 0) {
      --this->lost_responses;
      return {HttpEnd::kCut, 0, {}, {}};
    }
    return response;
  }

  struct Object {
    std::uint64_t version = 0;
    std::string bytes;
  };

  std::map<std::string, Object> objects;
  int lost_responses = 0;
  bool unreachable = false;

 private:
  static HttpResponse Response(int status, const Object& object) {
    const std::string tag = "\"" + std::to_string(object.version) + "\"";
    return {HttpEnd::kComplete, status, {{"ETag", tag}}, object.bytes};
  }

  HttpResponse Get(const std::string& key) {
    const auto found = this->objects.find(key);
    if (found == this->objects.end()) {
      return {HttpEnd::kComplete, 404, {}, {}};
    }
    return Response(200, found->second);
  }

  HttpResponse Put(const std::string& key, const HttpCall& call) {
    Object& object = this->objects[key];
    const std::string* match = FindHeader(call.headers, "If-Match");
    const bool absent = FindHeader(call.headers, "If-None-Match") != nullptr;
    const std::string tag = "\"" + std::to_string(object.version) + "\"";
    const bool precondition_met =
        match != nullptr ? *match == tag : !absent || object.version == 0;
    if (!precondition_met) {
      return {HttpEnd::kComplete, 412, {{"ETag", tag}}, {}};
    }
    object.bytes = call.body;
    ++object.version;
    return Response(object.version == 1 ? 201 : 200, {object.version, {}});
  }
};

/// @brief Runs commands against a MemoryPlatform in virtual time.
class CtlCommands {
 protected:
  CtlCommands() {
    this->context.settings.platform = "http://127.0.0.1:1";
    this->context.settings.author = "ada";
    this->context.settings.fleet = "swan-coast";
    this->context.exchange = [this](const HttpCall& call) {
      return this->platform.Exchange(call);
    };
    this->context.hooks.now = [this] { return this->now; };
    this->context.hooks.sleep = [this](Instant until) {
      this->now = std::max(until, this->now + std::chrono::milliseconds(1));
    };
  }

  CommandResult Run(const std::string& command,
                    std::vector<std::string> operands) {
    this->context.operands = std::move(operands);
    return RunCommand(command, this->context);
  }

  static std::string Example(const std::string& name) {
    return std::string(LIMPETLINK_EXAMPLES) + "/" + name;
  }

  /// @brief Writes a copy of the example with one replacement to the working
  /// directory.
  /// @return the name of the file
  static std::string WriteModifiedExample(const std::string& name,
                                          const std::string& from,
                                          const std::string& to) {
    std::ifstream file(Example("swan-coast.json"));
    std::ostringstream text;
    text << file.rdbuf();
    std::string changed = text.str();
    const std::size_t position = changed.find(from);
    REQUIRE(position != std::string::npos);
    changed.replace(position, from.size(), to);
    std::ofstream(name) << changed;
    return name;
  }

  std::uint64_t Version() {
    return this->platform.objects["fleet/swan-coast"].version;
  }

  MemoryPlatform platform;
  CtlContext context;
  Instant now{};
};

TEST_CASE_METHOD(CtlCommands,
                 "validate, valid and invalid file, are distinguished") {
  const CommandResult valid =
      this->Run("validate", {Example("swan-coast.json")});
  CHECK(valid.code == ExitCode::kOk);
  const std::string invalid =
      WriteModifiedExample("ctl_invalid.json", "\"perth\"", "\"no region\"");
  const CommandResult errors = this->Run("validate", {invalid});
  CHECK(errors.code == ExitCode::kFailed);
  CHECK(errors.json["faults"][0]["pointer"] == "/failure_domains/0/region");
  CHECK(this->Run("validate", {"no_such_file.json"}).code == ExitCode::kFailed);
  std::remove(invalid.c_str());
}

TEST_CASE_METHOD(CtlCommands,
                 "invalid arguments, of any command, exit with 2") {
  CHECK(this->Run("", {}).code == ExitCode::kUsage);
  CHECK(this->Run("frobnicate", {}).code == ExitCode::kUsage);
  CHECK(this->Run("apply", {}).code == ExitCode::kUsage);
  CHECK(this->Run("diff", {"a", "b", "c"}).code == ExitCode::kUsage);
  CHECK(this->Run("drain", {}).code == ExitCode::kUsage);
  this->context.settings.fleet.clear();
  CHECK(this->Run("export", {}).code == ExitCode::kUsage);
}

TEST_CASE_METHOD(CtlCommands, "apply, first time, creates the document") {
  const CommandResult result = this->Run("apply", {Example("swan-coast.json")});
  CHECK(result.code == ExitCode::kOk);
  CHECK(result.json["version"] == 1);
  const CommandResult exported = this->Run("export", {});
  CHECK(exported.code == ExitCode::kOk);
  CHECK(exported.json["document"]["author"] == "ada");
}

TEST_CASE_METHOD(CtlCommands, "apply, response lost, is resolved by reading") {
  this->platform.lost_responses = 1;
  CHECK(this->Run("apply", {Example("swan-coast.json")}).code == ExitCode::kOk);
  CHECK(this->Version() == 1);
}

TEST_CASE_METHOD(CtlCommands,
                 "apply, repeated with the same file, changes nothing") {
  this->Run("apply", {Example("swan-coast.json")});
  const CommandResult again = this->Run("apply", {Example("swan-coast.json")});
  CHECK(again.code == ExitCode::kOk);
  CHECK(this->Version() == 1);
}

TEST_CASE_METHOD(CtlCommands,
                 "apply, outdated base version, reports the conflict") {
  this->Run("apply", {Example("swan-coast.json")});
  const std::string other = WriteModifiedExample(
      "ctl_other.json", "\"weight\": 4.0", "\"weight\": 5.0");
  const CommandResult conflict = this->Run("apply", {other});
  CHECK(conflict.code == ExitCode::kConflict);
  CHECK(conflict.json["current_version"] == 1);
  REQUIRE(conflict.json["differences"].size() == 1);
  CHECK(conflict.json["differences"][0]["subject"] ==
        "organisations/panel-perth");
  CHECK(conflict.json["differences"][0]["after"] == "5.0");
  CHECK(this->Version() == 1);
  SECTION("with the current base version, it is applied") {
    this->context.settings.base_version = 1;
    CHECK(this->Run("apply", {other}).code == ExitCode::kOk);
    const CommandResult history = this->Run("history", {});
    REQUIRE(history.json["revisions"].size() == 2);
    CHECK(history.json["revisions"][0]["version"] == 2);
    CHECK(history.json["revisions"][1]["author"] == "ada");
    CHECK(this->Run("diff", {other}).json["differences"].empty());
  }
  std::remove(other.c_str());
}

TEST_CASE_METHOD(CtlCommands, "apply, platform unreachable, fails") {
  this->platform.unreachable = true;
  const CommandResult result = this->Run("apply", {Example("swan-coast.json")});
  CHECK(result.code == ExitCode::kFailed);
  CHECK(result.json["outcome"] == "not_applied");
}

TEST_CASE_METHOD(CtlCommands,
                 "status, hosts with different versions, are not uniform") {
  this->context.settings.hosts = "127.0.0.1:1,127.0.0.1:2,127.0.0.1:3";
  this->context.exchange = [](const HttpCall& call) -> HttpResponse {
    const char port = call.url[std::string("http://127.0.0.1:").size()];
    if (port == '3') {
      return {HttpEnd::kNotConnected, 0, {}, {}};
    }
    const std::string version(1, port);
    return {HttpEnd::kComplete,
            200,
            {},
            R"({"host":"h","ready":true,"fleet_version":)" + version + "}"};
  };
  const CommandResult result = this->Run("status", {});
  CHECK(result.code == ExitCode::kFailed);
  CHECK(result.json["uniform"] == false);
  CHECK(result.json["hosts"][1]["status"]["fleet_version"] == 2);
  CHECK(result.json["hosts"][2]["answered"] == false);
}

TEST_CASE_METHOD(CtlCommands,
                 "status, no hosts given, queries the listed hosts") {
  std::vector<std::string> requested_urls;
  this->context.exchange =
      [&requested_urls](const HttpCall& call) -> HttpResponse {
    requested_urls.push_back(call.url);
    const bool list = call.url.find("/v1/hosts") != std::string::npos;
    return {HttpEnd::kComplete,
            200,
            {},
            list ? R"({"hosts":[
                {"id":"h1","address":"127.0.0.7:7000","role":"entry","leaving":false},
                {"id":"e1","address":"127.0.0.8:8000","role":"upstream","leaving":false}]})"
                 : R"({"host":"h1","ready":true,"fleet_version":4})"};
  };
  const CommandResult result = this->Run("status", {});
  CHECK(result.code == ExitCode::kOk);
  REQUIRE(requested_urls.size() == 2);
  CHECK(requested_urls[1] == "http://127.0.0.7:8080/v1/status");
  CHECK(result.json["uniform"] == true);
}

}  // namespace
}  // namespace limpetlink
