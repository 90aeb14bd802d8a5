/// @file
/// @brief Parses a program's settings and reports all errors at once.
#pragma once

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"

namespace limpetlink {

/// @brief Whether a setting may be omitted.
enum class Requirement { kOptional, kRequired };

/// @brief Exit code of a program with invalid settings.
inline constexpr int kExitInvalidSettings = 2;

/// @brief Parses the text of a setting and stores its value.
/// @return an error message; empty if the text is valid
using AssignSetting =
    std::function<std::optional<std::string>(const std::string& text)>;

/// @brief Returns the value of an environment variable; nullptr if it is not
/// set.
using ReadEnvironment = std::function<const char*(const char* name)>;

/// @brief Result of parsing the settings.
struct SettingsResult {
  bool show_text = false;           ///< whether --help or --version was given
  std::string text;                 ///< help or version text to print
  std::vector<std::string> errors;  ///< all errors, one line each
};

/// @brief Declares settings and fills variables from flags and environment
/// variables. A flag takes precedence over its environment variable; flag
/// `--peer-secret` has the variable `LIMPET_PEER_SECRET`.
/// @note Example:
/// @code
/// std::string listen = "127.0.0.1:8080";
/// SettingsParser parser("limpet-entry", "Serves callers.");
/// parser.Address("listen", "address for callers, ip:port", &listen,
///                Requirement::kRequired);
/// if (const std::optional<int> code = parser.ParseOrExitCode(argc, argv)) {
///   return *code;
/// }
/// @endcode
class SettingsParser {
 public:
  /// @param program name of the program
  /// @param summary one-line description for --help
  SettingsParser(std::string program, std::string summary);

  /// @brief Declares a setting that accepts any non-empty text.
  SettingsParser& Text(std::string name, std::string help, std::string* target,
                       Requirement requirement = Requirement::kOptional);

  /// @brief Declares an integer setting with an inclusive range.
  SettingsParser& Number(std::string name, std::string help,
                         std::uint64_t* target, std::uint64_t min,
                         std::uint64_t max,
                         Requirement requirement = Requirement::kOptional);

  /// @brief Declares a Boolean setting; `--name` without a value means true.
  SettingsParser& Switch(std::string name, std::string help, bool* target);

  /// @brief Declares a setting that accepts an address "ip:port".
  SettingsParser& Address(std::string name, std::string help,
                          std::string* target,
                          Requirement requirement = Requirement::kOptional);

  /// @brief Declares a setting with a custom parser.
  /// @param assign stores the value or returns an error message
  SettingsParser& Checked(std::string name, std::string help,
                          AssignSetting assign,
                          Requirement requirement = Requirement::kOptional);

  /// @brief Declares a setting that accepts the names in an enum's table.
  template <typename Enum>
  SettingsParser& Choice(std::string name, std::string help, Enum* target,
                         Requirement requirement = Requirement::kOptional) {
    return this->Checked(
        std::move(name), std::move(help),
        [target](const std::string& text) -> std::optional<std::string> {
          const std::optional<Enum> value = ParseEnum<Enum>(text);
          if (!value.has_value()) {
            return "is not one of the known names";
          }
          *target = *value;
          return std::nullopt;
        },
        requirement);
  }

  /// @brief Accepts positional arguments, such as a command and its operands.
  SettingsParser& Operands(std::string help, std::vector<std::string>* target);

  /// @brief Parses flags and environment variables into the declared targets.
  /// @param argc,argv arguments of main
  /// @param environment reads an environment variable
  /// @return help or version text to print, or all errors; neither if the
  /// settings are valid
  SettingsResult Parse(int argc, const char* const* argv,
                       const ReadEnvironment& environment) const;

  /// @brief Parses with the environment of the process and prints help, version
  /// or errors.
  /// @return the exit code if the program must exit: 0 after help or version,
  /// kExitInvalidSettings after errors
  std::optional<int> ParseOrExitCode(int argc, const char* const* argv) const;

 private:
  struct Setting {
    std::string name;
    std::string help;
    AssignSetting assign;
    Requirement requirement = Requirement::kOptional;
    bool is_switch = false;
  };

  void ApplySetting(const Setting& setting,
                    const std::optional<std::string>& flag,
                    const ReadEnvironment& environment,
                    std::vector<std::string>* errors) const;

  std::string program;
  std::string summary;
  std::string operands_help;
  std::vector<std::string>* operands = nullptr;
  std::vector<Setting> settings;
};

/// @brief Returns the name of a flag's environment variable.
/// @param flag name of the flag, for example "peer-secret"
/// @return the variable, for example "LIMPET_PEER_SECRET"
std::string EnvironmentName(std::string_view flag);

/// @brief Validates an address of the form "ip:port".
/// @param text address, for example "127.0.0.1:8080" or "[::1]:8080"; port 0 is
/// allowed
/// @return an error message; empty if the address is valid
std::optional<std::string> ValidateAddress(const std::string& text);

/// @brief Returns the version of the programs.
std::string_view ProgramVersion();

}  // namespace limpetlink
