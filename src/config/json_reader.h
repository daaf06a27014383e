#ifndef BRIARPOINT_CONFIG_JSON_READER_H
#define BRIARPOINT_CONFIG_JSON_READER_H

#include "config/document_parts.h"

#include <string_view>

namespace briarpoint {

/// Reads JSON text. Values have no line and column; syntax errors have them.
/// \throws findings_error for a syntax error, a field that appears twice in an object, nesting of
/// more than 32 levels, or an object of more than 256 fields.
document_value readJson(std::string_view Text, const std::string &Source);

/// Reads the parts of JSON text that another program wrote. Numbers beyond the range of double and
/// words that are no JSON literals are read as null, bytes that are not valid in a string as
/// question marks (repairJson()). \p Receiver gets the elements of lists in the root table, unless
/// it is nullptr.
/// \throws findings_error for a syntax error in the structure of arrays and objects.
document_value readJsonParts(std::string_view Text, const std::string &Source,
                             const document_parts &Parts, element_receiver *Receiver = nullptr);

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_JSON_READER_H
