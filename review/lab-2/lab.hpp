// Stand-ins for the script cases of the second review: event loop, store, hosts, callers, router and the processes
// under test. Everything runs in one thread on loopback addresses and the real clock.
#ifndef REVIEW_LAB_2_LAB_HPP
#define REVIEW_LAB_2_LAB_HPP

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace lab {

using json = nlohmann::json;

// ---------------------------------------------------------------------------------------------------------------
// Time, record and event loop

inline double now() {
  static const auto Start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Start).count();
}

/// What was sent, answered and run: one line an event.
class record {
public:
  explicit record(const std::string &File) : Out(std::fopen(File.c_str(), "w")) {
    if (Out == nullptr)
      throw std::runtime_error("can't write " + File);
  }
  ~record() { std::fclose(Out); }
  void line(const char *Format, ...) __attribute__((format(printf, 2, 3))) {
    std::fprintf(Out, "%9.3f ", now());
    va_list Arguments;
    va_start(Arguments, Format);
    std::vfprintf(Out, Format, Arguments);
    va_end(Arguments);
    std::fputc('\n', Out);
    std::fflush(Out);
  }

private:
  std::FILE *Out;
};

class loop {
public:
  void at(double Time, std::function<void()> Run) { Timers.emplace(Time, std::move(Run)); }
  void after(double Delay, std::function<void()> Run) { at(now() + Delay, std::move(Run)); }
  void watch(int Socket, std::function<void(short)> Ready) { Sockets[Socket] = {std::move(Ready), POLLIN}; }
  void setEvents(int Socket, short Events) {
    if (const auto Found = Sockets.find(Socket); Found != Sockets.end())
      Found->second.Events = Events;
  }
  void forget(int Socket) { Sockets.erase(Socket); }

  void runUntil(double End) {
    while (now() < End) {
      while (!Timers.empty() && Timers.begin()->first <= now()) {
        const std::function<void()> Run = std::move(Timers.begin()->second);
        Timers.erase(Timers.begin());
        Run();
      }
      const double Next = std::min(End, Timers.empty() ? End : Timers.begin()->first);
      std::vector<pollfd> Polled;
      for (const auto &[Socket, Entry] : Sockets)
        Polled.push_back({Socket, Entry.Events, 0});
      const int Wait = std::max(0, static_cast<int>((Next - now()) * 1000));
      ::poll(Polled.data(), Polled.size(), Wait);
      for (const pollfd &Each : Polled) {
        const auto Found = Each.revents == 0 ? Sockets.end() : Sockets.find(Each.fd);
        if (Found == Sockets.end())
          continue;
        const std::function<void(short)> Ready = Found->second.Ready;
        Ready(Each.revents);
      }
    }
  }

private:
  struct entry {
    std::function<void(short)> Ready;
    short Events;
  };
  std::multimap<double, std::function<void()>> Timers;
  std::map<int, entry> Sockets;
};

// ---------------------------------------------------------------------------------------------------------------
// Addresses and sockets

struct address {
  std::uint32_t Ip = 0;
  std::uint16_t Port = 0;
  auto operator<=>(const address &) const = default;
};

inline std::string ipText(std::uint32_t Ip) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%u.%u.%u.%u", Ip >> 24, Ip >> 16 & 255, Ip >> 8 & 255, Ip & 255);
  return Text;
}
inline std::string text(const address &A) { return ipText(A.Ip) + ":" + std::to_string(A.Port); }

inline sockaddr_in toSockaddr(const address &A) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_addr.s_addr = htonl(A.Ip);
  Result.sin_port = htons(A.Port);
  return Result;
}

inline int openSocket(int Type, const address &Local) {
  const int Socket = ::socket(AF_INET, Type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int On = 1;
  if (Type == SOCK_STREAM)
    ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Address = toSockaddr(Local);
  if (Socket < 0 || ::bind(Socket, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address)) != 0)
    throw std::runtime_error("can't bind " + text(Local));
  if (Type == SOCK_STREAM)
    ::listen(Socket, 64);
  return Socket;
}

inline void sendDatagram(int Socket, const address &To, const std::string &Bytes) {
  const sockaddr_in Address = toSockaddr(To);
  ::sendto(Socket, Bytes.data(), Bytes.size(), 0, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address));
}

// ---------------------------------------------------------------------------------------------------------------
// Packets: the layout of the platform's page

