#ifndef BRIARPOINT_CORE_REQUEST_REQUEST_ANSWER_H
#define BRIARPOINT_CORE_REQUEST_REQUEST_ANSWER_H

#include <cstdint>

namespace briarpoint {

/// Answer to a caller about its request. NotRun and Ran are sent only if they are certain.
enum class request_answer : std::uint8_t { NotRun, Ran, Unknown };

} // namespace briarpoint

#endif // BRIARPOINT_CORE_REQUEST_REQUEST_ANSWER_H
