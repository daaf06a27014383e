#include "core/sync/config_controller.h"

#include "base/findings_error.h"
#include "core/sync/config_loader.h"

#include <algorithm>
#include <utility>

namespace briarpoint {

namespace {

constexpr duration InitialReadBackoff = std::chrono::seconds(1);
constexpr std::uint32_t MaxReadBackoffDoublings = 4;

} // namespace

config_controller::config_controller(const config_settings &Settings, object_store &Store,
                                     random_source &Random, config_listener &Listener)
    : Settings(Settings), Listener(Listener), Store(Store, Random) {}

void config_controller::start(instant Now) {
  Store.tick(Now);
  FirstReadDeadline = Now + Settings.FirstReadTimeout;
  readPlatform();
}

void config_controller::tick(instant Now) {
  Store.tick(Now);
  if (Now >= FirstReadDeadline) {
    FirstReadDone = true;
    FirstReadDeadline = Never;
  }
  if (Now >= FetchDeadline)
    handleFetchFailure(FetchingFrom);
  if (Now >= NextReadAt) {
    NextReadAt = Never;
    if (Sources.empty())
      readPlatform();
    else
      fetchNext();
  }
  if (Running != nullptr && Running->finished())
    Running.reset();
  startPatch();
}

void config_controller::adopt(std::shared_ptr<const configuration> Configuration) {
  if (Configuration == nullptr || Configuration->Version <= InForce->Version)
    return;
  InForce = std::move(Configuration);
  HighestKnownVersion = std::max(HighestKnownVersion, InForce->Version);
  std::erase_if(Sources, [&](const auto &Item) { return Item.second.Version <= InForce->Version; });
  Listener.configurationAdopted(InForce);
}

bool config_controller::isCurrent() const {
  return FirstReadDone && InForce->Version >= HighestKnownVersion &&
         (InForce->Version > 0 || PlatformEmpty);
}

void config_controller::handlePeerVersion(member_id From, const endpoint &Rpc,
                                          config_version Version) {
  HighestKnownVersion = std::max(HighestKnownVersion, Version);
  if (Version <= InForce->Version)
    return;
  Sources[From] = {Rpc, Version};
  if (FetchingFrom == NoMember && NextReadAt == Never && !Reading)
    fetchNext();
}

void config_controller::fetchNext() {
  // Fetch from the peer with the highest version.
  const auto Best =
      std::max_element(Sources.begin(), Sources.end(), [](const auto &A, const auto &B) {
        return A.second.Version < B.second.Version;
      });
  if (Best == Sources.end())
    return;
  FetchingFrom = Best->first;
  FetchDeadline = Store.now() + Settings.FetchTimeout;
  const source Source = Best->second;
  Listener.fetchFromPeer(FetchingFrom, Source.Rpc, Source.Version);
}

void config_controller::handleConfiguration(member_id From,
                                            std::shared_ptr<const configuration> Configuration) {
  if (From == FetchingFrom) {
    FetchingFrom = NoMember;
    FetchDeadline = Never;
    FetchFailures = 0;
    // This also removes a peer that returned a lower version than it announced.
    Sources.erase(From);
  }
  adopt(std::move(Configuration));
  if (FetchingFrom == NoMember)
    fetchNext();
}

void config_controller::handleFetchFailure(member_id From) {
  if (From != FetchingFrom || From == NoMember)
    return;
  FetchingFrom = NoMember;
  FetchDeadline = Never;
  Sources.erase(From);
  if (++FetchFailures < Settings.FetchAttempts && !Sources.empty()) {
    fetchNext();
    return;
  }
  FetchFailures = 0;
  readPlatform();
}

void config_controller::readPlatform() {
  if (Reading)
    return;
  Reading = true;
  Store.get(
      HeadKey, [this](const object_result &Result) { handleHead(Result, false); }, 1);
}

void config_controller::handleHead(const object_result &Result, bool Watched) {
  if (!Watched)
    Reading = false;
  const bool Answered =
      Result.Status == object_status::Ok || Result.Status == object_status::NotFound;
  if (!Answered) {
    FirstReadDone = true;
    // Peers repeat their version; without them only the platform can provide the configuration.
    if (InForce->Version < HighestKnownVersion || InForce->Version == 0)
      NextReadAt = Store.now() +
                   InitialReadBackoff * (1U << std::min(ReadFailures++, MaxReadBackoffDoublings));
    return;
  }
  ReadFailures = 0;
  config_head Head;
  try {
    if (Result.Status == object_status::Ok)
      Head = parseConfigHead(Result.Value);
  } catch (const findings_error &) {
    // A malformed head is treated like a missing one.
    Head = {};
  }
  PlatformEmpty = Result.Status == object_status::NotFound;
  if (Head.Version < InForce->Version)
    ++Regressions;
  load(Head, Result.Version, Watched);
}

void config_controller::load(const config_head &Head, object_version Object, bool Watched) {
  HighestKnownVersion = std::max(HighestKnownVersion, Head.Version);
  const auto Finish = [this, Object, Watched](bool Loaded) {
    FirstReadDone = true;
    if (!Loaded && !Watched)
      NextReadAt = Store.now() + InitialReadBackoff;
    if (!Watched)
      return;
    // The watch must report the version again if it couldn't be loaded.
    if (Loaded)
      WatchedVersion = Object;
    WatchFailures = Loaded ? 0 : WatchFailures + 1;
    restartWatch(WatchFailures);
  };
  if (Head.Version <= InForce->Version) {
    Finish(true);
    return;
  }
  config_loader::load(Store, Head,
                      [this, Finish](std::shared_ptr<const configuration> Configuration) {
                        const bool Loaded = Configuration != nullptr;
                        adopt(std::move(Configuration));
                        Finish(Loaded);
                      });
}

void config_controller::setWatching(bool Watch) {
  Watching = Watch;
  if (Watching && !WatchOpen)
    watch();
}

void config_controller::watch() {
  WatchOpen = true;
  Store.watch(HeadKey, WatchedVersion, [this](const object_result &Result) {
    if (Result.Status == object_status::Ok) {
      handleHead(Result, true);
      return;
    }
    // Unchanged is the normal end of a watch; after any other result the next watch must not start
    // at once.
    WatchFailures = Result.Status == object_status::Unchanged ? 0 : WatchFailures + 1;
    restartWatch(WatchFailures);
  });
}

void config_controller::restartWatch(std::uint32_t Attempt) {
  if (!Watching) {
    WatchOpen = false;
    return;
  }
  if (Attempt == 0) {
    watch();
    return;
  }
  Store.retryLater(Attempt, [this] {
    if (Watching)
      watch();
    else
      WatchOpen = false;
  });
}

void config_controller::submitPatch(const patch &Patch, patch_execution::done Done) {
  Patches.push_back({Patch, std::move(Done)});
  if (Running == nullptr)
    startPatch();
}

void config_controller::startPatch() {
  if (Running != nullptr || Patches.empty())
    return;
  queued_patch Next = std::move(Patches.front());
  Patches.pop_front();
  Running = std::make_unique<patch_execution>(
      Store, std::move(Next.Patch), InForce,
      [this](std::shared_ptr<const configuration> Configuration) {
        adopt(std::move(Configuration));
      },
      std::move(Next.Done));
  Running->start();
}

} // namespace briarpoint