enum : unsigned { Rst = 1, Fin = 2, Syn = 8, Ack = 16 };

struct packet {
  unsigned Flags = 0;
  std::uint32_t Seq = 0;
  std::uint32_t Acked = 0;
  std::uint32_t Echo = 0;
  address From;
  address To;
  std::string Data;
  /// `sum` is the keyed sum of its sender.
  bool Genuine = true;
};

inline std::uint32_t keyedSum(const packet &P) {
  std::uint64_t Hash = 0x5bd1e995a7c3f21dULL;
  const auto Mix = [&](std::uint64_t Value) { Hash = (Hash ^ Value) * 0x100000001b3ULL; };
  for (const std::uint64_t Value : {std::uint64_t{P.Flags}, std::uint64_t{P.Seq}, std::uint64_t{P.Acked},
                                    std::uint64_t{P.From.Ip}, std::uint64_t{P.From.Port}, std::uint64_t{P.To.Ip},
                                    std::uint64_t{P.To.Port}, std::uint64_t{P.Data.size()}})
    Mix(Value);
  for (const char C : P.Data)
    Mix(static_cast<unsigned char>(C));
  const auto Sum = static_cast<std::uint32_t>(Hash ^ Hash >> 29);
  return Sum == 0 ? 1 : Sum;
}

inline void put(std::string &Out, std::uint64_t Value, int Bytes) {
  for (int I = Bytes - 1; I >= 0; --I)
    Out += static_cast<char>(Value >> (8 * I) & 255);
}
inline std::uint64_t get(const std::string &In, std::size_t Offset, int Bytes) {
  std::uint64_t Value = 0;
  for (int I = 0; I < Bytes; ++I)
    Value = Value << 8 | static_cast<unsigned char>(In[Offset + static_cast<std::size_t>(I)]);
  return Value;
}

inline std::string encode(const packet &P) {
  std::string Out;
  put(Out, P.Flags, 1);
  put(Out, P.Data.size(), 2);
  put(Out, keyedSum(P), 4);
  put(Out, P.Seq, 4);
  put(Out, P.Acked, 4);
  put(Out, P.Echo, 4);
  put(Out, P.From.Ip, 4);
  put(Out, P.To.Ip, 4);
  put(Out, P.To.Port, 2);
  put(Out, P.From.Port, 2);
  return Out + P.Data;
}

inline bool decode(const std::string &In, packet &Out) {
  if (In.size() < 31)
    return false;
  Out.Flags = static_cast<unsigned>(get(In, 0, 1));
  Out.Seq = static_cast<std::uint32_t>(get(In, 7, 4));
  Out.Acked = static_cast<std::uint32_t>(get(In, 11, 4));
  Out.Echo = static_cast<std::uint32_t>(get(In, 15, 4));
  Out.From = {static_cast<std::uint32_t>(get(In, 19, 4)), static_cast<std::uint16_t>(get(In, 29, 2))};
  Out.To = {static_cast<std::uint32_t>(get(In, 23, 4)), static_cast<std::uint16_t>(get(In, 27, 2))};
  Out.Data = In.substr(31);
  Out.Genuine = get(In, 3, 4) == keyedSum(Out);
  return true;
}

// ---------------------------------------------------------------------------------------------------------------
// The platform's store: lists and watches over HTTP/1.1 with MessagePack bodies

class store {
public:
  store(loop &Loop, const address &Local) : Loop(Loop), Listener(openSocket(SOCK_STREAM, Local)) {
    Loop.watch(Listener, [this](short) { acceptAll(); });
  }

  void write(const std::string &Kind, const std::string &Name, const json &Spec) {
    object &Object = Kinds[Kind][Name];
    if (Object.Created != 0 && Object.Spec == Spec)
      return;
    ++Revision;
    Object.Created = Object.Created == 0 ? Revision : Object.Created;
    Object.Revision = Revision;
    Object.Spec = Spec;
    record(Kind, Name, Object, false);
  }
  void remove(const std::string &Kind, const std::string &Name) {
    const auto Found = Kinds[Kind].find(Name);
    if (Found == Kinds[Kind].end())
      return;
    object Object = Found->second;
    Kinds[Kind].erase(Found);
    Object.Revision = ++Revision;
    record(Kind, Name, Object, true);
  }
  bool has(const std::string &Kind, const std::string &Name) { return Kinds[Kind].contains(Name); }
  std::uint64_t revision() const { return Revision; }

