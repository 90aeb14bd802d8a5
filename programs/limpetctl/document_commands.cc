#include <fstream>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "programs/limpetctl/commands.h"

namespace limpetlink {
namespace {

using Json = nlohmann::ordered_json;

/// @brief The document of a file, or the error that was found in it.
struct LoadedFile {
  FleetDocument document;
  CommandResult result;  ///< kOk when the document is valid
};

std::string FormatValidationError(const std::string& path,
                                  const FleetValidationError& error) {
  const std::string pointer = error.pointer.empty() ? "/" : error.pointer;
  return absl::StrCat(path, ": ", pointer, " ", error.message, "\n");
}

CommandResult ValidationErrorsResult(
    const std::string& path, const std::vector<FleetValidationError>& errors) {
  CommandResult result;
  result.code = ExitCode::kFailed;
  result.json = {{"valid", false}, {"file", path}, {"faults", Json::array()}};
  for (const FleetValidationError& error : errors) {
    result.text += FormatValidationError(path, error);
    result.json["faults"].push_back(
        {{"pointer", error.pointer}, {"message", error.message}});
  }
  absl::StrAppend(&result.text, errors.size(), " faults\n");
  return result;
}

LoadedFile LoadFile(const std::string& path) {
  LoadedFile loaded;
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    loaded.result =
        Failure(absl::NotFoundError(absl::StrCat(path, ": cannot be read")));
    return loaded;
  }
  FleetParseResult parsed = ParseFleet(text.str());
  if (!parsed.Ok()) {
    loaded.result = ValidationErrorsResult(path, parsed.errors);
  }
  loaded.document = std::move(parsed.document);
  return loaded;
}

PlatformAccess OpenPlatform(const CtlContext& context) {
  return {context.settings.platform, context.exchange, context.hooks};
}

void AddDifferences(const FleetDocument& before, const FleetDocument& after,
                    CommandResult* result) {
  Json list = Json::array();
  for (const FleetDifference& difference : DiffFleet(before, after)) {
    absl::StrAppend(&result->text, "  ", ToText(difference), "\n");
    list.push_back({{"kind", ToText(difference.kind)},
                    {"subject", difference.subject},
                    {"member", difference.member},
                    {"before", difference.before},
                    {"after", difference.after}});
  }
  result->json["differences"] = std::move(list);
  result->json["patch"] = Json::parse(MakeFleetPatch(before, after));
}

absl::StatusOr<FleetDocument> ReadActiveDocument(const CtlContext& context,
                                                 const std::string& name) {
  PlatformAccess platform = OpenPlatform(context);
  const auto stored = ReadStoredFleet(&platform, name);
  if (!stored.ok()) {
    return stored.status();
  }
  if (stored->version == 0) {
    return absl::NotFoundError(absl::StrCat("there is no fleet ", name));
  }
  return stored->document;
}

CommandResult ConflictResult(const CtlContext& context,
                             const FleetDocument& desired,
                             const ApplyResult& applied) {
  CommandResult result;
  result.code = ExitCode::kConflict;
  const std::uint64_t base = context.settings.base_version;
  result.text =
      absl::StrCat("not applied: the fleet ", desired.name, " is at version ",
                   applied.current_version, ", not at ", base,
                   ".\nChanges of the file relative to that version:\n");
  result.json = {{"outcome", "conflict"},
                 {"code", Describe(ErrorCode::kFleetConflict).name},
                 {"base_version", base},
                 {"current_version", applied.current_version}};
  const FleetParseResult current = ParseFleet(applied.current_text);
  if (current.Ok()) {
    AddDifferences(current.document, desired, &result);
  }
  absl::StrAppend(&result.text, "To apply it anyway: --base-version ",
                  applied.current_version, "\n");
  return result;
}

CommandResult MakeApplyCommandResult(const CtlContext& context,
                                     const FleetDocument& desired,
                                     const ApplyResult& applied) {
  CommandResult result;
  result.json = {{"outcome", ToText(applied.outcome)},
                 {"change_id", desired.change_id}};
  switch (applied.outcome) {
    case ApplyOutcome::kApplied:
      result.text = absl::StrCat("applied: the fleet ", desired.name,
                                 " is at version ", applied.version, "\n");
      result.json["version"] = applied.version;
      return result;
    case ApplyOutcome::kConflict:
      return ConflictResult(context, desired, applied);
    case ApplyOutcome::kNotApplied:
      result.code = ExitCode::kFailed;
      result.text = "not applied: the platform could not be reached\n";
      return result;
    case ApplyOutcome::kUnknown:
      break;
  }
  result.code = ExitCode::kFailed;
  result.text =
      "unknown: the change may still take effect. Run the same "
      "command again to learn the outcome; repeating it is safe.\n";
  return result;
}

}  // namespace

