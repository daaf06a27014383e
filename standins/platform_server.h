#ifndef BRIARPOINT_STANDINS_PLATFORM_SERVER_H
#define BRIARPOINT_STANDINS_PLATFORM_SERVER_H

#include "net/endpoint.h"
#include "standins/platform_calls.h"
#include "standins/platform_faults.h"

#include <memory>
#include <string>

struct event_base;

namespace briarpoint::standins {

/// Stand-in for the platform's object API: kinds of named objects with revisions, conditional
/// writes, pages, watches with a history, a list of instances that lags, and faults. Runs in the
/// loop of an event base. HTTP interface:
///
///   GET, POST, PUT, DELETE /-/objects/KIND[/NAME]   the object API
///   POST /faults   {"down","over_rate","lose_put_answers","hang","history_gone","delay_ms",
///                  "instances_lag_ms"}; fields that are missing are switched off
///   POST /instances   {"instances":[{"name","control","leaving"}]}: sets the objects of that kind
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

  /// Creates or replaces an object, or removes it, as a call would.
  void writeObject(const std::string &Kind, const std::string &Name, const std::string &SpecJson);
  void removeObject(const std::string &Kind, const std::string &Name);

  /// Ends all waiting watches as if their time limit had passed.
  void endWatches();

  /// Watches report nothing until dropHistory(); stale reads can be answered by what is there now.
  void withholdWatchEvents();
  /// Whether stale reads are answered by what was there at the last withholdWatchEvents().
  void setStaleReads(bool AreOld);
  /// Forgets all changes. A watch that waits from before is refused at the next change of its kind.
  void dropHistory();

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace briarpoint::standins

#endif // BRIARPOINT_STANDINS_PLATFORM_SERVER_H
