#ifndef BRIARPOINT_PEER_HTTP_SIGNATURE_H
#define BRIARPOINT_PEER_HTTP_SIGNATURE_H

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace briarpoint {

/// Signs HTTP messages between balancers with the key of the fabric: "MILLISECONDS:HEX", an
/// HMAC-SHA-256 over the time and the text. The calls only read, so a repeated message within
/// MaxAge does no harm.
class http_signature {
public:
  /// Name of the header field.
  static constexpr const char *Header = "Briarpoint-Signature";
  /// Largest difference between the wall clocks of two balancers, transport included.
  static constexpr std::chrono::milliseconds MaxAge = std::chrono::seconds(60);

  /// The first key signs, each one verifies.
  explicit http_signature(std::vector<std::string> Keys) : Keys(std::move(Keys)) {}

  std::string sign(std::string_view Text, std::chrono::milliseconds WallClock) const;

  bool verify(std::string_view Text, std::string_view Signature,
              std::chrono::milliseconds WallClock) const;

private:
  std::vector<std::string> Keys;
};

} // namespace briarpoint

#endif // BRIARPOINT_PEER_HTTP_SIGNATURE_H
