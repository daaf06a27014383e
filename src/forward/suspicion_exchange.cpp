#include "forward/suspicion_exchange.h"

#include "base/hash.h"

#include <algorithm>

namespace briarpoint {

namespace {

/// Headers of UDP and IPv4 in bytes.
constexpr std::size_t DatagramHeaderSize = 28;

/// Calls \p Use with consecutive parts of \p Numbers that fit into one message each.
template <typename T> void forEachMessage(const std::vector<std::uint64_t> &Numbers, T &&Use) {
  for (std::size_t I = 0; I < Numbers.size(); I += MaxSuspectedTargets) {
    const auto Begin = Numbers.begin() + static_cast<std::ptrdiff_t>(I);
    const std::size_t Count = std::min(MaxSuspectedTargets, Numbers.size() - I);
    Use(std::vector<std::uint64_t>(Begin, Begin + static_cast<std::ptrdiff_t>(Count)));
  }
}

std::uint64_t observerId(const endpoint &Forwarder) { return hashBytes(toString(Forwarder)); }

} // namespace

void suspicion_exchange::report(const std::vector<std::uint64_t> &Numbers, const endpoint *Reader,
                                instant Now) {
  if (Reader == nullptr) {
    for (const std::uint64_t Number : Numbers)
      Pool.report(Number, observerId(Local), Now);
    return;
  }
  forEachMessage(Numbers, [&](std::vector<std::uint64_t> Part) {
    Sender.send(*Reader, {suspicion_message::type::Report, std::move(Part)});
  });
}

void suspicion_exchange::onContact(const endpoint &From, instant Now) {
  if (Contacts.size() < MaxContacts || Contacts.contains(From))
    Contacts[From] = Now + ContactLifetime;
}

void suspicion_exchange::receive(const endpoint &From, bool FromReader,
                                 const suspicion_message &Message, instant Now) {
  if (Message.Type == suspicion_message::type::Notice) {
    if (FromReader)
      apply(Message.Targets, Now);
    return;
  }
  onContact(From, Now);
  for (const std::uint64_t Number : Message.Targets)
    Pool.report(Number, observerId(From), Now);
}

void suspicion_exchange::notify(instant Now) {
  std::vector<std::uint64_t> Suspected = Pool.suspected(Now);
  if (Suspected.empty() || (Suspected == Notified && Now < NextNoticeAt))
    return;
  sendNotices(Suspected, Now);
  Notified = std::move(Suspected);
  NextNoticeAt = Now + NoticeInterval;
}

std::vector<endpoint> suspicion_exchange::contacts(instant Now) {
  std::erase_if(Contacts, [&](const auto &Contact) { return Now >= Contact.second; });
  std::vector<endpoint> Result;
  for (const auto &[Forwarder, Until] : Contacts)
    Result.push_back(Forwarder);
  return Result;
}

std::size_t suspicion_exchange::sendNotices(const std::vector<std::uint64_t> &Numbers,
                                            instant Now) {
  apply(Numbers, Now);
  const std::vector<endpoint> Receivers = contacts(Now);
  std::size_t Size = 0;
  forEachMessage(Numbers, [&](const std::vector<std::uint64_t> &Part) {
    const suspicion_message Message{suspicion_message::type::Notice, Part};
    Size += Receivers.size() * (DatagramHeaderSize + writeSuspicionMessage(Message).size());
    for (const endpoint &Receiver : Receivers)
      Sender.send(Receiver, Message);
  });
  return Size;
}

void suspicion_exchange::apply(const std::vector<std::uint64_t> &Numbers, instant Now) {
  for (const std::uint64_t Number : Numbers) {
    target *Target = Targets.findByToken(makeFlowToken(Number));
    if (Target != nullptr && Target->Registration.Number == Number &&
        Now >= Target->AnsweredAt + AnswerValidity)
      Target->ReportedUntil = Now + NoticeLifetime;
  }
}

} // namespace briarpoint
