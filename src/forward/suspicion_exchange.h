#ifndef BRIARPOINT_FORWARD_SUSPICION_EXCHANGE_H
#define BRIARPOINT_FORWARD_SUSPICION_EXCHANGE_H

#include "forward/suspicion_message.h"
#include "forward/suspicion_pool.h"
#include "forward/target_registry.h"
#include "net/endpoint.h"

#include <map>
#include <vector>

namespace briarpoint {

/// Sends suspicion messages to other forwarders.
class suspicion_sender {
public:
  virtual ~suspicion_sender() = default;

  /// The message may be lost.
  virtual void send(const endpoint &To, const suspicion_message &Message) = 0;
};

/// Shares suspicions of targets between forwarders. A forwarder reports the targets that it began
/// to suspect to the reader that it asks for the store's revision. That one pools the reports and
/// notifies the forwarders that have contacted it recently. A notice only lowers the rank of a
/// target for new flows, and expires by itself.
class suspicion_exchange {
public:
  /// Time for which a notice counts.
  static constexpr duration NoticeLifetime = std::chrono::milliseconds(1500);
  /// Time after which a notice is repeated while the targets stay suspected.
  static constexpr duration NoticeInterval = std::chrono::milliseconds(1000);
  /// An answer that this forwarder has seen within this time contradicts a notice.
  static constexpr duration AnswerValidity = std::chrono::milliseconds(500);
  /// A forwarder that hasn't contacted this one for longer than this is not notified.
  static constexpr duration ContactLifetime = std::chrono::seconds(10);
  /// Limits the number of forwarders that are notified.
  static constexpr std::size_t MaxContacts = 2048;

  /// \p Local identifies this forwarder as an observer. The references must outlive the object.
  suspicion_exchange(const endpoint &Local, target_registry &Targets, suspicion_sender &Sender)
      : Local(Local), Targets(Targets), Sender(Sender) {}

  /// This forwarder began to suspect the targets with \p Numbers. \p Reader is nullptr if it asks
  /// no other forwarder.
  void report(const std::vector<std::uint64_t> &Numbers, const endpoint *Reader, instant Now);
  /// Adds \p From to the forwarders that are notified, until ContactLifetime has passed. Call it
  /// when a question of \p From is received.
  void onContact(const endpoint &From, instant Now);
  /// Returns the forwarders that are notified.
  std::vector<endpoint> contacts(instant Now);
  /// Sends a notice about the targets with \p Numbers to the contacts, and applies it. Returns the
  /// number of bytes sent, with the headers of UDP and IP.
  std::size_t sendNotices(const std::vector<std::uint64_t> &Numbers, instant Now);
  /// Processes a message. \p FromReader is set if the sender is one of the readers; notices of
  /// others are ignored.
  void receive(const endpoint &From, bool FromReader, const suspicion_message &Message,
               instant Now);
  /// Notifies other forwarders if the pooled suspicions changed or are to be repeated.
  void notify(instant Now);

private:
  void apply(const std::vector<std::uint64_t> &Numbers, instant Now);

  endpoint Local;
  target_registry &Targets;
  suspicion_sender &Sender;
  suspicion_pool Pool;
  /// Ends of the contacts, by forwarder.
  std::map<endpoint, instant> Contacts;
  std::vector<std::uint64_t> Notified;
  instant NextNoticeAt{};
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_SUSPICION_EXCHANGE_H