CommandResult Validate(const CtlContext& context) {
  if (context.operands.size() != 1) {
    return UsageError("validate takes one FILE");
  }
  const std::string& path = context.operands.front();
  LoadedFile loaded = LoadFile(path);
  if (loaded.result.code != ExitCode::kOk) {
    return loaded.result;
  }
  const FleetDocument& document = loaded.document;
  loaded.result.text = absl::StrCat(
      path, ": valid; fleet ", document.name, " with ",
      document.upstreams.size(), " upstreams, ", document.organisations.size(),
      " organisations, ", document.routes.size(), " routes\n");
  loaded.result.json = {{"valid", true}, {"file", path}};
  return loaded.result;
}

CommandResult Diff(const CtlContext& context) {
  const auto& operands = context.operands;
  if (operands.empty() || operands.size() > 2) {
    return UsageError("diff takes BEFORE and AFTER, or one FILE");
  }
  const LoadedFile after = LoadFile(operands.back());
  if (after.result.code != ExitCode::kOk) {
    return after.result;
  }
  LoadedFile before;
  if (operands.size() == 2) {
    before = LoadFile(operands.front());
  } else {
    const auto stored = ReadActiveDocument(context, after.document.name);
    if (!stored.ok()) {
      return Failure(stored.status());
    }
    before.document = *stored;
  }
  if (before.result.code != ExitCode::kOk) {
    return before.result;
  }
  CommandResult result;
  AddDifferences(before.document, after.document, &result);
  if (result.text.empty()) {
    result.text = "no differences\n";
  }
  return result;
}

CommandResult Apply(const CtlContext& context) {
  if (context.operands.size() != 1) {
    return UsageError("apply takes one FILE");
  }
  LoadedFile loaded = LoadFile(context.operands.front());
  if (loaded.result.code != ExitCode::kOk) {
    return loaded.result;
  }
  const CtlSettings& settings = context.settings;
  FleetDocument& desired = loaded.document;
  desired.change_id =
      MakeChangeId(settings.base_version, settings.author, desired);
  desired.author = settings.author;
  const auto text =
      StampChange(WriteFleet(desired), desired.change_id, desired.author);
  if (!text.ok()) {
    return Failure(text.status());
  }
  FleetChange change;
  change.fleet_name = desired.name;
  change.change_id = desired.change_id;
  change.base_version = settings.base_version;
  change.base_text = *text;
  change.text = *text;
  PlatformAccess platform = OpenPlatform(context);
  const std::chrono::seconds timeout(settings.timeout_s);
  return MakeApplyCommandResult(context, desired,
                                platform.Apply(change, timeout));
}

CommandResult Export(const CtlContext& context) {
  const CtlSettings& settings = context.settings;
  if (settings.fleet.empty()) {
    return UsageError("export needs --fleet");
  }
  PlatformAccess platform = OpenPlatform(context);
  const auto stored = ReadStoredFleet(&platform, settings.fleet);
  if (!stored.ok()) {
    return Failure(stored.status());
  }
  if (stored->version == 0) {
    return Failure(absl::NotFoundError("there is no fleet " + settings.fleet));
  }
  const std::string text =
      WriteFleet(stored->document, FleetLayout::kIndented) + "\n";
  CommandResult result;
  result.json = {{"version", stored->version}, {"document", Json::parse(text)}};
  result.text = text;
  if (!settings.output.empty()) {
    std::ofstream file(settings.output, std::ios::binary);
    file << text;
    file.close();
    if (!file) {
      return Failure(absl::UnavailableError(
          absl::StrCat(settings.output, ": cannot be written")));
    }
    result.text = absl::StrCat(settings.output, ": version ", stored->version,
                               "; apply changes to it with "
                               "--base-version ",
                               stored->version, "\n");
  }
  return result;
}

CommandResult History(const CtlContext& context) {
  const CtlSettings& settings = context.settings;
  if (settings.fleet.empty()) {
    return UsageError("history needs --fleet");
  }
  PlatformAccess platform = OpenPlatform(context);
  const auto stored = ReadStoredFleet(&platform, settings.fleet);
  if (!stored.ok()) {
    return Failure(stored.status());
  }
  const auto revisions = ReadHistory(
      &platform, *stored, static_cast<std::uint32_t>(settings.limit));
  if (!revisions.ok()) {
    return Failure(revisions.status());
  }
  CommandResult result;
  result.json = {{"revisions", Json::array()}};
  for (const FleetRevision& revision : *revisions) {
    absl::StrAppend(&result.text, revision.version, "  ", revision.change_id,
                    "  ", revision.author, "\n");
    result.json["revisions"].push_back({{"version", revision.version},
                                        {"change_id", revision.change_id},
                                        {"author", revision.author}});
  }
  return result;
}

}  // namespace limpetlink
