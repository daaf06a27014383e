#ifndef BRIARPOINT_CTL_TEXT_TABLE_H
#define BRIARPOINT_CTL_TEXT_TABLE_H

#include <string>
#include <vector>

namespace briarpoint {

/// Table of text. Each column is as wide as its longest cell.
class text_table {
public:
  explicit text_table(std::vector<std::string> Header) : Rows{std::move(Header)} {}

  /// \p Row must have as many cells as the header.
  void add(std::vector<std::string> Row) { Rows.push_back(std::move(Row)); }

  /// Returns the header and the rows, one a line, with two spaces before each cell.
  std::string format() const;

private:
  std::vector<std::vector<std::string>> Rows;
};

} // namespace briarpoint

#endif // BRIARPOINT_CTL_TEXT_TABLE_H
