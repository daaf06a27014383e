#include "forwarder/registration_listener.h"

#include "base/findings_error.h"
#include "forwarder/forwarder_log.h"

namespace briarpoint {

registration_listener::registration_listener(const object_format &Format, target_registry &Targets,
                                             packet_forwarder &Forwarder, time_source &Clock,
                                             event_log &Log, forwarder_counters &Counters,
                                             std::function<void()> OnList)
    : Format(Format), Targets(Targets), Forwarder(Forwarder), Clock(Clock), Log(Log),
      Counters(Counters), OnList(std::move(OnList)) {}

std::optional<target_registration> registration_listener::parse(const stored_object &Object,
                                                                std::uint64_t Era) {
  try {
    target_registration Result = Format.parseRegistration(Object);
    Result.Era = Era;
    return Result;
  } catch (const findings_error &Error) {
    ++Counters.RefusedRegistrations;
    Log.write(log_event::RegistrationRefused,
              {{"finding", toString(Error.findings().front())},
               {"findings", std::to_string(Error.findings().size())},
               {"revision", std::to_string(Object.Revision)}});
    return std::nullopt;
  }
}

void registration_listener::logChange(const target_registration &Registration) {
  Log.write(log_event::RegistrationChanged,
            {{"target", Registration.Name},
             {"service", Registration.Service},
             {"address", toString(Registration.Address)},
             {"state", Registration.Draining ? "draining" : "ready"},
             {"started_ms", std::to_string(Registration.StartedMs)},
             {"owns_token", Targets.find(Registration.Name)->OwnsToken ? "yes" : "no"},
             {"revision", std::to_string(Registration.Revision)}});
}

void registration_listener::onList(const std::vector<stored_object> &Objects,
                                   const store_position &Position) {
  std::vector<target_registration> Registrations;
  for (const stored_object &Object : Objects)
    if (std::optional<target_registration> Registration = parse(Object, Position.Era))
      Registrations.push_back(std::move(*Registration));
  const instant Now = Clock.now();
  Targets.replaceAll(Registrations, Position, Now);
  if (AssumedCompleteAt == Never)
    AssumedCompleteAt = LostContact ? Now + target_registry_settings().LapseGracePeriod : Now;
  Forwarder.setTargetsLoaded();
  Log.write(log_event::RegistrationChanged, {{"target", "*"},
                                             {"targets", std::to_string(Registrations.size())},
                                             {"revision", std::to_string(Position.Revision)}});
  OnList();
}

void registration_listener::onChanges(const std::vector<object_change> &Changes,
                                      const store_position &Position) {
  const std::uint64_t Era = Position.Era;
  const instant Now = Clock.now();
  for (const object_change &Change : Changes) {
    if (Change.Deleted && Change.Object.Defect.empty()) {
      Targets.remove(Change.Object.Name, {Era, Change.Object.Revision}, Now);
      Log.write(log_event::RegistrationChanged, {{"target", Change.Object.Name},
                                                 {"state", "removed"},
                                                 {"revision", std::to_string(Position.Revision)}});
    } else if (const std::optional<target_registration> Registration = parse(Change.Object, Era)) {
      Targets.put(*Registration, Now);
      logChange(*Registration);
    } else {
      // An entry that can no longer be parsed counts as removed.
      const bool HasRevision = Change.Object.Defect.empty();
      Targets.remove(Change.Object.Name,
                     {Era, HasRevision ? Change.Object.Revision : Position.Revision}, Now);
    }
  }
}

void registration_listener::onEraRose(instant RecoveryEndsAt) {
  Targets.beginRecovery(RecoveryEndsAt);
}

void registration_listener::onContactChanged(bool InContact, call_outcome Outcome) {
  LostContact = LostContact || !InContact;
  logContactChange(Log, Format.registrationKind(), InContact, Outcome);
}

} // namespace briarpoint
