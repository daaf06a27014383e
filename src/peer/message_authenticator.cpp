#include "peer/message_authenticator.h"

#include "base/byte_reader.h"
#include "base/byte_writer.h"
#include "base/findings_error.h"
#include "base/hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>

namespace briarpoint {

namespace {

constexpr std::uint64_t FormatVersion = 1;
constexpr std::size_t CodeSize = 16;
constexpr std::size_t MinKeySize = 16;
constexpr std::size_t MaxKeys = 2;

using code = std::array<unsigned char, CodeSize>;

[[noreturn]] void refuse(const std::string &Path, const std::string &Message) {
  throw findings_error({{"peer message", 0, 0, Path, Message}});
}

code computeCode(const std::string &Key, std::string_view Bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned int Size = 0;
  const unsigned char *Done = HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
                                   reinterpret_cast<const unsigned char *>(Bytes.data()),
                                   Bytes.size(), Digest.data(), &Size);
  if (Done == nullptr || Size < CodeSize)
    throw std::runtime_error("the cryptographic library could not compute HMAC-SHA-256");
  code Result{};
  std::copy_n(Digest.begin(), CodeSize, Result.begin());
  return Result;
}

std::vector<finding> checkKeys(const std::vector<std::string> &Keys) {
  std::vector<finding> Findings;
  if (Keys.empty() || Keys.size() > MaxKeys)
    Findings.push_back(
        {"settings", 0, 0, "keys", "expected one or two keys, got " + std::to_string(Keys.size())});
  for (std::size_t I = 0; I < Keys.size(); ++I)
    if (Keys[I].size() < MinKeySize)
      Findings.push_back({"settings", 0, 0, "keys[" + std::to_string(I) + "]",
                          "a key needs at least " + std::to_string(MinKeySize) + " bytes"});
  return Findings;
}

} // namespace

message_authenticator::message_authenticator(const authenticator_settings &Settings)
    : Settings(Settings), FabricHash(hashBytes(Settings.Fabric)) {
  std::vector<finding> Findings = checkKeys(Settings.Keys);
  if (!Findings.empty())
    throw findings_error(std::move(Findings));
}

std::string message_authenticator::seal(std::string_view Payload) {
  byte_writer Header;
  Header.append(FormatVersion, 1);
  Header.append(FabricHash, 8);
  Header.append(static_cast<std::uint64_t>(Settings.Sender), 8);
  Header.append(Settings.Incarnation, 8);
  Header.append(++Sequence, 8);
  std::string Bytes = Header.bytes();
  Bytes.reserve(Payload.size() + Overhead);
  Bytes.append(Payload);
  const code Code = computeCode(Settings.Keys.front(), Bytes);
  Bytes.append(reinterpret_cast<const char *>(Code.data()), Code.size());
  return Bytes;
}

authenticated_message message_authenticator::open(std::string_view Bytes) {
  if (Bytes.size() < Overhead)
    refuse("", "the message has " + std::to_string(Bytes.size()) + " bytes, fewer than " +
                   std::to_string(Overhead));
  byte_reader Reader(Bytes);
  if (const std::uint64_t Version = Reader.read(1); Version != FormatVersion)
    refuse("version", "unknown version " + std::to_string(Version));
  if (Reader.read(8) != FabricHash)
    refuse("fabric",
           "the hash of the fabric's name is not that of fabric \"" + Settings.Fabric + "\"");
  const member_id Sender{Reader.read(8)};
  const std::uint64_t Incarnation = Reader.read(8);
  const std::uint64_t Number = Reader.read(8);
  checkCode(Bytes);
  checkReplay(Sender, Incarnation, Number);
  return {Sender, Reader.rest().substr(0, Reader.rest().size() - CodeSize)};
}

void message_authenticator::checkCode(std::string_view Bytes) const {
  const std::string_view Signed = Bytes.substr(0, Bytes.size() - CodeSize);
  const std::string_view Received = Bytes.substr(Signed.size());
  bool Valid = false;
  for (const std::string &Key : Settings.Keys) {
    const code Expected = computeCode(Key, Signed);
    Valid |= CRYPTO_memcmp(Expected.data(), Received.data(), CodeSize) == 0;
  }
  if (!Valid)
    refuse("code", "the authentication code matches none of the keys");
}

void message_authenticator::checkReplay(member_id Sender, std::uint64_t Incarnation,
                                        std::uint64_t Number) {
  if (Sender == Settings.Sender)
    refuse("sender", "the sender has the id of this process, " +
                         std::to_string(static_cast<std::uint64_t>(Sender)));
  sender_state &State = Senders[Sender];
  if (Incarnation < State.Incarnation)
    refuse("incarnation", "expected incarnation " + std::to_string(State.Incarnation) +
                              " or later, got " + std::to_string(Incarnation));
  if (Incarnation > State.Incarnation)
    State = {Incarnation, {}};
  if (!State.Window.accept(Number))
    refuse("sequence", "sequence number " + std::to_string(Number) +
                           " was received before or is older than the replay window");
}

} // namespace briarpoint
