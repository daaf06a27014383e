#ifndef BRIARPOINT_CONFIG_FINDING_COLLECTOR_H
#define BRIARPOINT_CONFIG_FINDING_COLLECTOR_H

#include "base/findings_error.h"
#include "config/document_value.h"

#include <utility>

namespace briarpoint {

/// Collects the findings about one input.
class finding_collector {
public:
  explicit finding_collector(std::string Source) : Source(std::move(Source)) {}

  /// Adds a finding at the position of \p Where.
  void add(const document_value &Where, std::string Path, std::string Message) {
    Findings.push_back({Source, Where.Line, Where.Column, std::move(Path), std::move(Message)});
  }

  bool empty() const { return Findings.empty(); }
  /// Must not be called if there are no findings.
  const finding &first() const { return Findings.front(); }
  const std::string &source() const { return Source; }

  /// \throws findings_error with all findings in the order of their position, if there are any.
  void throwIfAny();

private:
  std::string Source;
  std::vector<finding> Findings;
};

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_FINDING_COLLECTOR_H
