/// @file
/// @brief Tables of text.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hyssopford::ctl {

/// @brief A table whose columns are as wide as their longest cell.
class Table {
public:
  /// @param Heads heads of the columns
  explicit Table(std::vector<std::string> Heads);

  /// @brief Adds a row; missing cells are empty.
  void add(std::vector<std::string> Cells);

  /// @return the rows, one a line, or "(none)" without rows
  std::string render() const;

private:
  std::vector<std::vector<std::string>> Rows;
};

/// @brief Gives the text of a value for a cell: texts without quotes, null as a
/// dash, control characters and bytes outside ASCII as question marks.
std::string cell(const nlohmann::json &Value);

/// @brief Gives the text of a member for a cell; a dash if it is absent.
std::string cell(const nlohmann::json &Object, const char *Name);

} // namespace hyssopford::ctl
