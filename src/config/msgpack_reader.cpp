#include "config/msgpack_reader.h"

#include "config/document_builder.h"

#include <msgpack.hpp>

namespace briarpoint {

namespace {

/// Passes the events of msgpack's parser, which does not recurse, to a document_builder.
class msgpack_visitor final : public msgpack::null_visitor {
public:
  explicit msgpack_visitor(document_builder &Builder) : Builder(Builder) {}

  bool visit_nil() {
    return value([this] { return Builder.null(); });
  }
  bool visit_boolean(bool Value) {
    return value([this, Value] { return Builder.boolean(Value); });
  }
  bool visit_positive_integer(std::uint64_t Value) {
    return value([this, Value] { return Builder.number_unsigned(Value); });
  }
  bool visit_negative_integer(std::int64_t Value) {
    return value([this, Value] { return Builder.number_integer(Value); });
  }
  bool visit_float32(float Value) {
    return value([this, Value] { return Builder.number_float(Value, {}); });
  }
  bool visit_float64(double Value) {
    return value([this, Value] { return Builder.number_float(Value, {}); });
  }
  bool visit_str(const char *Text, std::uint32_t Size) {
    std::string String(Text, Size);
    if (InKey && KeyDepth == 0) {
      KeySeen = true;
      return Builder.key(String);
    }
    return value([&] { return Builder.string(String); });
  }
  bool visit_bin(const char * /*Bytes*/, std::uint32_t /*Size*/) { return visit_nil(); }
  bool visit_ext(const char * /*Bytes*/, std::uint32_t /*Size*/) { return visit_nil(); }

  bool start_array(std::uint32_t Size) {
    return open([&] { return Builder.start_array(Size); });
  }
  bool end_array() {
    return close([this] { return Builder.end_array(); });
  }
  bool start_map(std::uint32_t Size) {
    return open([&] { return Builder.start_object(Size); });
  }
  bool end_map() {
    return close([this] { return Builder.end_object(); });
  }
  bool start_map_key() {
    if (!InKey) {
      InKey = true;
      KeySeen = false;
    }
    return true;
  }
  bool end_map_key() {
    if (KeyDepth > 0)
      return true;
    InKey = false;
    std::string Unnamed;
    return KeySeen || Builder.key(Unnamed);
  }

private:
  /// Values within a name are skipped.
  template <typename T> bool value(T &&Add) { return InKey || Add(); }
  template <typename T> bool open(T &&Start) {
    if (!InKey)
      return Start();
    ++KeyDepth;
    return true;
  }
  template <typename T> bool close(T &&End) {
    if (!InKey)
      return End();
    --KeyDepth;
    return true;
  }

  document_builder &Builder;
  bool InKey = false;
  bool KeySeen = false;
  /// Number of open arrays and maps within a name.
  std::size_t KeyDepth = 0;
};

} // namespace

document_value readLenientMsgpack(std::string_view Bytes, const std::string &Source) {
  document_builder Builder(Bytes, Source, document_builder::policy::Lenient);
  msgpack_visitor Visitor(Builder);
  std::size_t Offset = 0;
  bool Complete = false;
  try {
    Complete = msgpack::parse(Bytes.data(), Bytes.size(), Offset, Visitor);
  } catch (const msgpack::unpack_error &) {
    // Complete stays false.
  }
  if (!Complete || Offset != Bytes.size())
    throw findings_error({{Source, 0, 0, "",
                           "MessagePack syntax error at byte " + std::to_string(Offset) + " of " +
                               std::to_string(Bytes.size())}});
  return Builder.finish();
}

} // namespace briarpoint
