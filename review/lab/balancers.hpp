#ifndef REVIEW_LAB_BALANCERS_HPP
#define REVIEW_LAB_BALANCERS_HPP

#include "loop.hpp"
#include "net.hpp"

#include <csignal>
#include <fstream>
#include <memory>
#include <sstream>

#include <sys/prctl.h>
#include <sys/wait.h>

namespace lab {

/// Fields of a settings file, by dotted name. Elements of a list have the numbers 0, 1, ... as last
/// parts of their names.
using fields = std::map<std::string, std::string>;

/// Fills in a template as DEPLOY.md tells it, as far as platform/settings.toml.template uses it.
inline std::string fillIn(std::string Text, const fields &Fields, const std::string &Current = "") {
  std::size_t Begin = 0;
  while ((Begin = Text.find("{{", Begin)) != std::string::npos) {
    const std::size_t End = Text.find("}}", Begin);
    const std::string Tag = Text.substr(Begin + 2, End - Begin - 2);
    if (Tag[0] != '#') {
      const auto Found = Fields.find(Tag);
      const std::string Value = Tag == "." ? Current : Found == Fields.end() ? "" : Found->second;
      Text.replace(Begin, End + 2 - Begin, Value);
      Begin += Value.size();
      continue;
    }
    const std::string Name = Tag.substr(1);
    const std::string Close = "{{/" + Name + "}}";
    const std::size_t CloseAt = Text.find(Close, End);
    const std::string Body = Text.substr(End + 2, CloseAt - End - 2);
    std::vector<std::string> Entries;
    for (int I = 0; Fields.contains(Name + "." + std::to_string(I)); ++I)
      Entries.push_back(Fields.at(Name + "." + std::to_string(I)));
    std::string Value;
    if (Entries.empty() && Fields.contains(Name))
      Value = fillIn(Body, Fields);
    for (std::size_t I = 0; I < Entries.size(); ++I) {
      std::string Part = Body;
      const std::size_t Comma = Part.find("{{,}}");
      if (Comma != std::string::npos)
        Part.replace(Comma, 5, I + 1 < Entries.size() ? "," : "");
      Value += fillIn(Part, Fields, Entries[I]);
    }
    Text.replace(Begin, CloseAt + Close.size() - Begin, Value);
    Begin += Value.size();
  }
  return Text;
}

inline std::string readText(const std::string &File) {
  std::ifstream In(File);
  if (!In)
    throw std::runtime_error("can't read " + File);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

/// The run command of the deploy file; the case runs in the repository's root.
inline constexpr const char *Program = "target/bin/briarpoint-forwarder";

/// A process of the system on its own machine, which has one loopback address.
class balancer {
public:
  balancer(std::string Folder, fields Settings, std::uint32_t Address, std::uint16_t PacketPort,
           std::uint16_t ReadyPort)
      : Name(Settings.at("node_name")), Address(Address), PacketPort(PacketPort),
        ReadyPort(ReadyPort), Folder(std::move(Folder)), Settings(std::move(Settings)) {}
  ~balancer() {
    if (Process == 0)
      return;
    kill(Process, SIGCONT);
    kill(Process, SIGKILL);
    waitpid(Process, nullptr, 0);
  }
  balancer(const balancer &) = delete;
  balancer &operator=(const balancer &) = delete;

  void start() {
    const std::string File = Folder + "/" + Name + ".toml";
    std::ofstream(File) << fillIn(readText("platform/settings.toml.template"), Settings);
    const std::string Log = Folder + "/" + Name + ".log";
    Process = fork();
    if (Process == 0) {
      // Ends with the case, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Out, 1);
      dup2(Out, 2);
      const std::string Variable = "BRIARPOINT_CONFIG=" + File;
      const char *Environment[] = {Variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
      const char *Arguments[] = {Program, nullptr};
      execve(Program, const_cast<char *const *>(Arguments), const_cast<char *const *>(Environment));
      _exit(127);
    }
    if (Process < 0)
      throw std::runtime_error("fork failed");
  }
  /// Returns whether the process runs; collects its status otherwise.
  bool running() {
    int Status = 0;
    if (Process == 0 || waitpid(Process, &Status, WNOHANG) == 0)
      return Process != 0;
    Process = 0;
    LastStatus = Status;
    return false;
  }
  void signal(int Number) const {
    if (Process != 0)
      kill(Process, Number);
  }

  const std::string Name;
  const std::uint32_t Address;
  const std::uint16_t PacketPort;
  const std::uint16_t ReadyPort;
  int LastStatus = 0;

private:
  std::string Folder;
  fields Settings;
  pid_t Process = 0;
};

/// The platform's routers with steady hashing: they request the readiness twice per second, and two
/// misses take a balancer out of rotation.
class routers {
public:
  routers(loop &Loop, std::vector<std::shared_ptr<balancer>> Balancers)
      : Loop(Loop), Balancers(std::move(Balancers)) {
    States.resize(this->Balancers.size());
    Loop.every(500, [this] {
      for (std::size_t I = 0; I < States.size(); ++I)
        probe(I);
    });
  }

  std::uint32_t select(const flow_key &Flow) const {
    const balancer *Best = nullptr;
    std::uint64_t BestHash = 0;
    const bool All = 2 * inRotation() < States.size();
    for (std::size_t I = 0; I < States.size(); ++I) {
      if (!All && !States[I].InRotation)
        continue;
      const std::uint64_t Hash = hash(Flow, Balancers[I]->Address);
      if (Best == nullptr || Hash > BestHash) {
        Best = Balancers[I].get();
        BestHash = Hash;
      }
    }
    return Best == nullptr ? 0 : Best->Address;
  }
  std::size_t inRotation() const {
    std::size_t Count = 0;
    for (const state &State : States)
      Count += State.InRotation ? 1 : 0;
    return Count;
  }
  bool inRotation(std::size_t Index) const { return States[Index].InRotation; }

private:
  struct state {
    bool InRotation = false;
    int Misses = 0;
  };

  static std::uint64_t hash(const flow_key &Flow, std::uint64_t Node) {
    std::uint64_t Value = 0x2545f4914f6cdd1d;
    for (const std::uint64_t Part : {Node, std::uint64_t{Flow.Src}, std::uint64_t{Flow.Sport},
                                     std::uint64_t{Flow.Dst}, std::uint64_t{Flow.Dport}}) {
      Value ^= Part + 0x9e3779b97f4a7c15 + (Value << 6) + (Value >> 2);
      Value *= 0xff51afd7ed558ccd;
      Value ^= Value >> 33;
    }
    return Value;
  }

  void probe(std::size_t Index) {
    const balancer &Balancer = *Balancers[Index];
    const int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in To = socketAddress(Balancer.Address, Balancer.ReadyPort);
    connect(Descriptor, reinterpret_cast<const sockaddr *>(&To), sizeof(To));
    const std::string Request = "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    auto Answer = std::make_shared<std::string>();
    auto Done = std::make_shared<bool>(false);
    const auto Finish = [this, Index, Descriptor, Done](bool Ready) {
      if (*Done)
        return;
      *Done = true;
      Loop.remove(Descriptor);
      close(Descriptor);
      note(Index, Ready);
    };
    // On the loopback network a connection is established at once or refused at once.
    if (::send(Descriptor, Request.data(), Request.size(), MSG_NOSIGNAL) < 0) {
      Finish(false);
      return;
    }
    Loop.onReadable(Descriptor, [Descriptor, Answer, Finish] {
      char Buffer[1024];
      const ssize_t Size = recv(Descriptor, Buffer, sizeof(Buffer), 0);
      if (Size < 0 && errno == EAGAIN)
        return;
      if (Size > 0)
        Answer->append(Buffer, static_cast<std::size_t>(Size));
      if (Size <= 0 || Answer->find("\r\n") != std::string::npos)
        Finish(Answer->find(" 200 ") != std::string::npos);
    });
    Loop.after(450, [Finish] { Finish(false); });
  }

  void note(std::size_t Index, bool Ready) {
    state &State = States[Index];
    if (Ready) {
      State = {true, 0};
    } else if (++State.Misses >= 2) {
      State.InRotation = false;
    }
  }

  loop &Loop;
  std::vector<std::shared_ptr<balancer>> Balancers;
  std::vector<state> States;
};

} // namespace lab

#endif // REVIEW_LAB_BALANCERS_HPP
