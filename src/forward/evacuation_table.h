#ifndef BRIARPOINT_FORWARD_EVACUATION_TABLE_H
#define BRIARPOINT_FORWARD_EVACUATION_TABLE_H

#include "base/instant.h"

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace briarpoint {

/// The data centres that operators have evacuated: their targets get no new flows, while open flows
/// stay. Made for the load of a planned or forced loss of a data centre, when the others serve its
/// callers, too.
class evacuation_table {
public:
  using data_centres = std::set<std::string, std::less<>>;

  /// Replaces all evacuations by those of a complete list.
  void replaceAll(data_centres Listed) { Evacuated = std::move(Listed); }
  /// Returns false if the data centre is evacuated already.
  bool evacuate(const std::string &DataCentre) { return Evacuated.insert(DataCentre).second; }
  /// Returns false if the data centre isn't evacuated.
  bool withdraw(const std::string &DataCentre) { return Evacuated.erase(DataCentre) > 0; }

  bool contains(std::string_view DataCentre) const { return Evacuated.contains(DataCentre); }
  const data_centres &evacuated() const { return Evacuated; }

  /// The store had no evacuation or withdrawal at \p At that this table hasn't seen.
  void setCurrentAt(instant At) { CurrentAt = At; }
  /// Returns whether the table has all changes that the store acknowledged before \p Time.
  bool isCurrentAsOf(instant Time) const { return Time < CurrentAt; }

  /// Contact with the store is known to be lost, or was regained.
  void setContactLost(bool IsLost) { ContactLost = IsLost; }
  bool contactLost() const { return ContactLost; }

private:
  data_centres Evacuated;
  instant CurrentAt{};
  bool ContactLost = false;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_EVACUATION_TABLE_H
