#include "table.hpp"

#include <algorithm>

namespace hyssopford::ctl {

namespace {

constexpr std::size_t Gap = 2;

} // namespace

Table::Table(std::vector<std::string> Heads) : Rows{std::move(Heads)} {}

void Table::add(std::vector<std::string> Cells) {
  Cells.resize(Rows.front().size());
  Rows.push_back(std::move(Cells));
}

std::string Table::render() const {
  if (Rows.size() == 1) {
    return "(none)\n";
  }
  std::vector<std::size_t> Widths(Rows.front().size());
  for (const auto &Row : Rows) {
    for (std::size_t Column = 0; Column < Row.size(); ++Column) {
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
    }
  }
  std::string Result;
  for (const auto &Row : Rows) {
    std::string Line;
    for (std::size_t Column = 0; Column < Row.size(); ++Column) {
      Line += Row[Column];
      Line.append(Widths[Column] - Row[Column].size() + Gap, ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Result += Line + '\n';
  }
  return Result;
}

std::string cell(const nlohmann::json &Value) {
  if (Value.is_null()) {
    return "-";
  }
  std::string Text =
      Value.is_string() ? Value.get<std::string>() : Value.dump();
  std::replace_if(
      Text.begin(), Text.end(),
      [](char Each) { return Each < ' ' || Each > '~'; }, '?');
  return Text.empty() ? "-" : Text;
}

std::string cell(const nlohmann::json &Object, const char *Name) {
  const auto Found = Object.find(Name);
  return Found == Object.end() ? "-" : cell(*Found);
}

} // namespace hyssopford::ctl
