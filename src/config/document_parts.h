#ifndef BRIARPOINT_CONFIG_DOCUMENT_PARTS_H
#define BRIARPOINT_CONFIG_DOCUMENT_PARTS_H

#include "config/document_value.h"

#include <cstddef>
#include <limits>
#include <string>
#include <vector>

namespace briarpoint {

/// Which parts of a document that another program wrote are read. Everything else is skipped, so
/// that the parts that are needed bound the memory, and not the size of the document.
///
/// A value without Fields and Elements is read as a scalar: a table or list in its place is read as
/// an empty one.
struct document_parts {
  static constexpr std::size_t Unlimited = std::numeric_limits<std::size_t>::max();

  /// Name of the field, if the value is one of a table.
  std::string Name = {};
  /// Fields of a table that are read. Of a field that appears twice, the first one is read.
  std::vector<document_parts> Fields = {};
  /// Parts of each element of a list; at most one entry, none if the elements aren't read.
  std::vector<document_parts> Elements = {};
  /// A longer text is cut to this many bytes, with "..." behind them.
  std::size_t MaxTextSize = 64;
  /// Memory that the value may take, in bytes; a value that needs more is read as null. Within such
  /// a value, further limits have no effect.
  std::size_t MaxMemory = Unlimited;

  bool operator==(const document_parts &) const = default;
};

/// An element of a list, of which the parts were read.
struct document_element {
  document_value Value;
  /// Why a part of it is missing; empty if all were read.
  std::string Defect = {};
};

/// Receives the elements of the lists in a document's root table one by one, so that the document
/// never holds all of them.
class element_receiver {
public:
  virtual ~element_receiver() = default;

  /// Reading starts. It starts again if the document has to be repaired: what was received before
  /// is void.
  virtual void begin() = 0;
  virtual void add(document_element Element) = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_DOCUMENT_PARTS_H
