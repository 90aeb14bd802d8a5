#include <catch2/catch.hpp>
#include <map>

#include "settings/settings.h"

using limpetlink::Requirement;
using limpetlink::SettingsParser;
using limpetlink::SettingsResult;

namespace {

class SettingsFixture {
 public:
  SettingsFixture() {
    this->parser
        .Address("listen", "address for callers", &this->listen,
                 Requirement::kRequired)
        .Text("host-id", "name of the host", &this->host_id,
              Requirement::kRequired)
        .Number("seed", "seed", &this->seed, 1, 10)
        .Switch("check", "a switch", &this->check)
        .Operands("COMMAND", &this->operands);
  }

  SettingsResult Parse(std::vector<const char*> arguments) {
    arguments.insert(arguments.begin(), "program");
    return this->parser.Parse(
        static_cast<int>(arguments.size()), arguments.data(),
        [this](const char* name) -> const char* {
          const auto found = this->environment.find(name);
          return found == this->environment.end() ? nullptr
                                                  : found->second.c_str();
        });
  }

  std::map<std::string, std::string> environment;
  std::string listen;
  std::string host_id;
  std::uint64_t seed = 1;
  bool check = false;
  std::vector<std::string> operands;
  SettingsParser parser{"program", "A program."};
};

}  // namespace

TEST_CASE_METHOD(SettingsFixture,
                 "settings, flags and variables given, flags take precedence") {
  this->environment = {{"LIMPET_LISTEN", "127.0.0.1:1"},
                       {"LIMPET_HOST_ID", "from-variable"}};
  const SettingsResult result =
      this->Parse({"apply", "--listen", "127.0.0.1:80", "--check", "--seed=7",
                   "file.json"});
  CHECK(result.errors.empty());
  CHECK(this->listen == "127.0.0.1:80");
  CHECK(this->host_id == "from-variable");
  CHECK(this->seed == 7);
  CHECK(this->check);
  CHECK(this->operands == std::vector<std::string>{"apply", "file.json"});
}

TEST_CASE_METHOD(SettingsFixture,
                 "settings, several errors, all are reported at once") {
  this->environment = {{"LIMPET_SEED", "11"}, {"LIMPET_CHECK", "perhaps"}};
  const SettingsResult result =
      this->Parse({"--listen=nowhere", "--unknown=1", "--host-id"});
  CHECK(result.errors.size() == 6);
}

TEST_CASE_METHOD(SettingsFixture,
                 "settings, help or version requested, the text is returned") {
  const SettingsResult help = this->Parse({"--help"});
  CHECK(help.show_text);
  CHECK(help.text.find("LIMPET_HOST_ID") != std::string::npos);
  CHECK(this->Parse({"--version"}).text == "program 0.1.0\n");
}

TEST_CASE("an address, several formats, only ip and port are valid") {
  CHECK_FALSE(limpetlink::ValidateAddress("127.0.0.1:8080").has_value());
  CHECK_FALSE(limpetlink::ValidateAddress("[::1]:0").has_value());
  CHECK(limpetlink::ValidateAddress("localhost:80").has_value());
  CHECK(limpetlink::ValidateAddress("127.0.0.1").has_value());
  CHECK(limpetlink::ValidateAddress("127.0.0.1:70000").has_value());
}
