#ifndef BRIARPOINT_IO_HTTP_ANSWER_H
#define BRIARPOINT_IO_HTTP_ANSWER_H

#include <map>
#include <string>

namespace briarpoint {

/// Result of a request that was sent by http_call or http_connection.
struct http_answer {
  enum class outcome {
    /// A complete response was received; the other fields are set.
    Answered,
    /// No connection could be established, so nothing was sent.
    NotSent,
    /// The request may have been sent, but no complete response was received in time.
    NoAnswer,
    /// The body of the response is larger than outgoing_request::MaxResponseSize.
    TooLarge,
  };

  outcome Outcome = outcome::NoAnswer;
  int Status = 0;
  /// Names in lower case. Of a repeated field, only the last one is kept.
  std::map<std::string, std::string> Headers;
  std::string Body;

  /// The request may have taken effect, but its result is unknown.
  bool isResultUnknown() const {
    return Outcome == outcome::NoAnswer || Outcome == outcome::TooLarge;
  }
};

} // namespace briarpoint

#endif // BRIARPOINT_IO_HTTP_ANSWER_H
