#ifndef BRIARPOINT_STORE_OBJECT_PARTS_H
#define BRIARPOINT_STORE_OBJECT_PARTS_H

#include "config/document_parts.h"

#include <string>

namespace briarpoint {

/// What is read of the objects of a kind, beside the store's own fields. Any program may write
/// objects of any size and content to the store, so this bounds the memory that they take.
struct object_parts {
  document_parts Value = {};
  /// The value is read only of the object with this name; of all if it is empty.
  std::string Name = {};

  bool has(const std::string &ObjectName) const { return Name.empty() || Name == ObjectName; }

  bool operator==(const object_parts &) const = default;
};

} // namespace briarpoint

#endif // BRIARPOINT_STORE_OBJECT_PARTS_H
