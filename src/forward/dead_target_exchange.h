#ifndef BRIARPOINT_FORWARD_DEAD_TARGET_EXCHANGE_H
#define BRIARPOINT_FORWARD_DEAD_TARGET_EXCHANGE_H

#include "forward/dead_target_pool.h"
#include "forward/failing_target_pool.h"
#include "forward/load_meter.h"
#include "forward/send_budget.h"
#include "forward/suspicion_exchange.h"
#include "forward/target_registry.h"
#include "forward/target_state_message.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace briarpoint {

/// Sends messages about dead and failing targets to other forwarders.
class target_state_sender {
public:
  virtual ~target_state_sender() = default;

  /// The message may be lost.
  virtual void send(const endpoint &To, const target_state_message &Message) = 0;
};

/// Finds dead and failing targets together with other forwarders. Each one reports to the reader
/// that it asks for the store's revision what its own callers show. The reader pools the reports
/// (dead_target_pool, failing_target_pool) and announces its findings to the forwarders that have
/// contacted it recently. A finding takes effect through target::DeadUntil and
/// target::FailingUntil, and expires by itself.
class dead_target_exchange {
public:
  /// Time for which an announcement counts.
  static constexpr duration AnnouncementLifetime = std::chrono::milliseconds(3000);
  /// Time from a finding until it no longer ends flows: the target may be reachable again, and the
  /// callers of idle flows, who show nothing, may go on. The reports that a finding goes by are
  /// about packets of up to ReportDelay before it, and a target that was reachable for the
  /// platform's contact time must lose no flow.
  static constexpr duration MaxFlowEndTime = std::chrono::milliseconds(2000);
  static constexpr duration ReportDelay = std::chrono::milliseconds(2000);
  /// Time in which messages that waited during a pause are read.
  static constexpr duration StalePeriod = std::chrono::milliseconds(100);
  /// An answer that this forwarder has seen within this time contradicts an announcement.
  static constexpr duration AnswerValidity = std::chrono::milliseconds(500);
  /// Minimum time between two confirmations of answers of a target.
  static constexpr duration ConfirmationInterval = std::chrono::milliseconds(250);
  /// Interval at which a reader that isn't the first of its region contacts that one.
  static constexpr duration ContactInterval = std::chrono::seconds(5);
  /// Interval of the reports of failures.
  static constexpr duration FailureInterval = std::chrono::milliseconds(1000);
  /// Answers reveal failures only if requests take at least this long on average: a fast service
  /// has answers of any shorter time.
  static constexpr double MinMeanSeconds = 0.03;
  static constexpr double QuickAnswerShare = load_meter::RejectionShare;
  /// Sweeps are due every 250 ms. After a longer gap this process was paused, so answers may wait
  /// unread, and a repeat is no evidence.
  static constexpr duration MinPause = std::chrono::milliseconds(500);
  /// Minimum time between two rounds of messages to all forwarders, so that targets that fail at
  /// once share messages.
  static constexpr duration RoundInterval = std::chrono::milliseconds(50);
  /// It grows with the number of forwarders to this time for each, so that the headers of many
  /// small messages don't exceed the limit of the control traffic.
  static constexpr duration RoundTimePerContact = std::chrono::microseconds(500);
  /// Repeats that are due within this time join a round.
  static constexpr duration RoundSlack = std::chrono::milliseconds(500);

  /// \p Local identifies this forwarder as an observer. \p ContactTime is the platform's contact
  /// time. \p Suspicions knows the forwarders to notify. The references must outlive the object.
  dead_target_exchange(const endpoint &Local, duration ContactTime, target_registry &Targets,
                       suspicion_exchange &Suspicions, target_state_sender &StateSender)
      : Local(Local), FlowEndTime(std::min(ContactTime - ReportDelay, MaxFlowEndTime)),
        Targets(Targets), Suspicions(Suspicions), StateSender(StateSender) {}

  /// Reports what callers show, and processes what is due. Call it every 250 ms. \p Reader is the
  /// forwarder that pools the reports of this one; nullptr if this one does. \p IsReader is set if
  /// this one is a reader: others may turn to it, so it pools its own reports in any case.
  void sweep(const endpoint *Reader, bool IsReader, instant Now);
  /// A reader asks whether targets with \p Numbers answer (suspicion_message::type::Notice).
  void onNotice(const endpoint &From, const std::vector<std::uint64_t> &Numbers, instant Now);
  /// Processes a message. \p FromReader is set if the sender is one of the readers; announcements
  /// of others are ignored. Call decide() once all waiting messages are processed: answers may be
  /// among them.
  void receive(const endpoint &From, bool FromReader, const target_state_message &Message,
               instant Now);
  /// Sends notices and announcements that are due.
  void decide(instant Now);
  /// Tells readers about answers of the targets that they asked about. Call it after callers'
  /// packets were processed.
  void confirmAnswers(instant Now);

  /// Returns whether a target was found dead since the previous call, so that flows are to be
  /// reset.
  bool consumeFoundFlag() { return std::exchange(Found, false); }

private:
  /// A question about a target.
  struct question {
    endpoint Asker;
    instant AskedAt{};
    instant Until{};
    instant NextConfirmationAt{};
    /// Time of the last answer that was confirmed.
    instant ConfirmedAt{};
    /// When the target was first announced as dead; Never if it wasn't.
    instant DeadSince = Never;
  };
  using entries = std::vector<target_state_message::entry>;

  bool paused(instant Now) const { return SweptAt != instant{} && Now - SweptAt >= MinPause; }
  /// Returns the question about \p Process, after it was extended to last at least \p Lifetime.
  question &ask(const target_process &Process, const endpoint &Asker, duration Lifetime,
                instant Now);
  void reportUnanswered(const endpoint *Reader, bool IsReader, instant Now);
  void reportFailures(const endpoint *Reader, bool IsReader, instant Now);
  void updateQuickAnswerTimes(instant Now);
  /// \p From is the reader that found the targets dead.
  void applyDead(const endpoint &From, const entries &Entries, instant Now);
  void applyFailing(const entries &Entries, instant Now);
  void sendNotices(instant Now);
  void announceDead(instant Now);
  void announceFailing(instant Now);
  /// Sends \p Entries to \p To in as many messages as necessary. Returns their size in bytes with
  /// the headers of UDP and IP.
  std::size_t send(const endpoint &To, target_state_message::type Type, const entries &Entries);
  instant nextRoundAt(instant Now);
  void sendToContacts(target_state_message::type Type, const entries &Entries, instant Now);

  endpoint Local;
  duration FlowEndTime;
  target_registry &Targets;
  suspicion_exchange &Suspicions;
  target_state_sender &StateSender;
  dead_target_pool DeadPool;
  failing_target_pool FailingPool;
  send_budget Budget;
  std::map<target_process, question> Questions;
  bool Found = false;
  instant SweptAt{};
  /// Announcements are ignored until then.
  instant MessagesStaleUntil{};
  instant NextContactAt{};
  instant NextFailureReportAt{};
  instant NextFailingRoundAt{};
  instant NextNoticeRoundAt{};
  instant NextDeadRoundAt{};
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_DEAD_TARGET_EXCHANGE_H