  /// Stale reads (`serializable`) are answered by one of two replicas at random; one of them is this old.
  void setReplicaAge(double Seconds) { ReplicaAge = Seconds; }

  /// The store is down: open connections are reset, and new ones, too.
  void setDown(bool IsDown) {
    Down = IsDown;
    if (!Down)
      return;
    std::vector<int> Open;
    for (const auto &[Socket, Connection] : Connections)
      Open.push_back(Socket);
    for (const int Socket : Open)
      drop(Socket);
  }
  bool down() const { return Down; }

  /// The store comes back from a copy that is this old: what it has acknowledged since is gone, and its era rises.
  void comeBackFromCopy(double Age) {
    setDown(true);
    const double Time = now() - Age;
    std::erase_if(Events, [Time](const event &Event) { return Event.Time > Time; });
    Kinds.clear();
    for (const event &Event : Events) {
      const json &Meta = Event.Content["object"]["meta"];
      if (Event.Content["deleted"])
        Kinds[Event.Kind].erase(Meta["name"].get<std::string>());
      else
        Kinds[Event.Kind][Meta["name"].get<std::string>()] = {Meta["created"], Meta["revision"],
                                                             Event.Content["object"]["spec"]};
    }
    Revision = Events.empty() ? FirstRevision : Events.back().Revision;
    ++Era;
    Down = false;
  }

private:
  struct object {
    std::uint64_t Created = 0;
    std::uint64_t Revision = 0;
    json Spec;
  };
  struct event {
    double Time;
    std::uint64_t Revision;
    std::string Kind;
    json Content;
  };
  struct connection {
    std::string In;
    std::string Out;
    bool Watching = false;
    std::string Kind;
    std::uint64_t After = 0;
    std::uint64_t Number = 0;
    /// Age of the data that answer the call.
    double Age = 0;
  };

