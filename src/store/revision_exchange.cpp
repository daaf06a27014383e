#include "store/revision_exchange.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace briarpoint {

revision_exchange::revision_exchange(const revision_exchange_settings &Settings,
                                     revision_reader &Own, store_era &Era, revision_sender &Sender,
                                     revision_exchange_listener &Listener, scheduler &Scheduler,
                                     random_source &Random)
    : Settings(Settings), Own(Own), Era(Era), Sender(Sender), Listener(Listener),
      Scheduler(Scheduler), Random(Random) {
  Era.join(*this);
  setReaders(Settings.Readers);
}

void revision_exchange::onEraRose(std::uint64_t, std::uint64_t) { RoseAt = Scheduler.now(); }

void revision_exchange::setReaders(const std::vector<endpoint> &Readers) {
  LocalIsReader = std::find(Readers.begin(), Readers.end(), Settings.Local) != Readers.end();
  Ranked = Readers;
  const std::uint64_t Region = hashBytes(Settings.Region);
  std::sort(Ranked.begin(), Ranked.end(), [&](const endpoint &A, const endpoint &B) {
    return hashBytes(toString(A), Region) > hashBytes(toString(B), Region);
  });
  AvoidedUntil.clear();
}

bool revision_exchange::isReader(const endpoint &Forwarder) const {
  return std::find(Ranked.begin(), Ranked.end(), Forwarder) != Ranked.end();
}

const endpoint *revision_exchange::poolingReader() const {
  if (!LocalIsReader)
    return chooseReader();
  return Ranked.front() == Settings.Local ? nullptr : &Ranked.front();
}

const endpoint *revision_exchange::chooseReader() const {
  if (LocalIsReader)
    return nullptr;
  const instant Now = Scheduler.now();
  const auto Found = std::find_if(Ranked.begin(), Ranked.end(), [&](const endpoint &Reader) {
    const auto Avoided = AvoidedUntil.find(Reader);
    return Avoided == AvoidedUntil.end() || Now >= Avoided->second;
  });
  return Found == Ranked.end() ? nullptr : &*Found;
}

const endpoint *revision_exchange::otherReader() const {
  const auto Found = std::find_if(Ranked.begin(), Ranked.end(),
                                  [&](const endpoint &Reader) { return Reader != Settings.Local; });
  return Found == Ranked.end() ? nullptr : &*Found;
}

void revision_exchange::read(callback Done) {
  const endpoint *Reader = Question ? nullptr : chooseReader();
  if (!Question && LocalIsReader && Era.current() > 0 && !std::exchange(OtherReaderAsked, true))
    Reader = otherReader();
  if (Reader == nullptr) {
    readOwn(std::move(Done));
    return;
  }
  const instant Now = Scheduler.now();
  Question = {*Reader, Random.next(), Now, Now + Settings.AnswerTimeout, std::move(Done)};
  Scheduler.runAt(Question->Deadline, [this, Number = Question->Number] {
    if (Question && Question->Number == Number)
      giveUp(revision_answer_outcome::Unanswered);
  });
  Sender.send(*Reader, {revision_message::type::Question, Question->Number, 0});
}

void revision_exchange::receive(const endpoint &From, const revision_message &Message) {
  if (Message.Type == revision_message::type::Question) {
    answer(From, Message);
    return;
  }
  if (!Question || Message.Number != Question->Number || From != Question->Reader)
    return;
  // A process that was paused receives the answer late; the revision may be outdated by then.
  if (Scheduler.now() >= Question->Deadline) {
    giveUp(revision_answer_outcome::Unanswered);
    return;
  }
  if (Message.Revision == 0) {
    giveUp(revision_answer_outcome::Unknown);
    return;
  }
  if (Message.Era > Era.current()) {
    giveUp(revision_answer_outcome::NewEra);
    return;
  }
  if (Message.Era < Era.current() || Message.position() < LastPosition) {
    giveUp(revision_answer_outcome::WentBack);
    return;
  }
  if (Message.SinceRiseMs)
    Era.observeRemoteRise(Scheduler.now() - std::chrono::milliseconds(*Message.SinceRiseMs));
  LastPosition = Message.position();
  const question Ended = std::move(*Question);
  Question.reset();
  Listener.onQuestionEnded(From, revision_answer_outcome::Answered, Message.Revision,
                           Scheduler.now() - Ended.SentAt);
  Ended.Done(Message.position());
}

void revision_exchange::answer(const endpoint &To, const revision_message &Question) {
  const bool Accepted = WaitingQuestions < Settings.MaxQuestions;
  Listener.onQuestionReceived(Accepted);
  if (!Accepted)
    return;
  ++WaitingQuestions;
  Own.read([this, To, Number = Question.Number](std::optional<store_position> Position) {
    --WaitingQuestions;
    const store_position Known = Position.value_or(store_position());
    Sender.send(To,
                {revision_message::type::Answer, Number, Known.Revision, Known.Era, sinceRise()});
  });
}

std::optional<std::uint32_t> revision_exchange::sinceRise() const {
  if (!RoseAt || Scheduler.now() >= *RoseAt + Settings.RiseMemory)
    return std::nullopt;
  const auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(Scheduler.now() - *RoseAt);
  return static_cast<std::uint32_t>(Age.count());
}

void revision_exchange::giveUp(revision_answer_outcome Outcome) {
  question Ended = std::move(*Question);
  Question.reset();
  const instant Now = Scheduler.now();
  if (Outcome != revision_answer_outcome::NewEra)
    AvoidedUntil[Ended.Reader] = Now + Settings.AvoidanceTime;
  Listener.onQuestionEnded(Ended.Reader, Outcome, 0, Now - Ended.SentAt);
  readOwn(std::move(Ended.Done));
}

void revision_exchange::readOwn(callback Done) {
  Own.read([this, Done = std::move(Done)](std::optional<store_position> Position) {
    LastPosition = Position.value_or(LastPosition);
    Done(Position);
  });
}

} // namespace briarpoint
