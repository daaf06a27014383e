#ifndef BRIARPOINT_IO_READ_FILE_H
#define BRIARPOINT_IO_READ_FILE_H

#include <string>

namespace briarpoint {

/// Returns the content of a file.
/// \throws std::runtime_error if it can't be read.
std::string readFile(const std::string &File);

} // namespace briarpoint

#endif // BRIARPOINT_IO_READ_FILE_H
