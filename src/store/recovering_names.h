#ifndef BRIARPOINT_STORE_RECOVERING_NAMES_H
#define BRIARPOINT_STORE_RECOVERING_NAMES_H

#include "base/instant.h"

#include <map>
#include <set>
#include <string>

namespace briarpoint {

/// The names of operators' objects that count by their existence alone, such as evacuations, across
/// a return of the store from an older copy.
///
/// Until the recovery time ends, a list of the copy neither ends an object that it lacks nor brings
/// back one that was removed. Changes that a watch reports are writes of the new era, so they count
/// at once. After the recovery time, the last list and the changes since count.
class recovering_names {
public:
  /// The store came back older. Lists that are read before \p EndsAt may lack what operators wrote.
  void beginRecovery(instant EndsAt) { RecoveryEndsAt = EndsAt; }

  /// The store lists exactly \p Names.
  void replaceAll(const std::set<std::string> &Names, instant Now);
  void add(const std::string &Name);
  void remove(const std::string &Name, instant Now);

  bool contains(const std::string &Name, instant Now) const;
  /// Returns all names that contains() accepts, sorted.
  std::set<std::string> all(instant Now) const;

private:
  struct entry {
    /// The store has the object.
    bool Listed = false;
    /// Until then the object counts although the store lacks it.
    instant KeptUntil{};
    /// Until then the object doesn't count although a list has it.
    instant HeldBackUntil{};
    /// When a change removed it; Never if none did. Only removals of the last RemovalMemory are
    /// known.
    instant RemovedAt = Never;
  };
  /// Time for which removals are remembered, above the age of a copy from which a store comes back.
  static constexpr duration RemovalMemory = std::chrono::seconds(60);

  static bool counts(const entry &Entry, instant Now) {
    return Entry.Listed ? Now >= Entry.HeldBackUntil : Now < Entry.KeptUntil;
  }

  std::map<std::string, entry> Entries;
  instant RecoveryEndsAt{};
};

} // namespace briarpoint

#endif // BRIARPOINT_STORE_RECOVERING_NAMES_H
