#ifndef BRIARPOINT_CONFIG_JSON_READER_H
#define BRIARPOINT_CONFIG_JSON_READER_H

#include "config/document_value.h"

#include <string_view>

namespace briarpoint {

/// Reads JSON text. Values have no line and column; syntax errors have them.
/// \throws findings_error for a syntax error, a field that appears twice in an object, nesting of
/// more than 32 levels, or an object of more than 256 fields.
document_value readJson(std::string_view Text, const std::string &Source);

/// Reads JSON text written by other programs, which may hold more than is needed here: a field may
/// appear twice in an object, objects may have any number of fields, and values below the 32nd
/// level are read as null. So are numbers beyond the range of double and words that are no JSON
/// literals; bytes that are not valid in a string are read as question marks (repairJson()).
/// \throws findings_error for a syntax error in the structure of arrays and objects.
document_value readLenientJson(std::string_view Text, const std::string &Source);

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_JSON_READER_H
