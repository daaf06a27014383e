#include "forwarder/evacuation_listener.h"

#include "base/findings_error.h"
#include "forwarder/forwarder_log.h"

#include <algorithm>

namespace briarpoint {

std::optional<std::string> evacuation_listener::parse(const stored_object &Object,
                                                      std::uint64_t Revision) {
  try {
    return Format.parseEvacuation(Object);
  } catch (const findings_error &Error) {
    ++Counters.RefusedEvacuations;
    Log.write(log_event::EvacuationRefused, {{"finding", toString(Error.findings().front())},
                                             {"revision", std::to_string(Revision)}});
    return std::nullopt;
  }
}

void evacuation_listener::logChange(const std::string &DataCentre, const char *State) {
  Log.write(log_event::EvacuationChanged, {{"data_centre", DataCentre},
                                           {"state", State},
                                           {"revision", std::to_string(Position.Revision)}});
}

void evacuation_listener::onList(const std::vector<stored_object> &Objects,
                                 const store_position &ListPosition) {
  Position = ListPosition;
  std::set<std::string> Listed;
  for (const stored_object &Object : Objects)
    if (std::optional<std::string> DataCentre = parse(Object, Position.Revision))
      Listed.insert(std::move(*DataCentre));
  Names.replaceAll(Listed, Clock.now());
  update(TargetsCurrentAt);
}

void evacuation_listener::onChanges(const std::vector<object_change> &Changes,
                                    const store_position &ChangePosition) {
  Position = ChangePosition;
  for (const object_change &Change : Changes) {
    const std::optional<std::string> DataCentre = parse(Change.Object, Position.Revision);
    if (!DataCentre)
      continue;
    if (Change.Deleted)
      Names.remove(*DataCentre, Clock.now());
    else
      Names.add(*DataCentre);
  }
  update(TargetsCurrentAt);
}

void evacuation_listener::onEraRose(instant RecoveryEndsAt) { Names.beginRecovery(RecoveryEndsAt); }

void evacuation_listener::update(instant EntriesCurrentAt) {
  TargetsCurrentAt = EntriesCurrentAt;
  const instant Now = Clock.now();
  const std::set<std::string> Current = Names.all(Now);
  evacuation_table::data_centres Next(Current.begin(), Current.end());
  std::erase_if(Withdrawals, [&](const auto &Entry) { return Next.contains(Entry.first); });
  for (const std::string &DataCentre : Evacuations.evacuated()) {
    if (Next.contains(DataCentre))
      continue;
    const instant ReceivedAt = Withdrawals.try_emplace(DataCentre, Now).first->second;
    if (TargetsCurrentAt <= ReceivedAt && Now < ReceivedAt + MaxWithdrawalDelay)
      Next.insert(DataCentre);
    else
      Withdrawals.erase(DataCentre);
  }
  if (Next == Evacuations.evacuated())
    return;
  for (const std::string &DataCentre : Next)
    if (!Evacuations.contains(DataCentre))
      logChange(DataCentre, "evacuated");
  for (const std::string &DataCentre : Evacuations.evacuated())
    if (!Next.contains(DataCentre))
      logChange(DataCentre, "withdrawn");
  Evacuations.replaceAll(std::move(Next));
  Targets.setEvacuated(Evacuations.evacuated());
}

instant evacuation_listener::withdrawalPendingSince() const {
  instant Latest = instant::min();
  for (const auto &[DataCentre, ReceivedAt] : Withdrawals)
    Latest = std::max(Latest, ReceivedAt);
  return Latest;
}

void evacuation_listener::onContactChanged(bool InContact, call_outcome Outcome) {
  ContactLost = !InContact;
  logContactChange(Log, Format.evacuationKind(), InContact, Outcome);
}

} // namespace briarpoint
