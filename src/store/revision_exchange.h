#ifndef BRIARPOINT_STORE_REVISION_EXCHANGE_H
#define BRIARPOINT_STORE_REVISION_EXCHANGE_H

#include "base/random_source.h"
#include "net/endpoint.h"
#include "store/revision_exchange_listener.h"
#include "store/revision_message.h"
#include "store/revision_reader.h"
#include "store/scheduler.h"
#include "store/store_era.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarpoint {

/// Settings of revision_exchange.
struct revision_exchange_settings {
  /// Own endpoint for messages.
  endpoint Local;
  /// The forwarders of a region ask the same reader.
  std::string Region;
  /// Endpoints of the readers, possibly including the own one. They may be outdated.
  std::vector<endpoint> Readers;
  /// Time within which a reader answers: the minimum interval between its calls, and a call.
  duration AnswerTimeout = std::chrono::milliseconds(600);
  /// Time for which no question is sent to a reader that didn't answer or couldn't read the
  /// revision.
  duration AvoidanceTime = std::chrono::seconds(5);
  /// Time after a rise of the store's era for which answers have its age, so that forwarders that
  /// started since observe the recovery time. Above the longest recovery time.
  duration RiseMemory = std::chrono::seconds(10);
  /// Maximum number of questions of others that wait for one call to the store. Further ones are
  /// dropped, and their senders ask the store themselves.
  std::size_t MaxQuestions = 4096;
};

/// Learns the store's revision from a few forwarders, the readers, so that the number of calls to
/// the store doesn't grow with the number of forwarders.
///
/// A reader answers a question with the revision from a call that it sends after it has received
/// the question. So an answer proves the same as a call of the asker's own, whatever happened to
/// the reader's process, and no clocks are compared. This is the read index of Raft without a log:
/// the store is the only authority. If the reader doesn't answer in time or can't read the
/// revision, the asker reads it itself.
///
/// An answer below a position that was read before is not used. The store is asked instead, so one
/// wrong answer doesn't outlast the next read. The same holds for an answer of a higher era than
/// the store has shown: a forged one must not make the store's own answers look outdated.
///
/// Every forwarder answers questions. The readers are the instances that the settings name; of
/// these, the forwarders of a region ask the same one, by rendezvous hashing.
/// Answers also have the age of a recent rise of the store's era. A forwarder that started after it
/// takes the store's content for current otherwise, although it may lack what the store lost.
/// Therefore a reader asks another one before its first own read, if the store states eras.
class revision_exchange final : public revision_reader, private era_listener {
public:
  /// \p Own reads the revision from the store. All references must outlive the object.
  revision_exchange(const revision_exchange_settings &Settings, revision_reader &Own,
                    store_era &Era, revision_sender &Sender, revision_exchange_listener &Listener,
                    scheduler &Scheduler, random_source &Random);

  void read(callback Done) override;

  /// Processes a message from \p From.
  void receive(const endpoint &From, const revision_message &Message);

  /// Returns the reader that the next question goes to; nullptr if there is none, or if this
  /// forwarder is a reader itself.
  const endpoint *reader() const { return chooseReader(); }
  /// Returns the reader that pools observations of this forwarder: the one that the next question
  /// goes to or, if this forwarder is a reader itself, the first one of its region. nullptr if
  /// there is none other.
  const endpoint *poolingReader() const;
  /// Returns whether this forwarder is a reader.
  bool isLocalReader() const { return LocalIsReader; }
  /// Returns whether \p Forwarder is one of the readers.
  bool isReader(const endpoint &Forwarder) const;

  /// Replaces the readers; a question in progress isn't affected.
  void setReaders(const std::vector<endpoint> &Readers);

private:
  struct question {
    endpoint Reader;
    std::uint64_t Number = 0;
    instant SentAt{};
    instant Deadline{};
    callback Done;
  };

  void onEraRose(std::uint64_t Previous, std::uint64_t Current) override;
  void onRemoteRise(instant RemoteRoseAt) override { RoseAt = RemoteRoseAt; }
  /// Returns the reader to ask, or nullptr to read the revision from the store.
  const endpoint *chooseReader() const;
  /// Returns a reader other than this forwarder, or nullptr.
  const endpoint *otherReader() const;
  void answer(const endpoint &To, const revision_message &Question);
  /// Returns the time in milliseconds since the last rise, unless that is longer than RiseMemory
  /// ago.
  std::optional<std::uint32_t> sinceRise() const;
  /// Ends the question in progress without an answer, and reads the revision from the store. The
  /// reader isn't asked for AvoidanceTime, except after NewEra.
  void giveUp(revision_answer_outcome Outcome);
  /// Reads the revision from the store.
  void readOwn(callback Done);

  revision_exchange_settings Settings;
  revision_reader &Own;
  store_era &Era;
  revision_sender &Sender;
  revision_exchange_listener &Listener;
  scheduler &Scheduler;
  random_source &Random;
  /// Readers in the order in which this region asks them, possibly including this forwarder.
  std::vector<endpoint> Ranked;
  /// This forwarder is a reader, so it asks none.
  bool LocalIsReader = false;
  /// Ends of the avoidance, by reader.
  std::map<endpoint, instant> AvoidedUntil;
  std::optional<question> Question;
  /// The position that was read last.
  store_position LastPosition;
  std::size_t WaitingQuestions = 0;
  /// When the store's era rose last; std::nullopt if no rise is known.
  std::optional<instant> RoseAt;
  /// This forwarder is a reader and has asked another one once.
  bool OtherReaderAsked = false;
};

} // namespace briarpoint

#endif // BRIARPOINT_STORE_REVISION_EXCHANGE_H
