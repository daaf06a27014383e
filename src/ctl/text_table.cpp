#include "ctl/text_table.h"

#include <algorithm>

namespace briarpoint {

std::string text_table::format() const {
  std::vector<std::size_t> Widths(Rows.front().size());
  for (const std::vector<std::string> &Row : Rows)
    for (std::size_t I = 0; I < Widths.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  std::string Text;
  for (const std::vector<std::string> &Row : Rows) {
    std::string Line;
    for (std::size_t I = 0; I < Widths.size(); ++I)
      Line += "  " + Row[I] + std::string(Widths[I] - Row[I].size(), ' ');
    Line.erase(Line.find_last_not_of(' ') + 1);
    Text += Line + "\n";
  }
  return Text;
}

} // namespace briarpoint
