#ifndef BRIARPOINT_PEER_HTTP_SIGNATURE_H
#define BRIARPOINT_PEER_HTTP_SIGNATURE_H

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace briarpoint {

/// Signs HTTP messages between balancers with the key of the fabric. A signature has the form
/// "MILLISECONDS:HEX": the time of signing, and an HMAC-SHA-256 over that time and the text. Replay
/// within MaxAge isn't prevented, because the signed requests only read.
class http_signature {
public:
  /// Name of the header field.
  static constexpr const char *Header = "Briarpoint-Signature";
  /// Largest accepted difference between the time of signing and the verifier's wall clock: the
  /// difference of the two balancers' clocks, and transport.
  static constexpr std::chrono::milliseconds MaxAge = std::chrono::seconds(60);

  /// The first key signs, each one verifies.
  explicit http_signature(std::vector<std::string> Keys) : Keys(std::move(Keys)) {}

  /// \p WallClock is the time since the Unix epoch.
  std::string sign(std::string_view Text, std::chrono::milliseconds WallClock) const;

  /// Returns whether \p Signature is valid for \p Text and at most MaxAge away from \p WallClock.
  bool verify(std::string_view Text, std::string_view Signature,
              std::chrono::milliseconds WallClock) const;

private:
  std::vector<std::string> Keys;
};

} // namespace briarpoint

#endif // BRIARPOINT_PEER_HTTP_SIGNATURE_H