  std::uint64_t revisionAt(double Time) const {
    std::uint64_t Result = FirstRevision;
    for (const event &Event : Events)
      if (Event.Time <= Time)
        Result = Event.Revision;
    return Result;
  }
  static json toJson(const std::string &Name, const object &Object) {
    return {{"meta",
             {{"name", Name},
              {"revision", Object.Revision},
              {"created", Object.Created},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", Object.Spec},
            {"status", nullptr}};
  }
  void record(const std::string &Kind, const std::string &Name, const object &Object, bool Deleted) {
    Events.push_back({now(), Revision, Kind, {{"object", toJson(Name, Object)}, {"deleted", Deleted}}});
    if (Down)
      return;
    std::vector<std::pair<int, std::uint64_t>> Waiting;
    for (const auto &[Socket, Connection] : Connections)
      if (Connection.Watching && Connection.Kind == Kind)
        Waiting.emplace_back(Socket, Connection.Number);
    for (const auto &[Socket, Number] : Waiting)
      finishWatchLater(Socket, Number, Connections[Socket].Age);
  }
  void finishWatchLater(int Socket, std::uint64_t Number, double Delay) {
    if (Delay <= 0) {
      finishWatch(Socket);
      return;
    }
    Loop.after(Delay + 0.001, [this, Socket, Number] {
      const auto Found = Connections.find(Socket);
      if (Found != Connections.end() && Found->second.Watching && Found->second.Number == Number)
        finishWatch(Socket);
    });
  }
  void acceptAll() {
    for (int Socket; (Socket = ::accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
      const int On = 1;
      ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
      Connections[Socket] = {};
      if (Down) {
        drop(Socket);
        continue;
      }
      Loop.watch(Socket, [this, Socket](short Ready) { serve(Socket, Ready); });
    }
  }
  /// Closes with a reset.
  void drop(int Socket) {
    const linger Reset{1, 0};
    ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
    Loop.forget(Socket);
    ::close(Socket);
    Connections.erase(Socket);
  }
  void serve(int Socket, short Ready) {
    connection &Connection = Connections[Socket];
    if ((Ready & POLLOUT) != 0)
      flush(Socket);
    if ((Ready & (POLLIN | POLLHUP | POLLERR)) == 0)
      return;
    char Buffer[65536];
    for (;;) {
      const ssize_t Size = ::recv(Socket, Buffer, sizeof(Buffer), 0);
      if (Size > 0) {
        Connection.In.append(Buffer, static_cast<std::size_t>(Size));
        continue;
      }
      if (Size < 0 && (errno == EAGAIN || errno == EINTR))
        break;
      drop(Socket);
      return;
    }
    for (std::size_t End; !Connection.Watching && (End = Connection.In.find("\r\n\r\n")) != std::string::npos;) {
      const std::string Line = Connection.In.substr(0, Connection.In.find("\r\n"));
      Connection.In.erase(0, End + 4);
      handle(Socket, Line);
    }
  }
  void handle(int Socket, const std::string &Line) {
    connection &Connection = Connections[Socket];
    const std::size_t Begin = Line.find(' ') + 1;
    const std::string Target = Line.substr(Begin, Line.find(' ', Begin) - Begin);
    const std::size_t Question = Target.find('?');
    const std::string Path = Target.substr(0, Question);
    const std::string Prefix = "/-/objects/";
    if (Path.rfind(Prefix, 0) != 0) {
      answer(Socket, 404, json::object());
      return;
    }
    std::map<std::string, std::string> Query;
    for (std::size_t At = Question == std::string::npos ? Target.size() : Question + 1; At < Target.size();) {
      const std::size_t End = std::min(Target.find('&', At), Target.size());
      const std::string Part = Target.substr(At, End - At);
      Query[Part.substr(0, Part.find('='))] = Part.substr(Part.find('=') + 1);
      At = End + 1;
    }
    Connection.Kind = Path.substr(Prefix.size());
    Connection.Age = Query.contains("serializable") && Random() % 2 == 0 ? ReplicaAge : 0;
    if (!Query.contains("watch")) {
      std::map<std::string, json> Present;
      const double Time = now() - Connection.Age;
      for (const event &Event : Events) {
        if (Event.Time > Time || Event.Kind != Connection.Kind)
          continue;
        const std::string Name = Event.Content["object"]["meta"]["name"];
        if (Event.Content["deleted"])
          Present.erase(Name);
        else
          Present[Name] = Event.Content["object"];
      }
      json Items = json::array();
      for (const auto &[Name, Object] : Present)
        if (Name > Query["after"])
          Items.push_back(Object);
      answer(Socket, 200, {{"items", Items}, {"has_more", false}, {"current_rev", revisionAt(Time)}});
      return;
    }
    Connection.After = std::stoull(Query["watch"]);
    if (Connection.After > Revision) {
      answer(Socket, 410, json::object());
      return;
    }
    Connection.Watching = true;
    const std::uint64_t Number = Connection.Number = ++Watches;
    if (finishWatch(Socket))
      return;
    for (const event &Event : Events)
      if (Event.Kind == Connection.Kind && Event.Revision > Connection.After)
        finishWatchLater(Socket, Number, Event.Time + Connection.Age - now());
    Loop.after(std::stod(Query["wait_ms"]) / 1000, [this, Socket, Number] {
      const auto Found = Connections.find(Socket);
      if (Found == Connections.end() || !Found->second.Watching || Found->second.Number != Number)
        return;
      Found->second.Watching = false;
      answer(Socket, 200, {{"events", json::array()}, {"current_rev", revisionAt(now() - Found->second.Age)}});
    });
  }
  bool finishWatch(int Socket) {
    connection &Connection = Connections[Socket];
    json Found = json::array();
    const double Time = now() - Connection.Age;
    for (const event &Event : Events)
      if (Event.Revision > Connection.After && Event.Kind == Connection.Kind && Event.Time <= Time)
        Found.push_back(Event.Content);
    if (Found.empty())
      return false;
    Connection.Watching = false;
    answer(Socket, 200, {{"events", Found}, {"current_rev", revisionAt(Time)}});
    return true;
  }
  void answer(int Socket, int Status, const json &Body) {
    const std::vector<std::uint8_t> Bytes = json::to_msgpack(Body);
    Connections[Socket].Out += "HTTP/1.1 " + std::to_string(Status) +
                               (Status == 200 ? " OK" : Status == 410 ? " Gone" : " Not Found") +
                               "\r\nStore-Era: " + std::to_string(Era) +
                               "\r\nContent-Type: application/msgpack\r\nContent-Length: " +
                               std::to_string(Bytes.size()) + "\r\n\r\n" + std::string(Bytes.begin(), Bytes.end());
    flush(Socket);
  }
  void flush(int Socket) {
    std::string &Out = Connections[Socket].Out;
    while (!Out.empty()) {
      const ssize_t Size = ::send(Socket, Out.data(), Out.size(), MSG_NOSIGNAL);
      if (Size <= 0)
        break;
      Out.erase(0, static_cast<std::size_t>(Size));
    }
    Loop.setEvents(Socket, static_cast<short>(Out.empty() ? POLLIN : POLLIN | POLLOUT));
  }

  loop &Loop;
  int Listener;
  bool Down = false;
  static constexpr std::uint64_t FirstRevision = 100;
  std::uint64_t Revision = FirstRevision;
  std::uint64_t Era = 1;
  std::uint64_t Watches = 0;
  double ReplicaAge = 0;
  std::mt19937 Random{std::random_device{}()};
  std::map<std::string, std::map<std::string, object>> Kinds;
  std::vector<event> Events;
  std::map<int, connection> Connections;
};

// ---------------------------------------------------------------------------------------------------------------
// Hosts

/// A host as the platform's page describes it. It answers each request after its work time.
class host {
public:
  struct settings {
    std::string Id;
    std::string Service;
    address Local;
    std::string Zone;
    std::uint16_t CallerPort = 0;
    double WorkTime = 0.02;
  };

  host(loop &Loop, record &Record, settings Settings)
      : Loop(Loop), Record(Record), Settings(std::move(Settings)),
        Number(std::stoull(this->Settings.Id.substr(this->Settings.Id.rfind('-') + 1), nullptr, 16)),
        Socket(openSocket(SOCK_DGRAM, this->Settings.Local)) {
    Loop.watch(Socket, [this](short) { receiveAll(); });
  }

  const settings &options() const { return Settings; }
  json entry(std::uint64_t Born) const {
    return {{"service", Settings.Service}, {"address", text(Settings.Local)}, {"zone", Settings.Zone},
            {"version", "v1"},             {"max_concurrency", 2},            {"state", "ready"},
            {"warmup_left_ms", 0},         {"born", Born},                    {"sequence", ++Sequence}};
  }
  bool holds(const address &Caller, const address &Service) const { return Flows.contains({Caller, Service}); }

private:
  struct flow {
    std::uint32_t Initial = 0;
    std::uint32_t Own = 0;
    std::uint32_t Expected = 0;
    std::uint32_t Echo = 0;
    bool Open = false;
    packet LastAnswer;
  };

  void receiveAll() {
    char Buffer[4096];
    for (ssize_t Size; (Size = ::recv(Socket, Buffer, sizeof(Buffer), 0)) > 0;) {
      const std::string Bytes(Buffer, static_cast<std::size_t>(Size));
      packet P;
      if (Bytes.size() < 8 || (get(Bytes, 0, 8) != Number && get(Bytes, 0, 8) != 0) || !decode(Bytes.substr(8), P) ||
          !P.Genuine)
        continue;
      receive(P);
    }
  }
  void send(const packet &P) { sendDatagram(Socket, {P.To.Ip, Settings.CallerPort}, encode(P)); }

  void receive(const packet &P) {
    const std::pair<address, address> Key{P.From, P.To};
    if ((P.Flags & Syn) != 0) {
      flow &Flow = Flows[Key];
      if (Flow.Expected == 0 || Flow.Initial != P.Seq)
        Flow = {P.Seq, static_cast<std::uint32_t>(Random()), P.Seq + 1, P.Echo, false, {}};
      Flow.Echo = P.Echo;
      send({Syn | Ack, Flow.Own, P.Seq + 1, Flow.Echo, P.To, P.From, "", true});
      return;
    }
    const auto Found = Flows.find(Key);
    if (Found == Flows.end() || (!Found->second.Open && P.Acked != Found->second.Own + 1)) {
      if ((P.Flags & (Rst | Fin)) != 0)
        return;
      Record.line("host %s (%s) resets a flow that it doesn't hold: caller %s", Settings.Id.c_str(),
                  Settings.Service.c_str(), text(P.From).c_str());
      send({Rst, P.Acked, P.Seq, P.Echo, P.To, P.From, "", true});
      return;
    }
    flow &Flow = Found->second;
    if (!Flow.Open) {
      Flow.Open = true;
      ++Flow.Own;
      Record.line("host %s (%s) has the flow of %s open", Settings.Id.c_str(), Settings.Service.c_str(),
                  text(P.From).c_str());
    }
    Flow.Echo = P.Echo;
    if ((P.Flags & (Rst | Fin)) != 0) {
      Flows.erase(Found);
      return;
    }
    if (P.Data.empty())
      return;
    if (P.Seq != Flow.Expected) {
      // A copy: the request is acknowledged, or its answer sent again.
      if (!Flow.LastAnswer.Data.empty())
        send(Flow.LastAnswer);
      return;
    }
    Flow.Expected += static_cast<std::uint32_t>(P.Data.size());
    Record.line("host %s (%s) runs %s", Settings.Id.c_str(), Settings.Service.c_str(), P.Data.c_str());
    Flow.LastAnswer = {};
    Loop.after(Settings.WorkTime, [this, Key, P] {
      const auto Still = Flows.find(Key);
      if (Still == Flows.end())
        return;
      flow &F = Still->second;
      F.LastAnswer = {Ack, F.Own, F.Expected, F.Echo, P.To, P.From, "done " + P.Data, true};
      F.Own += static_cast<std::uint32_t>(F.LastAnswer.Data.size());
      send(F.LastAnswer);
    });
  }

  loop &Loop;
  record &Record;
  settings Settings;
  std::uint64_t Number;
  int Socket;
  mutable std::uint64_t Sequence = 0;
  std::mt19937 Random{std::random_device{}()};
  std::map<std::pair<address, address>, flow> Flows;
};

// ---------------------------------------------------------------------------------------------------------------
// The forwarders under test

class process {
public:
  process(std::string Program, std::string Folder, std::string Name, std::string Settings)
      : Program(std::move(Program)), Folder(std::move(Folder)), Name(std::move(Name)), Settings(std::move(Settings)) {}
  ~process() {
    if (Id > 0) {
      ::kill(Id, SIGCONT);
      ::kill(Id, SIGKILL);
      ::waitpid(Id, nullptr, 0);
    }
  }
  process(const process &) = delete;
  process &operator=(const process &) = delete;

  void start() {
    const std::string File = Folder + "/" + Name + ".toml";
    const std::string Log = Folder + "/" + Name + ".log";
    std::ofstream(File) << Settings;
    Id = ::fork();
    if (Id != 0)
      return;
    // The forwarder ends with the case, also if that is ended from outside.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Output = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Output, 1);
    ::dup2(Output, 2);
    ::setenv("BRIARPOINT_CONFIG", File.c_str(), 1);
    ::execl(Program.c_str(), Program.c_str(), static_cast<char *>(nullptr));
    ::_exit(127);
  }
  void signal(int Signal) const { ::kill(Id, Signal); }
  bool running() {
    if (Id <= 0 || ::waitpid(Id, nullptr, WNOHANG) == 0)
      return Id > 0;
    Id = 0;
    return false;
  }

private:
  std::string Program;
  std::string Folder;
  std::string Name;
  std::string Settings;
  pid_t Id = 0;
};

/// Status of GET /-/ready; 0 without an answer within the time limit.
inline int readiness(const address &Server, int LimitMs) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval Limit{LimitMs / 1000, LimitMs % 1000 * 1000};
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  ::setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
  const sockaddr_in Address = toSockaddr(Server);
  int Status = 0;
  const std::string Request = "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  char Buffer[512] = {};
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address)) == 0 &&
      ::send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL) > 0 &&
      ::recv(Socket, Buffer, sizeof(Buffer) - 1, 0) > 12)
    Status = std::atoi(Buffer + 9);
  ::close(Socket);
  return Status;
}

