#ifndef BRIARPOINT_STANDINS_OBJECT_DATABASE_H
#define BRIARPOINT_STANDINS_OBJECT_DATABASE_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace briarpoint::standins {

/// In-memory database of the platform stand-in: named objects of several kinds, a revision counter
/// that all kinds share, and the history of changes for watches. It can come back from an older
/// copy of itself, in which case it gives out revisions again.
class object_database {
public:
  struct object {
    std::string Name;
    std::uint64_t Created = 0;
    std::uint64_t Revision = 0;
    nlohmann::json Spec;
  };
  struct change {
    std::string Kind;
    object Object;
    bool Deleted = false;
  };
  /// Outcome of a write, with the object after it; empty if there is none.
  struct write_result {
    bool Written = false;
    std::optional<object> Object;
  };

  std::uint64_t revision() const { return Revision; }
  /// Number of returns from a copy.
  std::uint64_t era() const { return Era; }
  std::optional<object> get(const std::string &Kind, const std::string &Name) const;
  /// Returns up to \p Limit objects whose names follow \p After, ordered by name.
  std::vector<object> list(const std::string &Kind, const std::string &After,
                           std::size_t Limit) const;

  /// Fails if the object exists.
  write_result create(const std::string &Kind, const std::string &Name, nlohmann::json Spec);
  /// Fails if the object doesn't exist or its revision isn't \p ExpectedRevision; 0 matches any
  /// revision.
  write_result replace(const std::string &Kind, const std::string &Name,
                       std::uint64_t ExpectedRevision, nlohmann::json Spec);
  /// Returns false if the object doesn't exist.
  bool remove(const std::string &Kind, const std::string &Name);

  /// Returns the changes of a kind after revision \p After, or nothing if that part of the history
  /// was discarded or the database doesn't have the revision.
  std::optional<std::vector<change>> changes(const std::string &Kind, std::uint64_t After) const;
  /// Discards the history up to the current revision.
  void compact() {
    History.clear();
    HistoryStart = Revision;
  }

  /// Keeps a copy of objects, revision and history in place of an earlier copy.
  void keepCopy();
  /// Returns to the last copy, or to an empty database without one, and raises the era by one.
  void comeBackFromCopy();

private:
  void record(const std::string &Kind, const object &Object, bool Deleted);

  std::uint64_t Revision = 1;
  std::map<std::string, std::map<std::string, object>> Kinds;
  std::deque<change> History;
  /// The history contains all changes after this revision.
  std::uint64_t HistoryStart = 0;
  std::uint64_t Era = 0;
  std::shared_ptr<const object_database> Copy;
};

} // namespace briarpoint::standins

#endif // BRIARPOINT_STANDINS_OBJECT_DATABASE_H
