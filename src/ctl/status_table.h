#ifndef BRIARPOINT_CTL_STATUS_TABLE_H
#define BRIARPOINT_CTL_STATUS_TABLE_H

#include <string>
#include <string_view>

namespace briarpoint {

/// Formats the status JSON of a balancer as a table for people.
/// \throws ctl_error with exit_code::Failed if the JSON isn't a status.
std::string formatStatus(std::string_view StatusJson);

/// Formats the history JSON, newest first.
/// \throws ctl_error with exit_code::Failed if the JSON isn't a history.
std::string formatHistory(std::string_view HistoryJson);

} // namespace briarpoint

#endif // BRIARPOINT_CTL_STATUS_TABLE_H
