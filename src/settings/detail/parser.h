/// @file
/// @brief Reads a program's settings and names every fault of them at once.
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

/// @brief Whether a setting may be left out.
enum class Requirement { kOptional, kRequired };

/// @brief Exit code of a program whose settings are at fault.
inline constexpr int kExitInvalidSettings = 2;

/// @brief Takes a setting's text in.
/// @return what is wrong with the text, or nothing when it was taken
using AssignSetting =
    std::function<std::optional<std::string>(const std::string& text)>;

/// @brief Reads one environment variable; nullptr when it is not set.
using ReadEnvironment = std::function<const char*(const char* name)>;

/// @brief What parsing came to.
struct SettingsResult {
  bool show_text =
      false;         ///< --help or --version was asked for; `text` holds it
  std::string text;  ///< the help or the version
  std::vector<std::string> errors;  ///< every fault found, one line each
};

/// @brief Declares settings and fills variables from flags and environment
/// variables; a flag wins
///        over its variable. Flag `--peer-secret` has the variable
///        `LIMPET_PEER_SECRET`.
/// @note Example:
/// @code
/// std::string listen = "127.0.0.1:8080";
/// SettingsParser parser("limpet-entry", "Serves callers.");
/// parser.Text("listen", "address for callers, ip:port", &listen,
/// Requirement::kRequired); if (const std::optional<int> code =
/// parser.ParseOrExitCode(argc, argv)) { return *code; }
/// @endcode
class SettingsParser {
 public:
  /// @param program the binary's name
  /// @param summary one line for --help
  SettingsParser(std::string program, std::string summary);

  /// @brief Declares a setting that takes any text but the empty one.
  SettingsParser& Text(std::string name, std::string help, std::string* target,
                       Requirement need = Requirement::kOptional);

  /// @brief Declares a whole number between two bounds, both allowed.
  SettingsParser& Number(std::string name, std::string help,
                         std::uint64_t* target, std::uint64_t low,
                         std::uint64_t high,
                         Requirement need = Requirement::kOptional);

  /// @brief Declares a switch; `--name` alone means true.
  SettingsParser& Switch(std::string name, std::string help, bool* target);

  /// @brief Declares an address written "ip:port".
  SettingsParser& Address(std::string name, std::string help,
                          std::string* target,
                          Requirement need = Requirement::kOptional);

  /// @brief Declares a setting with a check of its own.
  /// @param assign takes the text in or says what is wrong
  SettingsParser& Checked(std::string name, std::string help,
                          AssignSetting assign,
                          Requirement need = Requirement::kOptional);

  /// @brief Declares a setting that takes a name of an enum's table.
  template <typename Enum>
  SettingsParser& Choice(std::string name, std::string help, Enum* target,
                         Requirement need = Requirement::kOptional) {
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
        need);
  }

  /// @brief Takes arguments that are no flags, as a command and its operands.
  SettingsParser& Operands(std::string help, std::vector<std::string>* target);

  /// @brief Reads flags and variables into the declared targets.
  /// @param argc,argv as main got them
  /// @param environment reads a variable
  /// @return help or version to show, or every fault; empty when all is well
  SettingsResult Parse(int argc, const char* const* argv,
                       const ReadEnvironment& environment) const;

  /// @brief Parses with the process's environment and prints help, version or
  /// errors.
  /// @return the exit code when the program is to end now: 0 after help,
  /// kExitInvalidSettings on errors
  std::optional<int> ParseOrExitCode(int argc, const char* const* argv) const;

 private:
  struct Setting {
    std::string name;
    std::string help;
    AssignSetting assign;
    Requirement need = Requirement::kOptional;
    bool is_switch = false;
  };

  void TakeSetting(const Setting& setting,
                   const std::optional<std::string>& flag,
                   const ReadEnvironment& environment,
                   std::vector<std::string>* errors) const;

  std::string program;
  std::string summary;
  std::string operands_help;
  std::vector<std::string>* operands = nullptr;
  std::vector<Setting> settings;
};

/// @brief Name of the environment variable of a flag.
/// @param flag as "peer-secret"
/// @return as "LIMPET_PEER_SECRET"
std::string EnvironmentName(std::string_view flag);

/// @brief Says what is wrong with an address, or nothing for a right "ip:port".
/// @param text as "127.0.0.1:8080" or "[::1]:8080"; port 0 is allowed
std::optional<std::string> ValidateAddress(const std::string& text);

/// @brief Version of the programs.
std::string_view ProgramVersion();

}  // namespace limpetlink
