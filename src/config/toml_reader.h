#ifndef BRIARPOINT_CONFIG_TOML_READER_H
#define BRIARPOINT_CONFIG_TOML_READER_H

#include "config/document_value.h"

#include <string_view>

namespace briarpoint {

/// Reads TOML text. Every value has its line and column. Dates and times are read as null.
/// \throws findings_error for the first syntax error, nesting of more than 32 levels, or a key or
/// text with more than 64 dots.
document_value readToml(std::string_view Text, const std::string &Source);

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_TOML_READER_H
