#ifndef BRIARPOINT_CORE_REQUEST_REQUEST_ANSWER_H
#define BRIARPOINT_CORE_REQUEST_REQUEST_ANSWER_H

#include <cstdint>

namespace briarpoint {

/// What a caller is told about its request. An owner never asserts more than it knows.
enum class request_answer : std::uint8_t { NotRun, Ran, Unknown };

} // namespace briarpoint

#endif // BRIARPOINT_CORE_REQUEST_REQUEST_ANSWER_H
