#ifndef BRIARPOINT_IO_HTTP_ANSWER_H
#define BRIARPOINT_IO_HTTP_ANSWER_H

#include <map>
#include <string>

namespace briarpoint {

/// How an http_call ended.
struct http_answer {
  enum class outcome {
    /// A complete answer came; the other fields are set.
    Answered,
    /// No connection: nothing was sent.
    NotSent,
    /// The request may have been sent, but no complete answer came within the limits.
    NoAnswer,
  };

  outcome Outcome = outcome::NoAnswer;
  int Status = 0;
  /// Names in lower case. Of a repeated header, the last one.
  std::map<std::string, std::string> Headers;
  std::string Body;
};

} // namespace briarpoint

#endif // BRIARPOINT_IO_HTTP_ANSWER_H
