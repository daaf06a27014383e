#ifndef BRIARPOINT_STANDINS_OBJECT_DATABASE_H
#define BRIARPOINT_STANDINS_OBJECT_DATABASE_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarpoint::standins {

/// The objects of the platform stand-in: kinds of named objects, one revision counter, and the
/// history of changes that watches read.
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
  /// Outcome of a write, with the object as it is then; empty if there is none.
  struct write_result {
    bool Written = false;
    std::optional<object> Object;
  };

  std::uint64_t revision() const { return Revision; }
  std::optional<object> get(const std::string &Kind, const std::string &Name) const;
  /// Up to \p Limit objects whose names follow \p After, in the order of names.
  std::vector<object> list(const std::string &Kind, const std::string &After,
                           std::size_t Limit) const;

  write_result create(const std::string &Kind, const std::string &Name, nlohmann::json Spec);
  /// \p Expected is the revision that the object must have; 0 stands for any.
  write_result replace(const std::string &Kind, const std::string &Name, std::uint64_t Expected,
                       nlohmann::json Spec);
  bool remove(const std::string &Kind, const std::string &Name);

  /// Changes of a kind after \p After; nothing if that part of the history is gone.
  std::optional<std::vector<change>> changes(const std::string &Kind, std::uint64_t After) const;
  /// Forgets the history up to now.
  void compact() {
    History.clear();
    HistoryBegin = Revision;
  }

private:
  void record(const std::string &Kind, const object &Object, bool Deleted);

  std::uint64_t Revision = 1;
  std::map<std::string, std::map<std::string, object>> Kinds;
  std::deque<change> History;
  /// Revision from which on the history is complete.
  std::uint64_t HistoryBegin = 0;
};

} // namespace briarpoint::standins

#endif // BRIARPOINT_STANDINS_OBJECT_DATABASE_H
