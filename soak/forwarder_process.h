#ifndef BRIARPOINT_SOAK_FORWARDER_PROCESS_H
#define BRIARPOINT_SOAK_FORWARDER_PROCESS_H

#include "net/endpoint.h"

#include <sys/types.h>

#include <string>

namespace briarpoint::soak {

/// A briarpoint-forwarder process that is started, signalled and started again.
class forwarder_process {
public:
  /// Doesn't start it yet. Settings and log go to \p Folder.
  forwarder_process(std::string Program, std::string Folder, std::string Name,
                    std::string Settings);
  /// Kills the process if it runs.
  ~forwarder_process();
  forwarder_process(const forwarder_process &) = delete;
  forwarder_process &operator=(const forwarder_process &) = delete;

  /// \throws std::system_error if it can't be started.
  void start();
  void signal(int Signal) const;
  /// Returns whether the process runs; takes in its end if it has ended.
  bool running();
  /// Whether it takes part in the fabric: it runs and isn't stopped by a signal.
  bool paused() const { return Paused; }
  void setPaused(bool IsPaused);

  /// Exits with a status other than 0 that no signal of ours explains.
  int crashes() const { return Crashes; }

private:
  std::string Program;
  std::string Folder;
  std::string Name;
  std::string Settings;
  pid_t Process = 0;
  bool Paused = false;
  int Crashes = 0;
};

} // namespace briarpoint::soak

#endif // BRIARPOINT_SOAK_FORWARDER_PROCESS_H
