#include "forwarder/load_sharing_log.h"

#include <cmath>
#include <cstdio>
#include <utility>

namespace briarpoint {

namespace {

std::string withTwoDecimals(double Value) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.2f", Value);
  return Text.data();
}

} // namespace

void load_sharing_log::update(instant Now) {
  if (const bool NowActive = Exchange.active(Now); NowActive != std::exchange(Active, NowActive))
    Log.write(log_event::LoadSharingChanged,
              {{"active", NowActive ? "yes" : "no"}, {"round", std::to_string(Pooled.round())}});
  const bool Valid = Pooled.valid(Now);
  if (!Valid && Spills.empty())
    return;
  std::map<std::string, double> New;
  forEachService(Targets, [&](const std::string &Service, std::span<target *const> Members) {
    const bool IsPooled = Valid && Pooled.covers(Members, Now);
    const double Spill = IsPooled ? load_spill::probability(Pooled.dataCentres(Members, Now)) : 0;
    const auto Found = Spills.find(Service);
    const double Logged = Found == Spills.end() ? 0 : Found->second;
    if ((Spill > 0) == (Logged > 0) && std::abs(Spill - Logged) < MinChange) {
      if (Logged > 0)
        New[Service] = Logged;
      return;
    }
    Log.write(log_event::LoadSpillChanged,
              {{"service", Service}, {"probability", withTwoDecimals(Spill)}});
    if (Spill > 0)
      New[Service] = Spill;
  });
  Spills = std::move(New);
}

} // namespace briarpoint
