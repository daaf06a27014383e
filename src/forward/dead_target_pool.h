#ifndef BRIARPOINT_FORWARD_DEAD_TARGET_POOL_H
#define BRIARPOINT_FORWARD_DEAD_TARGET_POOL_H

#include "base/instant.h"
#include "forward/target_state_message.h"

#include <map>
#include <vector>

namespace briarpoint {

/// Pools at a reader what balancers observe of targets, and decides which of them are dead. A
/// balancer of many has less than one flow at each target, so alone it can't tell a dead target
/// from a slow answer, and resets idle flows only after their callers have waited for an answer.
/// The load that it is for is the failure of a quarter of the targets at once, behind up to 1,900
/// balancers.
///
/// Callers repeat a packet after 200 ms, and a working target with a full queue answers after up to
/// 300 ms. So unanswered repeats alone are no proof: the reader first asks all balancers whether
/// they have seen an answer (a dispute), and only their silence is one.
class dead_target_pool {
public:
  /// A single balancer may have a bad link, or may have been paused.
  static constexpr std::size_t MinObservers = 2;
  /// Reports of different observers count together if they were received within this time.
  static constexpr duration ReportWindow = std::chrono::milliseconds(1000);
  /// Reports are due every 250 ms. A longer gap than this, which one lost report doesn't cause,
  /// means that the observer saw an answer in between.
  static constexpr duration MaxReportGap = std::chrono::milliseconds(600);
  /// The last report of an observer must not be older than a sweep and a short delay.
  static constexpr duration MaxReportAge = std::chrono::milliseconds(300);
  /// Time after the start of a dispute for which the reports must go on. It is longer than the 300
  /// ms that a caller of an overloaded target waits.
  static constexpr duration DisputeTime = std::chrono::milliseconds(500);
  /// The same if reports of fewer than ManyFlows flows are current. Some callers at balancers with
  /// lossy links may wait for 500 ms together, and a target with few flows answers nobody else
  /// meanwhile. Over this time they repeat three times, which is the evidence for which a balancer
  /// resets flows by itself. With 4 flows, targets were found dead that answered, while all
  /// balancers lost a fifth of the packets.
  static constexpr std::size_t ManyFlows = 6;
  static constexpr duration LongDisputeTime = std::chrono::milliseconds(1500);
  /// A target that answered any balancer's caller within this time isn't dead.
  static constexpr duration AnswerValidity = std::chrono::milliseconds(1000);
  /// A notice of a dispute counts for this time at its receivers.
  static constexpr duration NoticeLifetime = std::chrono::milliseconds(1500);
  /// Interval at which notices and announcements are repeated.
  static constexpr duration RepeatInterval = std::chrono::milliseconds(1000);
  /// Time for which a target that was found dead is announced. It doubles if the target is found
  /// dead again within that time after the end, so that each further attempt costs fewer callers.
  static constexpr duration MinAnnouncementTime = std::chrono::seconds(6);
  static constexpr duration MaxAnnouncementTime = std::chrono::seconds(30);
  /// Limit the memory that reports take.
  static constexpr std::size_t MaxTargets = 4096;
  static constexpr std::size_t MaxObservers = 16;

  /// Limits the weight of one observer.
  static constexpr std::size_t MaxFlowsPerObserver = 3;

  /// \p Observer reports that \p Target doesn't answer on \p Flows flows. Dropped if there are too
  /// many targets.
  void onUnanswered(const target_process &Target, std::size_t Flows, std::uint64_t Observer,
                    instant Now);
  /// A balancer reports an answer of \p Target that it saw at \p AnsweredAt.
  void onAnswered(const target_process &Target, instant AnsweredAt, instant Now);

  /// Returns the targets about which a notice is due, in ascending order. Forgets what is old.
  std::vector<target_process> dueNotices(instant Now);
  /// A notice about \p Target was sent to the balancers.
  void onNoticeSent(const target_process &Target, instant Now);

  /// Returns the targets that were found dead now. Call onAnnounced() for them.
  std::vector<target_process> findDead(instant Now);
  /// Returns the targets that are announced at \p Now and whose next announcement is due by
  /// \p Time.
  std::vector<target_process> dueAnnouncements(instant Time, instant Now) const;
  void onAnnounced(const target_process &Target, instant Now);
  /// Returns when the reports showed that an announced target was dead.
  instant foundAt(const target_process &Target) const;

  /// This process was paused, so answers may wait unread. Disputes start anew.
  void restartDisputes();

private:
  struct observer {
    /// Start of the uninterrupted reports.
    instant Since{};
    instant LastAt{};
    /// Flows without an answer in the last report.
    std::size_t Flows = 1;
  };
  struct state {
    std::map<std::uint64_t, observer> Observers;
    /// Start of the dispute; Never if there is none.
    instant DisputedAt = Never;
    instant NoticeSentAt{};
    instant AnsweredAt{};
    /// When the target was last found dead.
    instant FoundAt{};
    /// The target is announced as dead until then.
    instant AnnouncedUntil{};
    instant NextAnnouncementAt{};
    /// Length of the last announcement; zero if there was none.
    duration AnnouncementTime = duration::zero();

    bool announced(instant Now) const { return Now < AnnouncedUntil; }
  };
  static std::size_t recentObservers(const state &State, instant Now);
  static bool isDead(const state &State, instant Now);

  std::map<target_process, state> Targets;
};

} // namespace briarpoint

#endif // BRIARPOINT_FORWARD_DEAD_TARGET_POOL_H
