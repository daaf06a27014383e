#ifndef BRIARPOINT_CTL_STATUS_TABLE_H
#define BRIARPOINT_CTL_STATUS_TABLE_H

#include <string>
#include <string_view>

namespace briarpoint {

/// Formats the status JSON of a balancer as human-readable tables.
/// \throws ctl_error with exit_code::UnexpectedAnswer if \p StatusJson is malformed.
std::string formatStatus(std::string_view StatusJson);

/// Formats the history JSON as a table of accepted patches, newest first.
/// \throws ctl_error with exit_code::UnexpectedAnswer if \p HistoryJson is malformed.
std::string formatHistory(std::string_view HistoryJson);

} // namespace briarpoint

#endif // BRIARPOINT_CTL_STATUS_TABLE_H
