#include "peer/http_signature.h"

#include <gtest/gtest.h>

namespace briarpoint {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds Now{1'700'000'000'000};
const std::string Key = "key-of-at-least-sixteen-bytes";
const std::string OtherKey = "other-key-of-at-least-sixteen";

// Guards against refusing a signature that was made with the same key.
TEST(http_signature, acceptsItsOwnSignature) {
  const http_signature Signature({Key});
  EXPECT_TRUE(Signature.verify("text", Signature.sign("text", Now), Now));
  EXPECT_TRUE(Signature.verify("", Signature.sign("", Now), Now));
}

// Guards against refusing messages during a key change.
TEST(http_signature, acceptsEitherKeyDuringAKeyChange) {
  const std::string Old = http_signature({Key}).sign("text", Now);
  EXPECT_TRUE(http_signature({OtherKey, Key}).verify("text", Old, Now));
  EXPECT_FALSE(http_signature({OtherKey}).verify("text", Old, Now));
}

// Guards against accepting a forged or expired signature, and against a malformed one that ends the
// process.
TEST(http_signature, refusesEverythingElse) {
  const http_signature Signature({Key});
  const std::string Good = Signature.sign("text", Now);
  std::string Flipped = Good;
  Flipped.back() = Flipped.back() == '0' ? '1' : '0';
  const std::string Faults[] = {
      "",
      ":",
      "1700000000000",
      "1700000000000:",
      Good.substr(0, Good.size() - 1),
      Good + "0",
      Flipped,
      " " + Good,
      "-" + Good,
      "99999999999999999999999:" + Good.substr(Good.find(':') + 1),
      "1700000000001:" + Good.substr(Good.find(':') + 1),
      http_signature({OtherKey}).sign("text", Now),
      Signature.sign("other text", Now),
  };
  for (const std::string &Fault : Faults) {
    SCOPED_TRACE(Fault);
    EXPECT_FALSE(Signature.verify("text", Fault, Now));
  }
  EXPECT_TRUE(Signature.verify("text", Good, Now + http_signature::MaxAge));
  EXPECT_FALSE(Signature.verify("text", Good, Now + http_signature::MaxAge + milliseconds(1)));
  EXPECT_FALSE(Signature.verify("text", Good, Now - http_signature::MaxAge - milliseconds(1)));
}

} // namespace
} // namespace briarpoint
