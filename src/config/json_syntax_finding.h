#ifndef BRIARPOINT_CONFIG_JSON_SYNTAX_FINDING_H
#define BRIARPOINT_CONFIG_JSON_SYNTAX_FINDING_H

#include "base/finding.h"

#include <string>
#include <string_view>

namespace briarpoint {

/// Returns the finding for a syntax error at byte \p Position, from 1, of \p Text. \p LastToken is
/// all text since the last value that was accepted.
finding jsonSyntaxFinding(const std::string &Source, std::string_view Text, std::size_t Position,
                          std::string_view LastToken);

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_JSON_SYNTAX_FINDING_H
