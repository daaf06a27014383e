#include "forward/load_spill.h"

namespace briarpoint {

double load_spill::localPressure(std::span<const data_centre_load> Loads) {
  for (const data_centre_load &Load : Loads) {
    if (!Load.Local)
      continue;
    const double Use = Load.full() ? FullAt : Load.certainInProgress() / Load.Slots;
    return std::clamp((Use - BeginsAt) / (FullAt - BeginsAt), 0.0, 1.0);
  }
  return 1;
}

double load_spill::probability(std::span<const data_centre_load> Loads) {
  double LocalRoom = 0;
  double RoomElsewhere = 0;
  for (const data_centre_load &Load : Loads) {
    if (!Load.Local) {
      RoomElsewhere += Load.room();
      continue;
    }
    LocalRoom = Load.room();
  }
  return RoomElsewhere > 0 ? localPressure(Loads) * RoomElsewhere / (RoomElsewhere + LocalRoom) : 0;
}

std::vector<double> load_spill::shares(std::span<const data_centre_load> Loads) {
  const double Leaving = probability(Loads);
  double RoomElsewhere = 0;
  double Slots = 0;
  bool HasLocal = false;
  for (const data_centre_load &Load : Loads) {
    HasLocal = HasLocal || Load.Local;
    Slots += Load.Slots;
    RoomElsewhere += Load.Local ? 0 : Load.room();
  }
  std::vector<double> Result;
  for (const data_centre_load &Load : Loads) {
    if (Load.Local)
      Result.push_back(1 - Leaving);
    else if (RoomElsewhere > 0)
      Result.push_back((HasLocal ? Leaving : 1) * Load.room() / RoomElsewhere);
    else
      // Without room anywhere, a service without targets in the own data centre is divided by
      // slots.
      Result.push_back(HasLocal || Slots <= 0 ? 0 : Load.Slots / Slots);
  }
  return Result;
}

} // namespace briarpoint