// ---------------------------------------------------------------------------------------------------------------
// Callers

inline std::uint64_t mix(std::uint64_t A, std::uint64_t B) {
  std::uint64_t Value = A * 0x9e3779b97f4a7c15ULL + B;
  Value = (Value ^ Value >> 30) * 0xbf58476d1ce4e5b9ULL;
  Value = (Value ^ Value >> 27) * 0x94d049bb133111ebULL;
  return Value ^ Value >> 31;
}

/// One flow of a caller: opens it, then sends requests when asked to.
class caller_flow {
public:
  enum class state { Opening, Open, Waiting, Ended };
  struct result {
    /// A reset that neither the flow's host nor the caller sent.
    bool ForeignReset = false;
    double ResetAt = 0;
    double LastSentAt = 0;
    std::string ResetBy;
  };

  caller_flow(loop &Loop, record &Record, int Socket, const address &Caller, const address &Service,
              std::function<address(const address &)> Route)
      : Loop(Loop), Record(Record), Socket(Socket), Caller(Caller), Service(Service), Route(std::move(Route)) {
    Next = Random();
    Last = {Syn, Next, 0, 0, Caller, Service, "", true};
    ++Next;
    transmit(0);
  }
  state status() const { return State; }
  const address &caller() const { return Caller; }
  const result &outcome() const { return Result; }
  int answered() const { return Answered; }
  /// The host's sequence number on which the flow opened.
  std::uint32_t hostSequence() const { return HostInitial; }

