#ifndef BRIARPOINT_SOAK_FORWARDER_PROCESS_H
#define BRIARPOINT_SOAK_FORWARDER_PROCESS_H

#include "net/endpoint.h"

#include <sys/types.h>

#include <string>

namespace briarpoint::soak {

/// A briarpoint-forwarder process that can be started, signalled and restarted.
class forwarder_process {
public:
  /// Doesn't start the process. Settings and log are written to \p Folder.
  forwarder_process(std::string Program, std::string Folder, std::string Name,
                    std::string Settings);
  /// Kills the process if it runs.
  ~forwarder_process();
  forwarder_process(const forwarder_process &) = delete;
  forwarder_process &operator=(const forwarder_process &) = delete;

  /// \throws std::system_error if the process can't be started.
  void start();
  void signal(int Signal) const;
  /// Returns whether the process runs; reaps it if it has ended.
  bool running();
  /// Whether the process is stopped by SIGSTOP, so that the fabric sends it no packets.
  bool paused() const { return Paused; }
  /// Sends SIGSTOP or SIGCONT.
  void setPaused(bool IsPaused);

  /// Number of times that the process ended other than with status 0 or by SIGKILL.
  int crashes() const { return Crashes; }

private:
  std::string Program;
  std::string Folder;
  std::string Name;
  std::string Settings;
  pid_t ProcessId = 0;
  bool Paused = false;
  int Crashes = 0;
};

} // namespace briarpoint::soak

#endif // BRIARPOINT_SOAK_FORWARDER_PROCESS_H
