#ifndef BRIARPOINT_CONFIG_JSON_REPAIR_H
#define BRIARPOINT_CONFIG_JSON_REPAIR_H

#include <string>
#include <string_view>

namespace briarpoint {

/// Returns JSON text with its unreadable values replaced, so that the values beside them can be
/// read: a word that is no JSON literal and a number beyond the range of double become null, and
/// bytes and escapes within strings that are not valid become question marks. The structure of
/// arrays and objects isn't repaired. Takes time in proportion to the size of the text.
std::string repairJson(std::string_view Text);

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_JSON_REPAIR_H