  void request(const std::string &Text) {
    if (State != state::Open)
      return;
    State = state::Waiting;
    Record.line("caller %s sends %s", text(Caller).c_str(), Text.c_str());
    Last = {Ack, Next, Expected, Echo, Caller, Service, Text, true};
    transmit(0);
  }

  /// Ends the flow.
  void finish() {
    if (State == state::Open || State == state::Waiting)
      sendPacket({Fin | Ack, Next, Expected, Echo, Caller, Service, "", true});
    State = state::Ended;
    ++Round;
  }
  const address &service() const { return Service; }

  void receive(const packet &P, const std::function<bool(const caller_flow &)> &HostLives) {
    if (State == state::Ended)
      return;
    if ((P.Flags & Rst) != 0) {
      // The flow's host is alive and sent no reset, so it is a host's that doesn't hold the flow, or a forwarder's.
      Record.line("caller %s gets a reset from %s on a flow that is %s", text(Caller).c_str(),
                  P.Genuine ? "a host" : "a forwarder", State == state::Opening ? "not open" : "open");
      if (State != state::Opening && HostLives(*this))
        Result = {true, now(), SentAt, P.Genuine ? "another host" : "a forwarder"};
      State = state::Ended;
      return;
    }
    if (!P.Genuine)
      return;
    if ((P.Flags & Syn) != 0) {
      if (State != state::Opening)
        return;
      Echo = P.Echo;
      HostInitial = P.Seq;
      Expected = P.Seq + 1;
      State = state::Open;
      ++Round;
      sendPacket({Ack, Next, Expected, Echo, Caller, Service, "", true});
      return;
    }
    Echo = P.Echo;
    if (State != state::Waiting || P.Data.empty() || P.Seq != Expected)
      return;
    Expected += static_cast<std::uint32_t>(P.Data.size());
    Next += static_cast<std::uint32_t>(Last.Data.size());
    State = state::Open;
    ++Round;
    ++Answered;
    Record.line("caller %s gets %s", text(Caller).c_str(), P.Data.c_str());
    sendPacket({Ack, Next, Expected, Echo, Caller, Service, "", true});
  }

private:
  void sendPacket(const packet &P) { sendDatagram(Socket, Route(Caller), encode(P)); }
  void transmit(int Copies) {
    if (Copies > 4)
      return;
    if (State == state::Opening)
      Last.Acked = static_cast<std::uint32_t>(Copies);
    Last.Echo = State == state::Opening ? 0 : Echo;
    if (Copies == 0)
      SentAt = now();
    sendPacket(Last);
    Loop.after(0.2 * (1 << std::min(Copies, 3)), [this, Copies, Expected = ++Round] {
      if (Round == Expected && (State == state::Opening || State == state::Waiting))
        transmit(Copies + 1);
    });
  }

  loop &Loop;
  record &Record;
  int Socket;
  address Caller;
  address Service;
  std::function<address(const address &)> Route;
  state State = state::Opening;
  std::mt19937 Random{std::random_device{}()};
  packet Last;
  std::uint32_t Next = 0;
  std::uint32_t Expected = 0;
  std::uint32_t HostInitial = 0;
  std::uint32_t Echo = 0;
  std::uint64_t Round = 0;
  double SentAt = 0;
  int Answered = 0;
  result Result;
};

} // namespace lab

#endif // REVIEW_LAB_2_LAB_HPP
