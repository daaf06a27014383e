#ifndef BRIARPOINT_STANDINS_PLATFORM_SERVER_H
#define BRIARPOINT_STANDINS_PLATFORM_SERVER_H

#include "net/endpoint.h"
#include "standins/platform_calls.h"
#include "standins/platform_faults.h"

#include <memory>
#include <string>

struct event_base;

namespace briarpoint::standins {

/// Stand-in for the platform's object API. Supports named objects with revisions, conditional
/// writes, paged lists, watches with a history, a delayed list of instances, and faults. Runs in
/// the loop of an event base. HTTP interface:
///
///   GET, POST, PUT, DELETE /-/objects/KIND[/NAME]   the object API
///   POST /faults   {"down","over_rate","lose_put_answers","hang","history_gone","delay_ms",
///                  "instances_lag_ms"}; missing fields are switched off
///   POST /instances   {"instances":[{"name","control","leaving"}]}: sets the objects of that kind
///   POST /copy   keeps a copy of the store
///   POST /return   comes back from the last copy with an era higher by one; from then on, answers
///                  have the header Store-Era
///   GET /calls   {"reads","writes","waiting_watches"}
class platform_server {
public:
  /// Listens on \p Listen; port 0 picks a free one. Requires "Authorization: Bearer TOKEN" at the
  /// object API if \p Token isn't empty.
  /// \throws std::runtime_error if the address can't be bound.
  platform_server(event_base *Base, const endpoint &Listen, std::string Token = "");
  ~platform_server();
  platform_server(const platform_server &) = delete;
  platform_server &operator=(const platform_server &) = delete;

  /// Address and port that it listens on.
  endpoint address() const;

  void setFaults(const platform_faults &Faults);
  platform_calls calls() const;

  /// Creates or replaces an object and notifies watches; ignores faults.
  void writeObject(const std::string &Kind, const std::string &Name, const std::string &SpecJson);
  /// Removes an object and notifies watches; ignores faults.
  void removeObject(const std::string &Kind, const std::string &Name);

  /// Answers all pending watches as if their wait time had passed.
  void endWatches();

  /// Keeps a copy of the store for comeBackFromCopy().
  void keepCopy();
  /// While it is away, each call is answered with 503, beside other faults.
  void setAway(bool IsAway);
  /// Returns to the last copy and raises the era by one. Waiting watches end without an answer.
  void comeBackFromCopy();

  /// Keeps a copy of the objects for stale reads.
  void keepStaleCopy();
  /// Stops reporting events to watches until dropHistory(), and keeps a copy of the objects for
  /// stale reads.
  void withholdWatchEvents();
  /// If enabled, lists that allow stale data return the objects of the last copy.
  void setStaleReads(bool Enabled);
  /// Discards the history of changes and reports events again. A watch that started before is
  /// refused at the next change of its kind.
  void dropHistory();

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace briarpoint::standins

#endif // BRIARPOINT_STANDINS_PLATFORM_SERVER_H
