#ifndef BRIARPOINT_STORE_OBJECT_API_H
#define BRIARPOINT_STORE_OBJECT_API_H

#include "base/instant.h"
#include "config/document_value.h"

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace briarpoint {

/// An object of the platform's store.
struct stored_object {
  std::string Name;
  /// Revision of the store at which the object was created and last changed.
  std::uint64_t Created = 0;
  std::uint64_t Revision = 0;
  document_value Value;
};

/// A change that a watch reports.
struct object_change {
  stored_object Object;
  bool Deleted = false;
};

/// How a call ended.
enum class call_outcome : std::uint8_t {
  Done,
  /// The store no longer has the history that a watch asked for.
  HistoryGone,
  /// The store refused the call (over its rate, or unavailable). Nothing was done.
  Refused,
  /// No answer within the limits: unreachable, silent, or the connection ended.
  Unanswered,
  /// The answer can't be read.
  Malformed,
  /// A check after the call wasn't answered, so the store may never have received the call.
  Unconfirmed,
};

inline constexpr std::size_t CallOutcomeCount = 6;

/// Returns the name for logs and metrics.
constexpr std::string_view toString(call_outcome Outcome) {
  constexpr std::array<std::string_view, CallOutcomeCount> Names{
      "done", "history_gone", "refused", "unanswered", "malformed", "unconfirmed"};
  return Names.at(static_cast<std::size_t>(Outcome));
}

/// How old the data of a read may be.
enum class read_consistency : std::uint8_t {
  Linearizable,
  /// May be seconds old; costs the store a tenth.
  Stale,
};

/// Answer to a list call: one page.
struct list_answer {
  call_outcome Outcome = call_outcome::Unanswered;
  std::vector<stored_object> Objects;
  /// Further objects follow after the last one.
  bool HasMore = false;
  /// The store's revision at the time of the answer.
  std::uint64_t Revision = 0;
};

/// Answer to a watch call: the changes after the given revision, oldest first.
struct watch_answer {
  call_outcome Outcome = call_outcome::Unanswered;
  std::vector<object_change> Changes;
  std::uint64_t Revision = 0;
};

/// Reads objects of the platform's store. One list or watch may be in progress, and one check
/// beside it; callbacks come once, later, from the event loop. Destroying the object drops the
/// calls.
class object_api {
public:
  virtual ~object_api() = default;

  /// Reads a page of the objects of a kind whose names follow \p After.
  virtual void list(const std::string &Kind, const std::string &After, read_consistency Consistency,
                    std::function<void(list_answer)> Done) = 0;

  /// Waits until an object of the kind has changed since \p Revision, \p Wait at most.
  virtual void watch(const std::string &Kind, std::uint64_t Revision, duration Wait,
                     std::function<void(watch_answer)> Done) = 0;

  /// Asks for the changes since \p Revision that may be seconds old, without waiting for any, over
  /// a connection of its own: to learn whether the store takes calls in and whether a watch that
  /// waits has missed something. Costs a tenth of a watch. Drops an earlier check.
  virtual void check(const std::string &Kind, std::uint64_t Revision,
                     std::function<void(watch_answer)> Done) = 0;

  /// Drops the calls in progress and their connections.
  virtual void cancel() = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_STORE_OBJECT_API_H
