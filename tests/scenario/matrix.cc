#include "tests/scenario/matrix.h"

#include <algorithm>

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace limpetlink::scenario {
namespace {

using Json = nlohmann::json;

bool Contains(const std::vector<std::string>& texts, const std::string& text) {
  return std::find(texts.begin(), texts.end(), text) != texts.end();
}

MatrixFault ReadFault(const Json& json) {
  return {json.at("fault").get<std::string>(),
          json.at("touches").get<std::string>(),
          json.value("wants", std::string()), json.at("break"),
          json.value("mend", Json::array())};
}

MatrixStep ReadStep(const Json& json) {
  return {json.at("step").get<std::string>(),
          json.value("has", std::vector<std::string>()),
          json.value("do", Json::array()),
          json.value("reached", Json::array())};
}

MatrixActivity ReadActivity(const Json& json) {
  MatrixActivity activity;
  activity.name = json.at("activity").get<std::string>();
  activity.needs = json.at("needs").get<std::vector<std::string>>();
  activity.fleet = json.value("fleet", Json::object());
  activity.final_steps = json.at("end");
  for (const Json& step : json.at("steps")) {
    activity.steps.push_back(ReadStep(step));
  }
  return activity;
}

std::string NotApplicableReason(const MatrixFault& fault,
                                const MatrixActivity& activity,
                                const MatrixStep& step) {
  if (!Contains(activity.needs, fault.role)) {
    return absl::StrCat("no ", fault.role, " takes part in: ", activity.name);
  }
  if (!fault.required_property.empty() &&
      !Contains(step.properties, fault.required_property)) {
    return absl::StrCat("no ", fault.required_property,
                        " follows: ", step.name);
  }
  return "";
}

void Append(const Json& steps, Json* target) {
  target->insert(target->end(), steps.begin(), steps.end());
}

/// Renders the scenario of one cell.
std::string RenderScenario(const std::string& name,
                           const MatrixActivity& activity,
                           std::size_t step_index,
                           const std::vector<const MatrixFault*>& faults) {
  Json steps = Json::array({{{"start", "all"}}});
  for (std::size_t i = 0; i <= step_index; ++i) {
    Append(activity.steps[i].actions, &steps);
    Append(activity.steps[i].expectations, &steps);
  }
  const bool twice = faults.size() == 2 && faults[0] == faults[1];
  for (const MatrixFault* fault : faults) {
    Append(fault->inject_steps, &steps);
    if (twice && fault == faults.front()) {
      Append(fault->clear_steps, &steps);
    }
  }
  for (std::size_t i = step_index + 1; i < activity.steps.size(); ++i) {
    Append(activity.steps[i].actions, &steps);
  }
  for (const MatrixFault* fault : faults) {
    Append(fault->clear_steps, &steps);
  }
  Append(activity.final_steps, &steps);
  const Json scenario = {{"scenario", name},
                         {"promise", "fault matrix"},
                         {"fleet", activity.fleet},
                         {"steps", steps}};
  return scenario.dump();
}

MatrixCell MakeCell(const std::vector<const MatrixFault*>& faults,
                    const MatrixActivity& activity, std::size_t step_index) {
  MatrixCell cell;
  cell.activity = activity.name;
  cell.step = activity.steps[step_index].name;
  for (const MatrixFault* fault : faults) {
    cell.faults.push_back(fault->name);
    if (cell.not_applicable.empty()) {
      cell.not_applicable =
          NotApplicableReason(*fault, activity, activity.steps[step_index]);
    }
  }
  if (cell.not_applicable.empty()) {
    cell.scenario = RenderScenario(cell.Name(), activity, step_index, faults);
  }
  return cell;
}

std::vector<std::vector<const MatrixFault*>> FaultGroups(
    const std::vector<MatrixFault>& faults, MatrixExtent extent) {
  std::vector<std::vector<const MatrixFault*>> groups;
  for (std::size_t i = 0; i < faults.size(); ++i) {
    if (extent == MatrixExtent::kSingles) {
      groups.push_back({&faults[i]});
      continue;
    }
    for (std::size_t k = i; k < faults.size(); ++k) {
      groups.push_back({&faults[i], &faults[k]});
    }
  }
  return groups;
}

CellState StateOf(const MatrixCell& cell, const CellStates& states) {
  if (!cell.not_applicable.empty()) {
    return CellState::kNotApplicable;
  }
  const auto found = states.find(cell.Name());
  return found == states.end() ? CellState::kNotRun : found->second;
}

const char* StateLabel(CellState state) {
  switch (state) {
    case CellState::kPassed:
      return "pass";
    case CellState::kFailed:
      return "FAIL";
    case CellState::kNotApplicable:
      return "n/a";
    case CellState::kNotRun:
      break;
  }
  return "-";
}

std::string FaultNames(const MatrixCell& cell) {
  return absl::StrJoin(cell.faults, " + ");
}

}  // namespace

std::string MatrixCell::Name() const {
  return absl::StrCat(FaultNames(*this), " @ ", this->activity, ", ",
                      this->step);
}

absl::StatusOr<MatrixLists> ParseMatrixLists(std::string_view text) {
  MatrixLists lists;
  try {
    const Json json = Json::parse(text);
    for (const Json& fault : json.at("faults")) {
      lists.faults.push_back(ReadFault(fault));
    }
    for (const Json& activity : json.at("activities")) {
      lists.activities.push_back(ReadActivity(activity));
    }
  } catch (const Json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
  return lists;
}

std::vector<MatrixCell> GenerateMatrix(const MatrixLists& lists,
                                       MatrixExtent extent) {
  std::vector<MatrixCell> cells;
  for (const auto& faults : FaultGroups(lists.faults, extent)) {
    for (const MatrixActivity& activity : lists.activities) {
      for (std::size_t i = 0; i < activity.steps.size(); ++i) {
        cells.push_back(MakeCell(faults, activity, i));
      }
    }
  }
  return cells;
}

std::vector<MatrixCell> SelectShortRun(const std::vector<MatrixCell>& cells) {
  std::map<std::string, std::vector<const MatrixCell*>> groups;
  std::vector<std::string> group_order;
  for (const MatrixCell& cell : cells) {
    if (cell.not_applicable.empty()) {
      const std::string key =
          absl::StrCat(FaultNames(cell), " @ ", cell.activity);
      if (groups[key].empty()) {
        group_order.push_back(key);
      }
      groups[key].push_back(&cell);
    }
  }
  std::vector<MatrixCell> selected;
  for (std::size_t i = 0; i < group_order.size(); ++i) {
    const auto& group = groups[group_order[i]];
    selected.push_back(*group[i % group.size()]);
  }
  return selected;
}

std::string RenderTable(const std::vector<MatrixCell>& cells,
                        const CellStates& states) {
  std::string table;
  std::string last_row;
  std::map<std::string, int> reasons;
  for (const MatrixCell& cell : cells) {
    const std::string row =
        absl::StrCat(FaultNames(cell), " | ", cell.activity);
    if (row != last_row) {
      absl::StrAppend(&table, last_row.empty() ? "" : "\n", row, ":");
      last_row = row;
    }
    const CellState state = StateOf(cell, states);
    absl::StrAppend(&table, "  ", cell.step, " [", StateLabel(state), "]");
    if (state == CellState::kNotApplicable) {
      ++reasons[cell.not_applicable];
    }
  }
  absl::StrAppend(&table, "\n\nNot applicable:\n");
  for (const auto& [reason, count] : reasons) {
    absl::StrAppend(&table, "  ", count, " cells: ", reason, "\n");
  }
  return table;
}

nlohmann::ordered_json RenderJson(const std::vector<MatrixCell>& cells,
                                  const CellStates& states) {
  nlohmann::ordered_json list = nlohmann::ordered_json::array();
  for (const MatrixCell& cell : cells) {
    nlohmann::ordered_json row = {{"faults", cell.faults},
                                  {"activity", cell.activity},
                                  {"step", cell.step},
                                  {"state", StateLabel(StateOf(cell, states))}};
    if (!cell.not_applicable.empty()) {
      row["because"] = cell.not_applicable;
    }
    list.push_back(std::move(row));
  }
  return list;
}

}  // namespace limpetlink::scenario
