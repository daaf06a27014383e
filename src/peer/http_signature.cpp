#include "peer/http_signature.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <stdexcept>

namespace briarpoint {

namespace {

std::string hexMac(const std::string &Key, std::string_view Time, std::string_view Text) {
  // The time contains no colon, so a different time and text can't give the same input.
  std::string Input(Time);
  Input += ':';
  Input += Text;
  std::array<unsigned char, EVP_MAX_MD_SIZE> Mac{};
  unsigned Size = 0;
  if (HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
           reinterpret_cast<const unsigned char *>(Input.data()), Input.size(), Mac.data(),
           &Size) == nullptr)
    throw std::runtime_error("the cryptographic library could not compute HMAC-SHA-256");
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Hex;
  for (unsigned I = 0; I < Size; ++I) {
    Hex += Digits[Mac[I] >> 4U];
    Hex += Digits[Mac[I] & 15U];
  }
  return Hex;
}

} // namespace

std::string http_signature::sign(std::string_view Text, std::chrono::milliseconds WallClock) const {
  const std::string Time = std::to_string(WallClock.count());
  return Time + ":" + hexMac(Keys.front(), Time, Text);
}

bool http_signature::verify(std::string_view Text, std::string_view Signature,
                            std::chrono::milliseconds WallClock) const {
  const std::size_t Colon = Signature.find(':');
  if (Colon == std::string_view::npos)
    return false;
  const std::string_view Time = Signature.substr(0, Colon);
  const std::string_view Mac = Signature.substr(Colon + 1);
  // Unsigned, so that no difference overflows.
  std::uint64_t SignedAt = 0;
  const auto [End, Error] = std::from_chars(Time.data(), Time.data() + Time.size(), SignedAt);
  if (Error != std::errc() || End != Time.data() + Time.size())
    return false;
  const auto Now = static_cast<std::uint64_t>(WallClock.count());
  const std::uint64_t Age = Now > SignedAt ? Now - SignedAt : SignedAt - Now;
  if (Age > static_cast<std::uint64_t>(MaxAge.count()))
    return false;
  bool Valid = false;
  for (const std::string &Key : Keys) {
    const std::string Expected = hexMac(Key, Time, Text);
    const bool Equal = Mac.size() == Expected.size() &&
                       CRYPTO_memcmp(Mac.data(), Expected.data(), Expected.size()) == 0;
    Valid = Valid || Equal;
  }
  return Valid;
}

} // namespace briarpoint
