#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

#include "settings/settings.h"

namespace limpetlink {
namespace {

constexpr std::string_view kVersion = "0.1.0";
constexpr unsigned kMaxPort = 65535;

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end || text.empty()) {
    return std::nullopt;
  }
  return value;
}

bool IsIpAddress(const std::string& text) {
  in6_addr storage{};
  return inet_pton(AF_INET, text.c_str(), &storage) == 1 ||
         inet_pton(AF_INET6, text.c_str(), &storage) == 1;
}

// Returns the name of a flag given without `=VALUE`. A last flag that lacks its
// value would stop the parser before it reports the other errors.
std::optional<std::string> FlagName(std::string_view argument) {
  if (argument.size() < 3 || argument.substr(0, 2) != "--") {
    return std::nullopt;
  }
  if (argument.find('=') != std::string_view::npos) {
    return std::nullopt;
  }
  return std::string(argument.substr(2));
}

}  // namespace

std::string EnvironmentName(std::string_view flag) {
  std::string name = "LIMPET_";
  for (const char c : flag) {
    const bool lower = c >= 'a' && c <= 'z';
    name += c == '-' ? '_' : (lower ? static_cast<char>(c - 'a' + 'A') : c);
  }
  return name;
}

std::optional<std::string> ValidateAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return "is not of the form ip:port";
  }
  std::string host = text.substr(0, colon);
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  if (!IsIpAddress(host)) {
    return "does not start with an IP address";
  }
  const std::optional<std::uint64_t> port = ParseNumber(text.substr(colon + 1));
  if (!port.has_value() || *port > kMaxPort) {
    return "does not end with a port between 0 and 65535";
  }
  return std::nullopt;
}

std::string_view ProgramVersion() { return kVersion; }

SettingsParser::SettingsParser(std::string program, std::string summary)
    : program(std::move(program)), summary(std::move(summary)) {}

SettingsParser& SettingsParser::Checked(std::string name, std::string help,
                                        AssignSetting assign,
                                        Requirement requirement) {
  this->settings.push_back({std::move(name), std::move(help), std::move(assign),
                            requirement, false});
  return *this;
}

SettingsParser& SettingsParser::Text(std::string name, std::string help,
                                     std::string* target,
                                     Requirement requirement) {
  const auto assign =
      [target](const std::string& text) -> std::optional<std::string> {
    if (text.empty()) {
      return "is empty";
    }
    *target = text;
    return std::nullopt;
  };
  return this->Checked(std::move(name), std::move(help), assign, requirement);
}

SettingsParser& SettingsParser::Number(std::string name, std::string help,
                                       std::uint64_t* target, std::uint64_t min,
                                       std::uint64_t max,
                                       Requirement requirement) {
  const auto assign =
      [=](const std::string& text) -> std::optional<std::string> {
    const std::optional<std::uint64_t> value = ParseNumber(text);
    if (!value.has_value() || *value < min || *value > max) {
      return "is not an integer from " + std::to_string(min) + " to " +
             std::to_string(max);
    }
    *target = *value;
    return std::nullopt;
  };
  return this->Checked(std::move(name), std::move(help), assign, requirement);
}

SettingsParser& SettingsParser::Switch(std::string name, std::string help,
                                       bool* target) {
  const auto assign =
      [target](const std::string& text) -> std::optional<std::string> {
    if (text != "true" && text != "false") {
      return "is neither true nor false";
    }
    *target = text == "true";
    return std::nullopt;
  };
  this->Checked(std::move(name), std::move(help), assign);
  this->settings.back().is_switch = true;
  return *this;
}

SettingsParser& SettingsParser::Address(std::string name, std::string help,
                                        std::string* target,
                                        Requirement requirement) {
  const auto assign =
      [target](const std::string& text) -> std::optional<std::string> {
    std::optional<std::string> error = ValidateAddress(text);
    if (!error.has_value()) {
      *target = text;
    }
    return error;
  };
  return this->Checked(std::move(name), std::move(help), assign, requirement);
}

SettingsParser& SettingsParser::Operands(std::string help,
                                         std::vector<std::string>* target) {
  this->operands_help = std::move(help);
  this->operands = target;
  return *this;
}

void SettingsParser::ApplySetting(const Setting& setting,
                                  const std::optional<std::string>& flag,
                                  const ReadEnvironment& environment,
                                  std::vector<std::string>* errors) const {
  const std::string variable = EnvironmentName(setting.name);
  const std::string source = flag.has_value() ? "--" + setting.name : variable;
  std::optional<std::string> text = flag;
  if (!text.has_value()) {
    const char* const value = environment(variable.c_str());
    if (value != nullptr) {
      text = value;
    }
  }
  if (!text.has_value()) {
    if (setting.requirement == Requirement::kRequired) {
      errors->push_back("--" + setting.name + " (" + variable + ") is missing");
    }
    return;
  }
  if (const std::optional<std::string> error = setting.assign(*text)) {
    errors->push_back(source + " " + *error);
  }
}

SettingsResult SettingsParser::Parse(int argc, const char* const* argv,
                                     const ReadEnvironment& environment) const {
  SettingsResult result;
  cxxopts::Options options(this->program, this->summary);
  options.allow_unrecognised_options();
  options.custom_help("[--SETTING VALUE...] " + this->operands_help);
  auto add = options.add_options();
  add("help", "show this text",
      cxxopts::value<std::string>()->implicit_value("true"));
  add("version", "show the version",
      cxxopts::value<std::string>()->implicit_value("true"));
  for (const Setting& setting : this->settings) {
    const std::shared_ptr<cxxopts::Value> value = cxxopts::value<std::string>();
    if (setting.is_switch) {
      value->implicit_value("true");
    }
    add(setting.name, setting.help + " [" + EnvironmentName(setting.name) + "]",
        value);
  }
  std::vector<const char*> arguments(argv, argv + argc);
  const std::optional<std::string> trailing_flag =
      FlagName(argc > 1 ? arguments.back() : "");
  for (const Setting& setting : this->settings) {
    if (trailing_flag == setting.name && !setting.is_switch) {
      result.errors.push_back("--" + setting.name + " needs a value");
      arguments.pop_back();
    }
  }
  const cxxopts::ParseResult parsed =
      options.parse(static_cast<int>(arguments.size()), arguments.data());
  if (parsed.count("help") > 0) {
    return {true, options.help(), {}};
  }
  if (parsed.count("version") > 0) {
    return {true, this->program + " " + std::string(kVersion) + "\n", {}};
  }
  for (const std::string& argument : parsed.unmatched()) {
    if (this->operands != nullptr &&
        (argument.empty() || argument.front() != '-')) {
      this->operands->push_back(argument);
    } else {
      result.errors.push_back(argument + " is not a setting of " +
                              this->program);
    }
  }
  for (const Setting& setting : this->settings) {
    std::optional<std::string> flag;
    if (parsed.count(setting.name) > 0) {
      flag = parsed[setting.name].as<std::string>();
    }
    this->ApplySetting(setting, flag, environment, &result.errors);
  }
  return result;
}

std::optional<int> SettingsParser::ParseOrExitCode(
    int argc, const char* const* argv) const {
  const SettingsResult result = this->Parse(
      argc, argv, [](const char* name) { return std::getenv(name); });
  if (result.show_text) {
    std::cout << result.text;
    return 0;
  }
  if (result.errors.empty()) {
    return std::nullopt;
  }
  std::cerr << this->program << ": " << result.errors.size()
            << " invalid setting(s)\n";
  for (const std::string& error : result.errors) {
    std::cerr << "  " << error << '\n';
  }
  return kExitInvalidSettings;
}

}  // namespace limpetlink
