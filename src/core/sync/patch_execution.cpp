#include "core/sync/patch_execution.h"

#include "base/findings_error.h"
#include "config/configuration_parts.h"
#include "core/sync/config_loader.h"

#include <utility>

namespace briarpoint {

namespace {

constexpr std::uint32_t MaxHeadAttempts = 4;

} // namespace

patch_execution::patch_execution(store_client &Store, patch Patch,
                                 std::shared_ptr<const configuration> InForce, adopt Adopt,
                                 done Done)
    : Store(Store), Patch(std::move(Patch)), InForce(std::move(InForce)), Adopt(std::move(Adopt)),
      Done(std::move(Done)) {}

void patch_execution::start() {
  Store.get(HeadKey, [this](const object_result &Answer) { handleHead(Answer); });
}

void patch_execution::handleHead(const object_result &Answer) {
  if (Answer.Status != object_status::Ok && Answer.Status != object_status::NotFound) {
    finish(patch_status::Unavailable, InForce->Version);
    return;
  }
  if (Answer.Status == object_status::Ok) {
    try {
      Head = parseConfigHead(Answer.Value);
    } catch (const findings_error &Error) {
      finish(patch_status::Unavailable, InForce->Version, Error.findings());
      return;
    }
    HeadObject = Answer.Version;
  }
  if (const std::optional<config_version> Accepted = Head.findPatch(Patch.Id))
    finish(patch_status::Accepted, *Accepted);
  else if (Head.Version < InForce->Version)
    finish(patch_status::Unavailable, InForce->Version,
           {{HeadKey, 0, 0, "version",
             "the platform shows version " + std::to_string(Head.Version) + " but version " +
                 std::to_string(InForce->Version) + " is in force"}});
  else if (Patch.Base != Head.Version)
    finish(patch_status::Stale, Head.Version);
  else
    readKnownParts();
}

void patch_execution::readKnownParts() {
  if (Head.Version == 0) {
    loadBase();
    return;
  }
  Store.get(Head.Manifest, [this](const object_result &Answer) {
    try {
      if (Answer.Status == object_status::Ok)
        for (std::string &Key : parseConfigManifest(Answer.Value).Parts)
          KnownParts.insert(std::move(Key));
    } catch (const findings_error &) {
      // Without the manifest, all parts are written; writing a part that exists doesn't change it.
      KnownParts.clear();
    }
    loadBase();
  });
}

void patch_execution::loadBase() {
  if (Head.Version == InForce->Version) {
    apply(*InForce);
    return;
  }
  config_loader::load(Store, Head, [this](const std::shared_ptr<const configuration> &Base) {
    if (Base == nullptr)
      finish(patch_status::Unavailable, InForce->Version);
    else
      apply(*Base);
  });
}

void patch_execution::apply(const configuration &Base) {
  try {
    Result = std::make_shared<const configuration>(applyPatch(Base, Patch));
    Parts = splitConfiguration(*Result, MaxObjectSize);
  } catch (const findings_error &Error) {
    finish(patch_status::Invalid, Head.Version, Error.findings());
    return;
  }
  Manifest.Version = Result->Version;
  for (const std::string &Part : Parts)
    Manifest.Parts.push_back(partKey(Part));
  writeParts(0);
}

void patch_execution::writeParts(std::size_t Index) {
  while (Index < Parts.size() && KnownParts.contains(Manifest.Parts[Index]))
    ++Index;
  if (Index == Parts.size()) {
    writeManifest();
    return;
  }
  Store.putImmutable(Manifest.Parts[Index], Parts[Index],
                     [this, Index](const object_result &Answer) {
                       // A part has no effect until the head refers to it, so nothing was changed.
                       if (Answer.Status != object_status::Ok)
                         finish(patch_status::Unavailable, Head.Version);
                       else
                         writeParts(Index + 1);
                     });
}

void patch_execution::writeManifest() {
  Store.putImmutable(manifestKey(Manifest), toJson(Manifest), [this](const object_result &Answer) {
    if (Answer.Status != object_status::Ok)
      finish(patch_status::Unavailable, Head.Version);
    else
      writeHead();
  });
}

void patch_execution::writeHead() {
  ++HeadAttempts;
  Store.put(HeadKey, HeadObject, toJson(nextHead(Head, Patch.Id, manifestKey(Manifest))),
            [this](const object_result &Answer) { handleHeadWritten(Answer); });
}

void patch_execution::handleHeadWritten(const object_result &Answer) {
  switch (Answer.Status) {
  case object_status::Ok:
    Adopt(Result);
    finish(patch_status::Accepted, Result->Version);
    return;
  case object_status::Conflict:
    // Another patch was accepted, or an earlier attempt of this one whose answer was lost.
    rereadHead();
    return;
  case object_status::Unavailable:
    if (HeadAttempts < MaxHeadAttempts)
      Store.retryLater(HeadAttempts, [this] { writeHead(); });
    else
      finish(MayBeAccepted ? patch_status::Unknown : patch_status::Unavailable, Head.Version);
    return;
  default:
    MayBeAccepted = true;
    rereadHead();
  }
}

void patch_execution::rereadHead() {
  Store.get(HeadKey, [this](const object_result &Answer) { handleRereadHead(Answer); });
}

void patch_execution::handleRereadHead(const object_result &Answer) {
  const bool Unreadable =
      Answer.Status != object_status::Ok && Answer.Status != object_status::NotFound;
  config_head Current;
  try {
    if (Answer.Status == object_status::Ok)
      Current = parseConfigHead(Answer.Value);
  } catch (const findings_error &Error) {
    finish(patch_status::Unknown, Head.Version, Error.findings());
    return;
  }
  if (Unreadable) {
    finish(patch_status::Unknown, Head.Version);
    return;
  }
  if (const std::optional<config_version> Accepted = Current.findPatch(Patch.Id)) {
    // A client may have sent the same id with different content to another balancer; the manifest
    // key distinguishes the two.
    if (Current.Manifest == manifestKey(Manifest))
      Adopt(Result);
    finish(patch_status::Accepted, *Accepted);
    return;
  }
  if (Answer.Version != HeadObject && Answer.Status == object_status::Ok) {
    finish(patch_status::Stale, Current.Version);
    return;
  }
  // The head is unchanged. The lost write may still arrive, but both writes carry the same expected
  // version, so at most one takes effect.
  if (HeadAttempts < MaxHeadAttempts)
    Store.retryLater(HeadAttempts, [this] { writeHead(); });
  else
    finish(patch_status::Unknown, Head.Version);
}

void patch_execution::finish(patch_status Status, config_version Version,
                             std::vector<finding> Findings) {
  Finished = true;
  const done Call = std::move(Done);
  Call({Status, Version, std::move(Findings)});
}

} // namespace briarpoint
