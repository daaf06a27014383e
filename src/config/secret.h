#ifndef BRIARPOINT_CONFIG_SECRET_H
#define BRIARPOINT_CONFIG_SECRET_H

#include <cstddef>
#include <string>
#include <string_view>

namespace briarpoint {

/// A secret text. It has no output operator and no conversion to text, so that it can't get into a
/// log line or a dump by accident; reveal() marks the places that need the value.
class secret {
public:
  secret() = default;
  explicit secret(std::string Text) : Text(std::move(Text)) {}

  const std::string &reveal() const { return Text; }
  bool empty() const { return Text.empty(); }

  /// Compares in a time that depends on the lengths only, so that a caller can't find the secret
  /// out byte by byte.
  bool matches(std::string_view Other) const {
    unsigned Difference = Text.size() == Other.size() ? 0 : 1;
    for (std::size_t I = 0; I < Other.size(); ++I)
      Difference |= static_cast<unsigned char>(Other[I] ^ (I < Text.size() ? Text[I] : '\0'));
    return Difference == 0;
  }

  bool operator==(const secret &Other) const { return matches(Other.Text); }

private:
  std::string Text;
};

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_SECRET_H
