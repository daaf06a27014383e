#include "config/json_repair.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <optional>

namespace briarpoint {

namespace {

bool isDigit(char C) { return C >= '0' && C <= '9'; }

/// Returns the number of digits at the start of \p Text.
std::size_t countDigits(std::string_view Text) {
  return static_cast<std::size_t>(std::find_if_not(Text.begin(), Text.end(), isDigit) -
                                  Text.begin());
}

/// Returns whether \p Text is a number in the grammar of JSON.
bool isJsonNumber(std::string_view Text) {
  if (Text.starts_with('-'))
    Text.remove_prefix(1);
  std::size_t Digits = countDigits(Text);
  if (Digits == 0 || (Digits > 1 && Text.front() == '0'))
    return false;
  Text.remove_prefix(Digits);
  if (Text.starts_with('.')) {
    Text.remove_prefix(1);
    Digits = countDigits(Text);
    if (Digits == 0)
      return false;
    Text.remove_prefix(Digits);
  }
  if (Text.starts_with('e') || Text.starts_with('E')) {
    Text.remove_prefix(1);
    if (Text.starts_with('+') || Text.starts_with('-'))
      Text.remove_prefix(1);
    Digits = countDigits(Text);
    if (Digits == 0)
      return false;
    Text.remove_prefix(Digits);
  }
  return Text.empty();
}

/// Returns whether a word outside of strings is a value that a JSON parser can read.
bool isReadable(std::string_view Word) {
  if (Word == "true" || Word == "false" || Word == "null")
    return true;
  double Number = 0;
  return isJsonNumber(Word) &&
         std::from_chars(Word.data(), Word.data() + Word.size(), Number).ec == std::errc();
}

/// Returns the size of the valid UTF-8 character at the start of \p Text, or 0.
std::size_t utf8CharacterSize(std::string_view Text) {
  const auto ByteAt = [Text](std::size_t Index) {
    return Index < Text.size() ? static_cast<unsigned char>(Text[Index]) : 0U;
  };
  const unsigned First = ByteAt(0);
  if (First < 0x80)
    return 1;
  const std::size_t Size = First >= 0xf0 ? 4 : First >= 0xe0 ? 3 : 2;
  // Refuses overlong forms, surrogates, and values above U+10FFFF by the second byte.
  const unsigned Lowest = First == 0xe0 ? 0xa0 : First == 0xf0 ? 0x90 : 0x80;
  const unsigned Highest = First == 0xed ? 0x9f : First == 0xf4 ? 0x8f : 0xbf;
  if (First < 0xc2 || First > 0xf4 || ByteAt(1) < Lowest || ByteAt(1) > Highest)
    return 0;
  for (std::size_t I = 2; I < Size; ++I)
    if (ByteAt(I) < 0x80 || ByteAt(I) > 0xbf)
      return 0;
  return Size;
}

/// Returns the value of an escape such as "\u00e9" at the start of \p Text, or nothing.
std::optional<unsigned> parseUnicodeEscape(std::string_view Text) {
  constexpr std::size_t Size = 6;
  if (Text.size() < Size || !Text.starts_with("\\u"))
    return std::nullopt;
  unsigned Code = 0;
  const auto Result = std::from_chars(Text.data() + 2, Text.data() + Size, Code, 16);
  if (Result.ec != std::errc() || Result.ptr != Text.data() + Size)
    return std::nullopt;
  return Code;
}

/// Returns the size of the valid escape at the start of \p Text, or 0.
std::size_t escapeSize(std::string_view Text) {
  if (Text.size() >= 2 && std::string_view("\"\\/bfnrt").find(Text[1]) != std::string_view::npos)
    return 2;
  const std::optional<unsigned> Code = parseUnicodeEscape(Text);
  if (!Code || (*Code >= 0xdc00 && *Code <= 0xdfff))
    return 0;
  if (*Code < 0xd800 || *Code > 0xdfff)
    return 6;
  const std::optional<unsigned> Low = parseUnicodeEscape(Text.substr(6));
  return Low && *Low >= 0xdc00 && *Low <= 0xdfff ? 12 : 0;
}

/// Appends the string that begins with the quote at \p Begin to \p Out. Returns the position after
/// it.
std::size_t repairString(std::string_view Text, std::size_t Begin, std::string &Out) {
  Out += '"';
  std::size_t At = Begin + 1;
  while (At < Text.size() && Text[At] != '"') {
    const std::string_view Rest = Text.substr(At);
    const bool Control = static_cast<unsigned char>(Rest.front()) < 0x20;
    const std::size_t Size = Control                ? 0
                             : Rest.front() == '\\' ? escapeSize(Rest)
                                                    : utf8CharacterSize(Rest);
    if (Size == 0)
      Out += '?';
    else
      Out += Rest.substr(0, Size);
    At += std::max<std::size_t>(Size, 1);
  }
  if (At < Text.size())
    Out += '"';
  return std::min(At + 1, Text.size());
}

} // namespace

std::string repairJson(std::string_view Text) {
  constexpr std::string_view Separators = "[]{},:\" \t\r\n";
  std::string Out;
  Out.reserve(Text.size());
  std::size_t At = 0;
  while (At < Text.size()) {
    if (Text[At] == '"') {
      At = repairString(Text, At, Out);
      continue;
    }
    const std::size_t End = std::min(Text.find_first_of(Separators, At), Text.size());
    const std::string_view Word = Text.substr(At, End - At);
    if (Word.empty())
      Out += Text[At];
    else
      Out += isReadable(Word) ? Word : "null";
    At = std::max(End, At + 1);
  }
  return Out;
}

} // namespace briarpoint
