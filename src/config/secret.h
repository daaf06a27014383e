#ifndef BRIARPOINT_CONFIG_SECRET_H
#define BRIARPOINT_CONFIG_SECRET_H

#include <cstddef>
#include <string>
#include <string_view>

namespace briarpoint {

/// A secret text. It has no output operator and no conversion to a string, which keeps it out of
/// log lines and dumps. Code that needs the value calls reveal().
class secret {
public:
  secret() = default;
  explicit secret(std::string Text) : Text(std::move(Text)) {}

  const std::string &reveal() const { return Text; }
  bool empty() const { return Text.empty(); }

  /// Compares in a time that depends only on the lengths. Otherwise a client could determine the
  /// secret byte by byte from response times.
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
