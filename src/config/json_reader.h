#ifndef BRIARPOINT_CONFIG_JSON_READER_H
#define BRIARPOINT_CONFIG_JSON_READER_H

#include "config/document_value.h"

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace briarpoint {

/// Reads JSON text. Values have no position; syntax errors have one.
/// \throws findings_error for a syntax error, a field that appears twice in an object, nesting of
/// more than 32 levels, or an object of more than 256 fields.
document_value readJson(std::string_view Text, const std::string &Source);

/// Converts a value that was parsed already. Levels below the 32nd are read as null.
document_value toDocument(const nlohmann::json &Value);

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_JSON_READER_H
