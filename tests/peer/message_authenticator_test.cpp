#include "peer/message_authenticator.h"

#include "base/findings_error.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <set>

namespace briarpoint {
namespace {

const std::string KeyA = "first key of the fabric";
const std::string KeyB = "second key of the fabric";

authenticator_settings settings(std::uint64_t Sender, std::vector<std::string> Keys,
                                std::uint64_t Incarnation = 5) {
  return {"riga", std::move(Keys), member_id{Sender}, Incarnation};
}

/// Returns the field that a message is refused for, or "accepted".
std::string refusal(message_authenticator &Receiver, const std::string &Bytes) {
  try {
    Receiver.open(Bytes);
    return "accepted";
  } catch (const findings_error &Error) {
    return Error.findings().front().Path;
  }
}

class message_authentication : public testing::Test {
protected:
  message_authenticator Sender{settings(1, {KeyA})};
  message_authenticator Receiver{settings(2, {KeyA})};
};

// Guards against returning a changed payload or another sender.
TEST_F(message_authentication, SealedMessageIsOpened) {
  const std::string Bytes = Sender.seal("content");
  EXPECT_EQ(Bytes.size(), 7 + message_authenticator::Overhead);
  const authenticated_message Message = Receiver.open(Bytes);
  EXPECT_EQ(Message.Payload, "content");
  EXPECT_EQ(Message.Sender, member_id{1});
}

// Guards against accepting a message that is malformed, forged, repeated or from another fabric.
TEST_F(message_authentication, ForgedForeignAndRepeatedMessagesAreRefused) {
  const struct {
    const char *Name;
    std::function<std::string()> Make;
    const char *Field;
  } Cases[] = {
      {"too short", [] { return std::string(48, 'x'); }, ""},
      {"other version", [&] { return "\x02" + Sender.seal("x").substr(1); }, "version"},
      {"other fabric",
       [] {
         return message_authenticator({"regina", {KeyA}, member_id{1}, 5}).seal("x");
       },
       "fabric"},
      {"other key", [] { return message_authenticator(settings(1, {KeyB})).seal("x"); }, "code"},
      {"own id", [] { return message_authenticator(settings(2, {KeyA})).seal("x"); }, "sender"},
      {"repeated",
       [&] {
         std::string Bytes = Sender.seal("x");
         Receiver.open(Bytes);
         return Bytes;
       },
       "sequence"},
      {"older than the window",
       [&] {
         std::string Bytes = Sender.seal("x");
         for (std::uint64_t I = 0; I < replay_window::Size; ++I)
           Receiver.open(Sender.seal("y"));
         return Bytes;
       },
       "sequence"},
      {"earlier process",
       [&] {
         std::string Bytes = Sender.seal("x");
         Receiver.open(message_authenticator(settings(1, {KeyA}, 6)).seal("y"));
         return Bytes;
       },
       "incarnation"},
  };
  for (const auto &Case : Cases) {
    SCOPED_TRACE(Case.Name);
    EXPECT_EQ(refusal(Receiver, Case.Make()), Case.Field);
  }
}

// Guards against a part of the message that the authentication code doesn't cover.
TEST_F(message_authentication, EachChangedByteIsDetected) {
  const std::string Bytes = Sender.seal("content");
  for (std::size_t I = 0; I < Bytes.size(); ++I) {
    std::string Changed = Bytes;
    Changed[I] = static_cast<char>(Changed[I] ^ 0x10);
    EXPECT_NE(refusal(Receiver, Changed), "accepted") << "byte " << I;
  }
  EXPECT_EQ(refusal(Receiver, Bytes), "accepted");
}

// Guards against balancers refusing each other's messages during a step of a key change.
TEST_F(message_authentication, TwoKeysAreValidDuringAKeyChange) {
  const std::vector<std::vector<std::string>> Steps = {{KeyA}, {KeyA, KeyB}, {KeyB, KeyA}, {KeyB}};
  for (std::size_t I = 0; I < Steps.size(); ++I) {
    for (std::size_t J = 0; J < Steps.size(); ++J) {
      SCOPED_TRACE("step " + std::to_string(I) + " to step " + std::to_string(J));
      message_authenticator From(settings(1, Steps[I]));
      message_authenticator To(settings(2, Steps[J]));
      const bool Neighbours = I + 1 >= J && J + 1 >= I;
      if (Neighbours) {
        EXPECT_EQ(refusal(To, From.seal("x")), "accepted");
      } else if ((I == 0 && J == 3) || (I == 3 && J == 0)) {
        EXPECT_EQ(refusal(To, From.seal("x")), "code");
      }
    }
  }
}

// Guards against writing a key to an error text, which ends up in a log.
TEST(message_authenticator_settings, WrongKeysAreRefusedWithoutShowingThem) {
  const std::string Short = "secret";
  for (const std::vector<std::string> &Keys : {std::vector<std::string>{},
                                               {Short},
                                               {KeyA, Short},
                                               {KeyA, KeyB, "a third key of the fabric"}}) {
    SCOPED_TRACE(Keys.size());
    try {
      message_authenticator Authenticator(settings(1, Keys));
      FAIL() << "accepted";
    } catch (const findings_error &Error) {
      for (const std::string &Key : Keys)
        EXPECT_EQ(std::string(Error.what()).find(Key), std::string::npos);
    }
  }
}

// Guards against refusing a new sequence number, or accepting one twice, when datagrams are
// reordered.
RC_GTEST_PROP(replay_protection, EachNumberIsAcceptedOnceInAnyOrder, ()) {
  replay_window Window;
  std::set<std::uint64_t> Accepted;
  std::uint64_t Highest = 0;
  const auto Numbers =
      *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 3000));
  for (const std::uint64_t Number : Numbers) {
    const bool IsNew = Number > 0 && !Accepted.contains(Number) &&
                       (Number > Highest || Highest - Number < replay_window::Size);
    RC_ASSERT(Window.accept(Number) == IsNew);
    if (IsNew)
      Accepted.insert(Number);
    Highest = std::max(Highest, Number);
  }
}

} // namespace
} // namespace briarpoint
