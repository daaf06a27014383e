#include "base/finding.h"

namespace briarpoint {

std::string toString(const finding &Finding) {
  std::string Text = Finding.Source;
  if (Finding.Line != 0)
    Text += ":" + std::to_string(Finding.Line) + ":" + std::to_string(Finding.Column);
  if (!Text.empty())
    Text += ": ";
  if (!Finding.Path.empty())
    Text += Finding.Path + ": ";
  return Text + Finding.Message;
}

} // namespace briarpoint
