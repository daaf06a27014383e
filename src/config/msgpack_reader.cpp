#include "config/msgpack_reader.h"

#include "config/msgpack_cursor.h"
#include "config/part_builder.h"

namespace briarpoint {

namespace {

/// Passes the values that a part_builder reads from a msgpack_cursor to it. The depth of the
/// recursion is that of the document_parts.
class msgpack_part_parser {
public:
  msgpack_part_parser(msgpack_cursor &Cursor, part_builder &Builder)
      : Cursor(Cursor), Builder(Builder) {}

  /// Returns false if the bytes end within the value or are not MessagePack.
  bool parseValue() {
    if (!Builder.isNextRead())
      return Cursor.skip();
    msgpack_head Head;
    if (!Cursor.read(Head))
      return false;
    switch (Head.Type) {
    case msgpack_head::type::Boolean:
      return Builder.boolean(Head.Number != 0);
    case msgpack_head::type::Unsigned:
      return Builder.number_unsigned(Head.Number);
    case msgpack_head::type::Negative:
      return Builder.number_integer(static_cast<std::int64_t>(Head.Number));
    case msgpack_head::type::Float:
      return Builder.number_float(Head.Float, {});
    case msgpack_head::type::Text:
      return Builder.text(Head.Text);
    case msgpack_head::type::Nil:
    case msgpack_head::type::Bytes:
      return Builder.null();
    case msgpack_head::type::Array:
      return parseArray(Head.Count);
    case msgpack_head::type::Map:
      return parseMap(Head.Count);
    }
    return false;
  }

private:
  bool parseArray(std::uint32_t Count) {
    Builder.start_array(Count);
    for (std::uint32_t I = 0; I < Count; ++I)
      if (!parseValue())
        return false;
    return Builder.end_array();
  }

  bool parseMap(std::uint32_t Count) {
    Builder.start_object(Count);
    for (std::uint32_t I = 0; I < Count; ++I)
      if (!parseName() || !parseValue())
        return false;
    return Builder.end_object();
  }

  /// A name may be a value of any type.
  bool parseName() {
    const msgpack_cursor Start = Cursor;
    msgpack_head Head;
    if (!Cursor.read(Head))
      return false;
    if (Head.Type == msgpack_head::type::Text)
      return Builder.name(Head.Text);
    Cursor = Start;
    return Builder.name("") && Cursor.skip();
  }

  msgpack_cursor &Cursor;
  part_builder &Builder;
};

} // namespace

document_value readMsgpackParts(std::string_view Bytes, const std::string &Source,
                                const document_parts &Parts, element_receiver *Receiver) {
  if (Receiver != nullptr)
    Receiver->begin();
  part_builder Builder(Bytes, Source, Parts, Receiver);
  msgpack_cursor Cursor(Bytes);
  if (!msgpack_part_parser(Cursor, Builder).parseValue() || Cursor.position() != Bytes.size())
    throw findings_error({{Source, 0, 0, "",
                           "MessagePack syntax error at byte " + std::to_string(Cursor.position()) +
                               " of " + std::to_string(Bytes.size())}});
  return Builder.finish();
}

} // namespace briarpoint
