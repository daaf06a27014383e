#ifndef BRIARPOINT_STORE_STORE_CALL_H
#define BRIARPOINT_STORE_STORE_CALL_H

#include "base/instant.h"

#include <compare>
#include <cstdint>
#include <string_view>

namespace briarpoint {

/// Type of a call that an object_watcher makes to the store.
enum class store_call_type : std::uint8_t { List, StaleList, Watch, StaleWatch };

/// Returns the name in logs and metrics.
constexpr std::string_view toString(store_call_type Type) {
  switch (Type) {
  case store_call_type::List:
    return "list";
  case store_call_type::StaleList:
    return "stale_list";
  case store_call_type::StaleWatch:
    return "stale_watch";
  case store_call_type::Watch:
    break;
  }
  return "watch";
}

/// A call of an object_watcher to the store.
struct store_call {
  store_call_type Type = store_call_type::List;
  /// The revision after which a watch reports changes; 0 for a list.
  std::uint64_t Revision = 0;
  instant SentAt{};
  /// When the store answers a watch that found no changes; SentAt for a list.
  instant WaitEndsAt{};

  auto operator<=>(const store_call &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_STORE_STORE_CALL_H
