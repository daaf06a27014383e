#ifndef BRIARPOINT_STORE_STORE_REVISION_READER_H
#define BRIARPOINT_STORE_STORE_REVISION_READER_H

#include "store/object_api.h"
#include "store/revision_reader.h"
#include "store/scheduler.h"
#include "store/store_era.h"

#include <string>
#include <vector>

namespace briarpoint {

/// Reads the store's revision by linearizable calls. Reads that are requested while a call is in
/// progress, or within MinInterval of the last one, share the next call. A call in progress can't
/// serve them: its answer may be older than their request.
class store_revision_reader final : public revision_reader {
public:
  /// \p Kind is any kind of objects. \p MinInterval is the minimum time between the starts of two
  /// calls, each of which is priced. The references must outlive the object, and nothing else may
  /// use \p Api and \p Scheduler.
  store_revision_reader(std::string Kind, duration MinInterval, object_api &Api, store_era &Era,
                        scheduler &Scheduler)
      : Kind(std::move(Kind)), MinInterval(MinInterval), Api(Api), Era(Era), Scheduler(Scheduler) {}

  void read(callback Done) override;

  /// Number of calls sent since the start, and of those that failed.
  std::uint64_t calls() const { return Calls; }
  std::uint64_t failures() const { return Failures; }

private:
  void send();
  void finish(const list_answer &Answer);

  std::string Kind;
  duration MinInterval;
  object_api &Api;
  store_era &Era;
  scheduler &Scheduler;
  std::vector<callback> Waiting;
  /// Readers that share the call in progress.
  std::vector<callback> Sharing;
  bool CallScheduled = false;
  instant NextCallAt{};
  std::uint64_t Calls = 0;
  std::uint64_t Failures = 0;
};

} // namespace briarpoint

#endif // BRIARPOINT_STORE_STORE_REVISION_READER_H
