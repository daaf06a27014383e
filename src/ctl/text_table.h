#ifndef BRIARPOINT_CTL_TEXT_TABLE_H
#define BRIARPOINT_CTL_TEXT_TABLE_H

#include <string>
#include <vector>

namespace briarpoint {

/// Text in columns that are as wide as their longest cell.
class text_table {
public:
  explicit text_table(std::vector<std::string> Header) : Rows{std::move(Header)} {}

  /// \p Row must have as many cells as the header.
  void add(std::vector<std::string> Row) { Rows.push_back(std::move(Row)); }

  /// Returns the lines, each preceded by two spaces.
  std::string format() const;

private:
  std::vector<std::vector<std::string>> Rows;
};

} // namespace briarpoint

#endif // BRIARPOINT_CTL_TEXT_TABLE_H
