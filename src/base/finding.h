#ifndef BRIARPOINT_BASE_FINDING_H
#define BRIARPOINT_BASE_FINDING_H

#include <compare>
#include <cstdint>
#include <string>

namespace briarpoint {

/// An error in an input, and its position.
struct finding {
  /// File name, or a name of the input such as "patch" or "peer message".
  std::string Source;
  /// Line and column, from 1; 0 if the input has no lines.
  std::uint32_t Line = 0;
  std::uint32_t Column = 0;
  /// Field path, such as "services[1].targets[0].tunnel"; may be empty.
  std::string Path;
  std::string Message;

  auto operator<=>(const finding &) const = default;
};

/// Formats as "source:line:column: path: message" and omits empty parts.
std::string toString(const finding &Finding);

} // namespace briarpoint

#endif // BRIARPOINT_BASE_FINDING_H
