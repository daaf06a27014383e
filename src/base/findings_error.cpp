#include "base/findings_error.h"

#include <string>
#include <utility>

namespace briarpoint {

namespace {

std::string joinFindings(const std::vector<finding> &Findings) {
  std::string Text;
  for (const finding &Finding : Findings) {
    if (!Text.empty())
      Text += '\n';
    Text += toString(Finding);
  }
  return Text;
}

} // namespace

findings_error::findings_error(std::vector<finding> Findings)
    : std::runtime_error(joinFindings(Findings)), Findings(std::move(Findings)) {}

} // namespace briarpoint
