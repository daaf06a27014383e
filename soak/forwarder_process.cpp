#include "soak/forwarder_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <system_error>

namespace briarpoint::soak {

forwarder_process::forwarder_process(std::string Program, std::string Folder, std::string Name,
                                     std::string Settings)
    : Program(std::move(Program)), Folder(std::move(Folder)), Name(std::move(Name)),
      Settings(std::move(Settings)) {}

forwarder_process::~forwarder_process() {
  if (!running())
    return;
  kill(ProcessId, SIGKILL);
  waitpid(ProcessId, nullptr, 0);
}

void forwarder_process::start() {
  const std::string File = Folder + "/" + Name + ".toml";
  const std::string LogFile = Folder + "/" + Name + ".log";
  std::ofstream(File) << Settings;
  std::string Option = "--config=" + File;
  char *Arguments[] = {Program.data(), Option.data(), nullptr};
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, 1, LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                   0644);
  posix_spawn_file_actions_adddup2(&Actions, 1, 2);
  // Otherwise a connection that the soak closes would stay open in a process that inherited it.
  posix_spawn_file_actions_addclosefrom_np(&Actions, 3);
  const int Error = posix_spawn(&ProcessId, Program.c_str(), &Actions, nullptr, Arguments, environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Error != 0)
    throw std::system_error(Error, std::generic_category(), Program);
  Paused = false;
}

void forwarder_process::signal(int Signal) const {
  if (ProcessId != 0)
    kill(ProcessId, Signal);
}

bool forwarder_process::running() {
  int Status = 0;
  if (ProcessId == 0 || waitpid(ProcessId, &Status, WNOHANG) == 0)
    return ProcessId != 0;
  const bool Killed = WIFSIGNALED(Status) && WTERMSIG(Status) == SIGKILL;
  const bool Ended = WIFEXITED(Status) && WEXITSTATUS(Status) == 0;
  if (!Killed && !Ended) {
    ++Crashes;
    std::printf("%s: process %d ended unexpectedly, wait status %d\n", Name.c_str(), ProcessId,
                Status);
  }
  ProcessId = 0;
  return false;
}

void forwarder_process::setPaused(bool IsPaused) {
  Paused = IsPaused;
  signal(IsPaused ? SIGSTOP : SIGCONT);
}

} // namespace briarpoint::soak
