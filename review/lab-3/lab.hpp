// Stand-ins for a small deployment on loopback addresses: the platform's store and routers, hosts
// and clients, and the project's forwarders as separate processes. One thread, one event loop.
#ifndef REVIEW_LAB_3_H
#define REVIEW_LAB_3_H

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
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lab {

using std::string;
using json = nlohmann::json;

// --- Time, log, random numbers ---------------------------------------------------------------

inline double steadySeconds() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
inline double Start = steadySeconds();
/// Seconds since the start of the program.
inline double now() { return steadySeconds() - Start; }

inline FILE *Record = nullptr;
inline void record(const char *Format, ...) {
  va_list Arguments;
  va_start(Arguments, Format);
  std::fprintf(Record, "%8.3f ", now());
  std::vfprintf(Record, Format, Arguments);
  std::fputc('\n', Record);
  va_end(Arguments);
}

inline std::mt19937_64 Random{std::random_device{}()};
inline double uniform(double From, double To) {
  return std::uniform_real_distribution<double>(From, To)(Random);
}

[[noreturn]] inline void unableToRun(const string &Reason);

// --- Event loop --------------------------------------------------------------------------------

inline std::map<int, std::pair<short, std::function<void()>>> Descriptors;
inline std::multimap<double, std::function<void()>> Timers;
inline bool Stopped = false;

inline void watch(int Descriptor, short Events, std::function<void()> Handler) {
  Descriptors[Descriptor] = {Events, std::move(Handler)};
}
inline void unwatch(int Descriptor) { Descriptors.erase(Descriptor); }
inline void at(double Time, std::function<void()> Action) {
  Timers.emplace(Time, std::move(Action));
}
inline void after(double Delay, std::function<void()> Action) {
  at(now() + Delay, std::move(Action));
}

inline void runUntil(double End) {
  while (now() < End) {
    if (Stopped)
      unableToRun("stopped");
    while (!Timers.empty() && Timers.begin()->first <= now()) {
      const auto Action = std::move(Timers.begin()->second);
      Timers.erase(Timers.begin());
      Action();
    }
    const double Next = Timers.empty() ? End : std::min(End, Timers.begin()->first);
    std::vector<pollfd> Polled;
    for (const auto &[Descriptor, Entry] : Descriptors)
      Polled.push_back({Descriptor, Entry.first, 0});
    const int Wait = std::max(0, static_cast<int>((Next - now()) * 1000));
    if (poll(Polled.data(), Polled.size(), std::min(Wait, 5)) <= 0)
      continue;
    for (const pollfd &Entry : Polled)
      if (Entry.revents != 0)
        if (const auto Found = Descriptors.find(Entry.fd); Found != Descriptors.end()) {
          const auto Handler = Found->second.second;
          Handler();
        }
  }
}

// --- Addresses and packets ---------------------------------------------------------------------

struct address {
  std::uint32_t Ip = 0;
  std::uint16_t Port = 0;
  auto operator<=>(const address &) const = default;
};
inline std::uint32_t ip(int C, int D) {
  return 0x7f000000U | 77U << 16U | unsigned(C) << 8U | unsigned(D);
}
inline string text(std::uint32_t Ip) {
  const in_addr Address{htonl(Ip)};
  char Buffer[INET_ADDRSTRLEN];
  return inet_ntop(AF_INET, &Address, Buffer, sizeof(Buffer));
}
inline string text(const address &A) { return text(A.Ip) + ":" + std::to_string(A.Port); }
inline sockaddr_in toSocket(const address &A) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_addr.s_addr = htonl(A.Ip);
  Result.sin_port = htons(A.Port);
  return Result;
}
inline int openSocket(int Type, const address &Local) {
  const int Socket = socket(AF_INET, Type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int On = 1;
  if (Type == SOCK_STREAM)
    setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Name = toSocket(Local);
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&Name), sizeof(Name)) != 0) {
    close(Socket);
    return -1;
  }
  return Socket;
}

enum flag : unsigned { Rst = 1, Fin = 2, Syn = 8, Ack = 16 };

struct packet {
  unsigned Flags = 0;
  std::uint32_t Sum = 0, Seq = 0, AckNo = 0, Echo = 0;
  address From, To;
  string Data;

  /// The keyed sum over all fields except echo, pad and BOUNCED.
  std::uint32_t computeSum() const {
    std::uint64_t Hash = 0x9ae16a3b2f90404fU;
    const auto Add = [&](std::uint64_t Value) {
      Hash = (Hash ^ Value) * 0x100000001b3U;
      Hash ^= Hash >> 29U;
    };
    for (const std::uint64_t Value :
         {std::uint64_t(Flags), std::uint64_t(Seq), std::uint64_t(AckNo), std::uint64_t(From.Ip),
          std::uint64_t(From.Port), std::uint64_t(To.Ip), std::uint64_t(To.Port)})
      Add(Value);
    for (const char C : Data)
      Add(static_cast<unsigned char>(C));
    const auto Result = static_cast<std::uint32_t>(Hash ^ Hash >> 32U);
    return Result == 0 ? 1 : Result;
  }
};

inline void put(string &Out, std::uint64_t Value, int Bytes) {
  for (int I = Bytes - 1; I >= 0; --I)
    Out += static_cast<char>(Value >> (8 * I));
}
inline std::uint64_t get(const string &In, std::size_t Offset, int Bytes) {
  std::uint64_t Value = 0;
  for (int I = 0; I < Bytes; ++I)
    Value = Value << 8U | static_cast<unsigned char>(In[Offset + I]);
  return Value;
}
/// Encodes a packet of a client or host, with its sum.
inline string encode(const packet &P) {
  string Out;
  put(Out, P.Flags, 1);
  put(Out, P.Data.size(), 2);
  put(Out, P.computeSum(), 4);
  put(Out, P.Seq, 4);
  put(Out, P.AckNo, 4);
  put(Out, P.Echo, 4);
  put(Out, P.From.Ip, 4);
  put(Out, P.To.Ip, 4);
  put(Out, P.To.Port, 2);
  put(Out, P.From.Port, 2);
  return Out + P.Data;
}
inline std::optional<packet> decode(const string &In) {
  if (In.size() < 31 || In.size() != 31 + get(In, 1, 2))
    return std::nullopt;
  packet P;
  P.Flags = static_cast<unsigned>(get(In, 0, 1));
  P.Sum = static_cast<std::uint32_t>(get(In, 3, 4));
  P.Seq = static_cast<std::uint32_t>(get(In, 7, 4));
  P.AckNo = static_cast<std::uint32_t>(get(In, 11, 4));
  P.Echo = static_cast<std::uint32_t>(get(In, 15, 4));
  P.From = {static_cast<std::uint32_t>(get(In, 19, 4)), static_cast<std::uint16_t>(get(In, 29, 2))};
  P.To = {static_cast<std::uint32_t>(get(In, 23, 4)), static_cast<std::uint16_t>(get(In, 27, 2))};
  P.Data = In.substr(31);
  return P;
}
inline void sendTo(int Socket, const address &To, const string &Bytes) {
  const sockaddr_in Name = toSocket(To);
  (void)sendto(Socket, Bytes.data(), Bytes.size(), MSG_DONTWAIT,
               reinterpret_cast<const sockaddr *>(&Name), sizeof(Name));
}
/// Reads one datagram. Returns false if there is none.
inline bool receiveFrom(int Socket, string &Bytes, address &From) {
  char Buffer[2048];
  sockaddr_in Name{};
  socklen_t Size = sizeof(Name);
  const ssize_t Count = recvfrom(Socket, Buffer, sizeof(Buffer), MSG_DONTWAIT,
                                 reinterpret_cast<sockaddr *>(&Name), &Size);
  if (Count < 0)
    return false;
  Bytes.assign(Buffer, static_cast<std::size_t>(Count));
  From = {ntohl(Name.sin_addr.s_addr), ntohs(Name.sin_port)};
  return true;
}

/// Time budget of a request in seconds.
constexpr double TimeBudget = 3.0;
/// Delay after which an end acknowledges a single packet.
constexpr double AckDelay = 0.04;

/// The two ends of a flow.
using flow_key = std::pair<address, address>;

// --- The platform's store ------------------------------------------------------------------------

class store {
public:
  static constexpr double AnswerTime = 0.004;
  /// Bounds of an answer: objects, and bytes of objects. It has one object at least.
  static constexpr std::size_t MaxObjects = 500;
  static constexpr std::size_t MaxBytes = 1'000'000;

  /// Watches are answered with all changes at once; the pages bound the answers to lists only.
  bool UnboundedWatches = false;
  /// Time for which changes are kept.
  double HistoryTime = 20;

  explicit store(const address &Local) {
    Socket = openSocket(SOCK_STREAM, Local);
    if (Socket < 0 || listen(Socket, 64) != 0)
      unableToRun("the store's port isn't free");
    lab::watch(Socket, POLLIN, [this] { accept(); });
  }

  void write(const string &Kind, const string &Name, json Spec) {
    object &Object = Objects[Kind][Name];
    if (Object.Revision != 0 && Object.Spec == Spec)
      return;
    Object.Revision = ++Revision;
    if (Object.Created == 0)
      Object.Created = Revision;
    Object.Spec = std::move(Spec);
    Object.Packed = pack(Name, Object);
    History.push_back({now(), Revision, Kind, Name, Object.Packed, false});
    record("store revision=%llu kind=%s name=%s", (unsigned long long)Revision, Kind.c_str(),
           Name.c_str());
    notify();
  }
  void remove(const string &Kind, const string &Name) {
    const auto Found = Objects[Kind].find(Name);
    if (Found == Objects[Kind].end())
      return;
    Found->second.Revision = ++Revision;
    History.push_back({now(), Revision, Kind, Name, pack(Name, Found->second), true});
    Objects[Kind].erase(Found);
    record("store revision=%llu kind=%s name=%s removed", (unsigned long long)Revision,
           Kind.c_str(), Name.c_str());
    notify();
  }

private:
  struct object {
    std::uint64_t Revision = 0, Created = 0;
    json Spec;
    string Packed;
  };
  struct event {
    double At = now();
    std::uint64_t Revision = 0;
    string Kind, Name, Packed;
    bool Deleted = false;
  };
  struct connection {
    string Input, Output;
    bool Waiting = false;
    string Kind;
    std::uint64_t From = 0;
    std::uint64_t Number = 0;
  };

  static string pack(const json &Value) {
    const std::vector<std::uint8_t> Bytes = json::to_msgpack(Value);
    return {Bytes.begin(), Bytes.end()};
  }
  /// Returns the object in MessagePack, as the deploy file's wire.toml asks for.
  static string pack(const string &Name, const object &Object) {
    return pack({{"meta",
                  {{"name", Name},
                   {"revision", Object.Revision},
                   {"created", Object.Created},
                   {"finalizers", json::array()},
                   {"deleting", false}}},
                 {"spec", Object.Spec},
                 {"status", nullptr}});
  }
  /// Returns a body: a map of an array of packed entries and further fields.
  static string body(const string &Name, const std::vector<string> &Entries, const json &Fields) {
    string Out(1, static_cast<char>(0x80 + 1 + Fields.size()));
    Out += pack(Name);
    Out += '\xdd';
    put(Out, Entries.size(), 4);
    for (const string &Entry : Entries)
      Out += Entry;
    for (const auto &[Key, Value] : Fields.items())
      Out += pack(Key) + pack(Value);
    return Out;
  }
  void accept() {
    const int Client = ::accept4(Socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Client < 0)
      return;
    const int On = 1;
    setsockopt(Client, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    Connections[Client] = {};
    lab::watch(Client, POLLIN, [this, Client] { read(Client); });
  }
  void drop(int Client) {
    unwatch(Client);
    Connections.erase(Client);
    close(Client);
  }
  void read(int Client) {
    char Buffer[8192];
    const ssize_t Count = ::read(Client, Buffer, sizeof(Buffer));
    if (Count == 0 || (Count < 0 && errno != EAGAIN)) {
      drop(Client);
      return;
    }
    if (Count < 0)
      return;
    connection &Connection = Connections[Client];
    Connection.Input.append(Buffer, static_cast<std::size_t>(Count));
    const std::size_t End = Connection.Input.find("\r\n\r\n");
    if (End == string::npos)
      return;
    const string Line = Connection.Input.substr(0, Connection.Input.find("\r\n"));
    Connection.Input.erase(0, End + 4);
    const std::size_t Begin = Line.find(' ') + 1;
    handle(Client, Line.substr(Begin, Line.rfind(' ') - Begin));
  }
  void handle(int Client, const string &Target) {
    const string Prefix = "/-/objects/";
    const std::size_t Question = Target.find('?');
    const string Path = Target.substr(0, Question);
    std::map<string, string> Query;
    for (std::size_t I = Question; I != string::npos;) {
      const std::size_t Next = Target.find('&', I + 1);
      const string Part = Target.substr(I + 1, Next == string::npos ? Next : Next - I - 1);
      Query[Part.substr(0, Part.find('='))] = Part.substr(Part.find('=') + 1);
      I = Next;
    }
    if (!Path.starts_with(Prefix)) {
      reply(Client, "404 Not Found", pack(json::object()));
      return;
    }
    const string Kind = Path.substr(Prefix.size());
    connection &Connection = Connections[Client];
    if (!Query.contains("watch")) {
      std::vector<string> Items;
      std::size_t Size = 0;
      const string After = Query.contains("after") ? Query["after"] : "";
      bool More = false;
      for (const auto &[Name, Object] : Objects[Kind]) {
        if (Name <= After)
          continue;
        if (Items.size() == MaxObjects ||
            (!Items.empty() && Size + Object.Packed.size() > MaxBytes)) {
          More = true;
          break;
        }
        Size += Object.Packed.size();
        Items.push_back(Object.Packed);
      }
      reply(Client, "200 OK",
            body("items", Items, {{"has_more", More}, {"current_rev", Revision}}));
      return;
    }
    Connection.Kind = Kind;
    Connection.From = std::stoull(Query["watch"]);
    while (!History.empty() && History.front().At + HistoryTime < now()) {
      HistoryBegin = History.front().Revision;
      History.pop_front();
    }
    if (Connection.From < HistoryBegin) {
      reply(Client, "410 Gone", pack(json::object()));
      return;
    }
    if (answerWatch(Client, false))
      return;
    Connection.Waiting = true;
    const std::uint64_t Number = Connection.Number = ++WatchNumber;
    after(std::stod(Query["wait_ms"]) / 1000, [this, Client, Number] {
      const auto Found = Connections.find(Client);
      if (Found != Connections.end() && Found->second.Waiting && Found->second.Number == Number)
        answerWatch(Client, true);
    });
  }
  /// Answers a watch if there are changes, or in any case if \p Due.
  bool answerWatch(int Client, bool Due) {
    connection &Connection = Connections[Client];
    std::vector<string> Events;
    std::size_t Size = 0;
    std::uint64_t Last = Revision;
    for (const event &Event : History) {
      if (Event.Revision <= Connection.From || Event.Kind != Connection.Kind)
        continue;
      if (!UnboundedWatches && !Events.empty() && Size + Event.Packed.size() > MaxBytes) {
        // The next watch continues before this event.
        Last = Event.Revision - 1;
        break;
      }
      Size += Event.Packed.size();
      Events.push_back('\x82' + pack("object") + Event.Packed + pack("deleted") +
                       pack(Event.Deleted));
    }
    if (Events.empty() && !Due)
      return false;
    Connection.Waiting = false;
    reply(Client, "200 OK", body("events", Events, {{"current_rev", Last}}));
    return true;
  }
  void notify() {
    std::vector<int> Waiting;
    for (const auto &[Client, Connection] : Connections)
      if (Connection.Waiting)
        Waiting.push_back(Client);
    for (const int Client : Waiting)
      answerWatch(Client, false);
  }
  void reply(int Client, const string &Status, const string &Body) {
    string Text = "HTTP/1.1 " + Status +
                  "\r\nContent-Type: application/msgpack\r\nStore-Era: 1\r\nContent-Length: " +
                  std::to_string(Body.size()) + "\r\n\r\n" + Body;
    const std::uint64_t Number = Connections[Client].Number;
    after(AnswerTime, [this, Client, Number, Text = std::move(Text)] {
      const auto Found = Connections.find(Client);
      if (Found == Connections.end() || Found->second.Number != Number)
        return;
      Found->second.Output += Text;
      flush(Client);
    });
  }
  void flush(int Client) {
    string &Output = Connections[Client].Output;
    const ssize_t Count = ::send(Client, Output.data(), Output.size(), MSG_NOSIGNAL);
    if (Count < 0 && errno != EAGAIN) {
      drop(Client);
      return;
    }
    Output.erase(0, static_cast<std::size_t>(std::max<ssize_t>(Count, 0)));
    const short Events = Output.empty() ? POLLIN : POLLIN | POLLOUT;
    lab::watch(Client, Events, [this, Client] {
      if (!Connections[Client].Output.empty())
        flush(Client);
      if (Connections.contains(Client))
        read(Client);
    });
  }

  int Socket = -1;
  std::uint64_t Revision = 0;
  std::uint64_t WatchNumber = 0;
  /// Revision of the last change that is no longer kept.
  std::uint64_t HistoryBegin = 0;
  std::map<string, std::map<string, object>> Objects;
  std::deque<event> History;
  std::map<int, connection> Connections;
};

/// The platform's configuration: one route.
inline void configure(store &Store, const address &Service, const string &ServiceName) {
  const json Route = {{"name", "r-x73d3zj"},
                      {"hostname", text(Service.Ip)},
                      {"path_prefix", "/" + std::to_string(Service.Port) + "/"},
                      {"type", "unsafe"},
                      {"timeout_ms", 3000},
                      {"latency_slo_ms", 600},
                      {"priority", 1},
                      {"service", ServiceName},
                      {"max_attempts", 2}};
  const json ServiceEntry = {
      {"name", ServiceName}, {"health_path", "/health"}, {"max_conns", 3200},  {"protocol", "h1"},
      {"tls", false},        {"warmup_s", 2.0},          {"warmup_per_s", 0.0}};
  const json Limits = {{"max_header_bytes", 16384},
                       {"max_body_bytes", 262144},
                       {"header_timeout_ms", 3000},
                       {"idle_timeout_ms", 15000}};
  Store.write("config", "main",
              {{"version", 7},
               {"routes", json::array({Route})},
               {"services", json::array({ServiceEntry})},
               {"limits", Limits}});
}

// --- Forwarders: the project's program, one process for each machine
// ------------------------------

struct deployment {
  /// First of the ports that are used on all addresses.
  std::uint16_t Port = 0;
  string Folder;
  /// Words of the command of the deploy file.
  string Program = "target/bin/briarpoint-forwarder";
  /// `contact_ms`, the time after which a machine or host counts as undisturbed again.
  int ContactMs = 5000;
  /// `drain_ms` and `config_apply_ms`.
  int ChangeMs = 5000;
  /// Whether the settings have `evacuate_ms`, `warmup_excess` and `warmup_slack`.
  bool Evacuations = false;
  /// Memory of a machine; 0 if it isn't limited.
  int MemoryMb = 0;
};
inline deployment Deployment;

class machine {
public:
  machine(int Number, string Zone, string Region, const address &Store,
          const std::vector<int> &Seeds)
      : Number(Number), Name("front-" + std::to_string(Number)), Ip(ip(1, Number)) {
    SettingsFile = Deployment.Folder + "/" + Name + ".toml";
    const auto At = [&](int Offset) { return text({Ip, std::uint16_t(Deployment.Port + Offset)}); };
    std::ofstream File(SettingsFile);
    File << "name = \"" << Name << "\"\ndata_centre = \"" << Zone << "\"\nregion = \"" << Region
         << "\"\nstore = \"" << text(Store) << "\"\nseeds = [";
    for (std::size_t I = 0; I < Seeds.size(); ++I)
      File << (I == 0 ? "" : ",") << "\""
           << text({ip(1, Seeds[I]), std::uint16_t(Deployment.Port + 4)}) << "\"";
    const auto Ms = [](int Value) { return "\"" + std::to_string(Value) + "ms\"\n"; };
    File << "]\nshutdown_time = \"6s\"\nflow_lifetime = \"60s\"\n"
         << "drain_time = " << Ms(Deployment.ChangeMs)
         << "configuration_time = " << Ms(Deployment.ChangeMs);
    if (Deployment.Evacuations)
      File << "evacuation_time = " << Ms(5000);
    File << "contact_time = " << Ms(Deployment.ContactMs) << "history_time = \"20s\"\n\n[listen]\n"
         << "packets = \"" << At(0) << "\"\nreadiness = \"" << At(1) << "\"\noperator = \"" << At(2)
         << "\"\npeers = \"" << At(3) << "\"\n\n[warm_up]\n";
    if (Deployment.Evacuations)
      File << "rate_factor = 1.5\nburst = 5\n";
  }
  ~machine() { end(); }

  void start() {
    Pid = fork();
    if (Pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const string Log = Deployment.Folder + "/" + Name + ".log";
      const int Output = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Output, 1);
      dup2(Output, 2);
      setenv("BRIARPOINT_CONFIG", SettingsFile.c_str(), 1);
      execl(Deployment.Program.c_str(), Deployment.Program.c_str(), nullptr);
      _exit(127);
    }
    StartedAt = now();
    record("machine=%s started pid=%d", Name.c_str(), int(Pid));
  }
  void sendSignal(int Signal) {
    if (Pid <= 0)
      return;
    record("machine=%s signal=%d", Name.c_str(), Signal);
    kill(Pid, Signal);
    DisturbedAt = now();
  }
  /// Call it at an interval: kills a process that exceeds the machine's memory, and starts one
  /// again that has ended.
  void supervise() {
    int Status = 0;
    if (const long PeakKb = Deployment.MemoryMb > 0 ? peakKb() : 0;
        PeakKb > Deployment.MemoryMb * 1024L) {
      record("machine=%s exceeds its memory of %d MB: %ld kB", Name.c_str(), Deployment.MemoryMb,
             PeakKb);
      ++MemoryEnds;
      kill(Pid, SIGKILL);
      waitpid(Pid, nullptr, 0);
      Pid = -1;
      after(0.3, [this] { start(); });
      return;
    }
    if (Pid <= 0 || waitpid(Pid, &Status, WNOHANG) != Pid)
      return;
    Pid = -1;
    record("machine=%s process ended, status=%d", Name.c_str(), Status);
    after(0.3, [this] { start(); });
  }
  void end() {
    if (Pid <= 0)
      return;
    kill(Pid, SIGKILL);
    kill(Pid, SIGCONT);
    waitpid(Pid, nullptr, 0);
    Pid = -1;
  }
  /// For the whole contact time its process ran undisturbed.
  bool inTouch(double Since) const {
    return std::max(StartedAt, DisturbedAt) + Deployment.ContactMs / 1000.0 < Since;
  }

  /// Returns the largest resident size of the process so far.
  long peakKb() const {
    std::ifstream Status("/proc/" + std::to_string(Pid) + "/status");
    string Line;
    while (Pid > 0 && std::getline(Status, Line))
      if (Line.starts_with("VmHWM:"))
        return std::atol(Line.c_str() + 6);
    return 0;
  }

  int Number;
  string Name;
  std::uint32_t Ip;
  string SettingsFile;
  pid_t Pid = -1;
  /// Times that the process was killed because it exceeded the machine's memory.
  int MemoryEnds = 0;
  double StartedAt = -100, DisturbedAt = -100;
  // The routers' view.
  bool Ready = false;
  int Misses = 0;
};

// --- Routers
// ----------------------------------------------------------------------------------------

/// Sends packets to the machines in rotation, by a hash under which only the flows of a machine
/// move that leaves (`steady`).
class router {
public:
  explicit router(std::vector<std::unique_ptr<machine>> &Machines) : Machines(Machines) {
    probeAll();
  }

  machine *choose(const flow_key &Flow) const {
    const auto InRotation =
        std::count_if(Machines.begin(), Machines.end(), [](const auto &M) { return M->Ready; });
    const bool All = InRotation * 2 < static_cast<long>(Machines.size());
    machine *Best = nullptr;
    std::uint64_t BestWeight = 0;
    for (const auto &Machine : Machines) {
      if (!All && !Machine->Ready)
        continue;
      std::uint64_t Hash = Machine->Ip * 0x9e3779b97f4a7c15U;
      for (const std::uint64_t Value :
           {std::uint64_t(Flow.first.Ip), std::uint64_t(Flow.first.Port),
            std::uint64_t(Flow.second.Ip), std::uint64_t(Flow.second.Port)}) {
        Hash = (Hash ^ Value) * 0xff51afd7ed558ccdU;
        Hash ^= Hash >> 32U;
      }
      if (Best == nullptr || Hash > BestWeight) {
        Best = Machine.get();
        BestWeight = Hash;
      }
    }
    return Best;
  }

private:
  void probeAll() {
    for (const auto &Machine : Machines)
      probe(*Machine);
    after(0.5, [this] { probeAll(); });
  }
  void probe(machine &Machine) {
    const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in Name = toSocket({Machine.Ip, std::uint16_t(Deployment.Port + 1)});
    (void)connect(Socket, reinterpret_cast<const sockaddr *>(&Name), sizeof(Name));
    auto Done = std::make_shared<bool>(false);
    const auto Finish = [this, &Machine, Socket, Done](bool Success) {
      if (std::exchange(*Done, true))
        return;
      unwatch(Socket);
      close(Socket);
      const bool WasReady = Machine.Ready;
      Machine.Misses = Success ? 0 : Machine.Misses + 1;
      if (Success)
        Machine.Ready = true;
      else if (Machine.Misses >= 2)
        Machine.Ready = false;
      if (WasReady != Machine.Ready)
        record("router machine=%s %s", Machine.Name.c_str(),
               Machine.Ready ? "in rotation" : "out of rotation");
    };
    after(0.45, [Finish] { Finish(false); });
    lab::watch(Socket, POLLOUT, [Socket, Finish, &Machine] {
      int Error = 0;
      socklen_t Size = sizeof(Error);
      getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size);
      const string Request =
          "GET /-/ready HTTP/1.1\r\nHost: " + text(Machine.Ip) + "\r\nConnection: close\r\n\r\n";
      if (Error != 0 || ::write(Socket, Request.data(), Request.size()) < 0) {
        Finish(false);
        return;
      }
      lab::watch(Socket, POLLIN, [Socket, Finish] {
        char Buffer[512];
        const ssize_t Count = ::read(Socket, Buffer, sizeof(Buffer));
        Finish(Count > 12 && string(Buffer, 12) == "HTTP/1.1 200");
      });
    });
  }

  std::vector<std::unique_ptr<machine>> &Machines;
};

// --- Retransmission
// ---------------------------------------------------------------------------------

/// Repeats a packet after 200 ms, and doubles the interval up to 1.6 s.
class repeater {
public:
  void start(std::function<void()> Send, int Limit) {
    stop();
    auto Active = std::make_shared<bool>(true);
    Current = Active;
    schedule(std::move(Send), Active, 0.2, Limit);
  }
  void stop() {
    if (Current)
      *Current = false;
    Current.reset();
  }
  ~repeater() { stop(); }

private:
  static void schedule(std::function<void()> Send, std::shared_ptr<bool> Active, double Delay,
                       int Left) {
    if (Left == 0)
      return;
    after(Delay, [=] {
      if (!*Active)
        return;
      Send();
      schedule(Send, Active, std::min(Delay * 2, 1.6), Left - 1);
    });
  }
  std::shared_ptr<bool> Current;
};

// --- Hosts
// --------------------------------------------------------------------------------------------

class host {
public:
  /// Requests that wait for a slot; further ones are rejected.
  static constexpr std::size_t QueueSize = 8;

  struct flow {
    std::uint32_t ClientStart = 0, Expected = 0, Isn = 0, Next = 0, Acked = 0, Echo = 0;
    bool Open = false;
    int Unacknowledged = 0;
    string Response;
    repeater Repeat;
  };

  host(int Number, string Service, string Zone, int Slots, std::function<double()> Work)
      : Id("i-" + hex(0x7f3a91c200ULL + Number * 7919ULL)),
        Identity(0x7f3a91c200ULL + Number * 7919ULL), Service(std::move(Service)),
        Zone(std::move(Zone)), Slots(Slots),
        Work(std::move(Work)), Address{ip(2, Number), std::uint16_t(Deployment.Port + 5)} {
    Socket = openSocket(SOCK_DGRAM, Address);
    if (Socket < 0)
      unableToRun("a host's port isn't free");
    lab::watch(Socket, POLLIN, [this] { receive(); });
  }

  json entry(const string &State) const {
    return {{"service", Service},
            {"address", text(Address)},
            {"zone", Zone},
            {"version", "v1"},
            {"max_concurrency", Slots},
            {"state", State},
            {"warmup_left_ms", 0},
            {"sequence", 1},
            {"born", Born}};
  }

  bool holds(const flow_key &Key) const {
    const auto Found = Flows.find(Key);
    return Found != Flows.end() && Found->second.Open;
  }
  /// Cuts the host off from all machines, or heals the cut.
  void setCut(bool IsCut) {
    record("host=%s %s", Id.c_str(), IsCut ? "is cut off from all machines" : "is reachable again");
    Cut = IsCut;
    ImpairedAt = now();
  }
  /// There was no impairment on it or its links in the contact time.
  bool unimpaired(double Since) const {
    return !Cut && ImpairedAt + Deployment.ContactMs / 1000.0 < Since;
  }

  string Id;
  std::uint64_t Identity;
  string Service, Zone;
  int Slots;
  std::function<double()> Work;
  address Address;
  std::uint64_t Born = 1765132800000ULL;
  std::map<string, int> Runs;
  double ImpairedAt = -100;

private:
  static string hex(std::uint64_t Value) {
    char Buffer[32];
    std::snprintf(Buffer, sizeof(Buffer), "%llx", (unsigned long long)Value);
    return Buffer;
  }
  void receive() {
    string Bytes;
    address From;
    while (receiveFrom(Socket, Bytes, From)) {
      if (Cut || Bytes.size() < 8 + 31)
        continue;
      const std::uint64_t Intended = get(Bytes, 0, 8);
      if (Intended != 0 && Intended != Identity)
        continue;
      if (const std::optional<packet> Packet = decode(Bytes.substr(8)))
        handle(*Packet);
    }
  }
  void answer(const packet &To, unsigned Flags, std::uint32_t Seq, std::uint32_t AckNo,
              std::uint32_t Echo, const string &Data = "") {
    packet P{Flags, 0, Seq, AckNo, Echo, To.To, To.From, Data};
    sendTo(Socket, {To.From.Ip, Deployment.Port}, encode(P));
  }
  void handle(const packet &P) {
    if (P.Sum != P.computeSum()) {
      record("host=%s VIOLATION a packet was changed", Id.c_str());
      return;
    }
    const flow_key Key{P.From, P.To};
    if ((P.Flags & Syn) != 0) {
      flow &Flow = Flows[Key];
      if (Flow.Isn == 0 || Flow.ClientStart != P.Seq) {
        Flow.Open = false;
        Flow.ClientStart = P.Seq;
        Flow.Expected = P.Seq + 1;
        Flow.Isn = static_cast<std::uint32_t>(Random()) | 1U;
        Flow.Next = Flow.Acked = Flow.Isn + 1;
      }
      Flow.Echo = P.Echo;
      answer(P, Syn | Ack, Flow.Isn, Flow.Expected, Flow.Echo);
      return;
    }
    const auto Found = Flows.find(Key);
    if (Found == Flows.end()) {
      if ((P.Flags & Rst) == 0) {
        record("host=%s reset flow=%s: not held", Id.c_str(), text(P.From).c_str());
        answer(P, Rst, P.AckNo, P.Seq, P.Echo);
      }
      return;
    }
    flow &Flow = Found->second;
    if ((P.Flags & Rst) != 0) {
      Flows.erase(Found);
      return;
    }
    if (!Flow.Open) {
      if (P.AckNo != Flow.Isn + 1) {
        record("host=%s reset flow=%s: not held", Id.c_str(), text(P.From).c_str());
        answer(P, Rst, P.AckNo, P.Seq, P.Echo);
        Flows.erase(Found);
        return;
      }
      Flow.Open = true;
      record("host=%s opened flow=%s", Id.c_str(), text(P.From).c_str());
    }
    Flow.Echo = P.Echo;
    if (P.AckNo == Flow.Next) {
      Flow.Acked = P.AckNo;
      Flow.Repeat.stop();
    }
    if (P.Data.empty()) {
      if ((P.Flags & Fin) != 0) {
        answer(P, Fin | Ack, Flow.Next, P.Seq + 1, Flow.Echo);
        Flows.erase(Found);
      }
      return;
    }
    const bool New = P.Seq == Flow.Expected;
    if (New)
      Flow.Expected += static_cast<std::uint32_t>(P.Data.size());
    // Every second packet is acknowledged, and a single one after a delay.
    if (++Flow.Unacknowledged >= 2) {
      Flow.Unacknowledged = 0;
      answer(P, Ack, Flow.Next, Flow.Expected, Flow.Echo);
    } else {
      after(AckDelay, [this, Key, P] {
        const auto Again = Flows.find(Key);
        if (Again == Flows.end() || Again->second.Unacknowledged == 0)
          return;
        Again->second.Unacknowledged = 0;
        answer(P, Ack, Again->second.Next, Again->second.Expected, Again->second.Echo);
      });
    }
    if (!New)
      return;
    const waiting Request{Key, P, P.Data.substr(0, P.Data.find(' '))};
    if (Running >= Slots && Queue.size() >= QueueSize) {
      record("host=%s rejected request=%s", Id.c_str(), Request.RequestId.c_str());
      respond(Request, "not-executed ");
      return;
    }
    Queue.push_back(Request);
    runNext();
  }
  struct waiting {
    flow_key Key;
    packet Packet;
    string RequestId;
  };
  void runNext() {
    if (Running >= Slots || Queue.empty())
      return;
    ++Running;
    const waiting Next = Queue.front();
    Queue.pop_front();
    ++Runs[Next.RequestId];
    record("host=%s run request=%s", Id.c_str(), Next.RequestId.c_str());
    after(Work(), [this, Next] {
      --Running;
      respond(Next, "done ");
      runNext();
    });
  }
  void respond(const waiting &Done, const string &Outcome) {
    const auto Found = Flows.find(Done.Key);
    if (Found == Flows.end())
      return;
    flow &Flow = Found->second;
    Flow.Unacknowledged = 0;
    Flow.Response = Outcome + Done.RequestId;
    Flow.Response.resize(600, '.');
    const std::uint32_t Seq = Flow.Next;
    Flow.Next += static_cast<std::uint32_t>(Flow.Response.size());
    const auto Send = [this, Key = Done.Key, Packet = Done.Packet, Seq] {
      const auto Again = Flows.find(Key);
      if (Again != Flows.end())
        answer(Packet, Ack, Seq, Again->second.Expected, Again->second.Echo,
               Again->second.Response);
    };
    Send();
    Flow.Repeat.start(Send, 8);
  }

  int Socket = -1;
  bool Cut = false;
  int Running = 0;
  std::map<flow_key, flow> Flows;
  std::deque<waiting> Queue;
};

// --- Clients
// --------------------------------------------------------------------------------------------

class client;

/// A flow of a client, with at most one request at a time.
class client_flow {
public:
  enum class state { Opening, Open, Closed };
  client_flow(client &Owner, std::uint16_t Port) : Owner(Owner), Port(Port) {}

  void open();
  /// Sends a request of 900 bytes on the open flow.
  void send(const string &RequestId);
  void handle(const packet &P, const address &Sender);
  /// Ends the flow by a FIN.
  void close();
  bool idle() const { return State == state::Open && Pending.empty(); }
  flow_key key() const;

  client &Owner;
  std::uint16_t Port;
  state State = state::Opening;
  std::uint32_t Isn = 0, Next = 0, Expected = 0, Echo = 0;
  int Unacknowledged = 0;
  double FirstSentAt = 0, OpenedAt = 0, LastPacketAt = 0, SentAt = 0;
  /// Request that waits for its answer; empty if there is none.
  string Pending;
  machine *LastMachine = nullptr;
  std::function<void()> OnOpen, OnAnswer;
  /// Called when the flow has ended without a FIN of the client.
  std::function<void()> OnEnd;

private:
  void transmit(unsigned Flags, std::uint32_t Seq, std::uint32_t AckNo, const string &Data);
  void finish();
  repeater Repeat;
};

/// A client address with its flows.
class client {
public:
  client(int Number, const address &Service, router &Router,
         std::function<void(client_flow &, const packet &, const address &)> OnSystemReset)
      : Ip(ip(3, Number)), Service(Service), Router(Router),
        OnSystemReset(std::move(OnSystemReset)) {
    Socket = openSocket(SOCK_DGRAM, {Ip, Deployment.Port});
    if (Socket < 0)
      unableToRun("a client's port isn't free");
    lab::watch(Socket, POLLIN, [this] {
      string Bytes;
      address From;
      while (receiveFrom(Socket, Bytes, From))
        if (const std::optional<packet> Packet = decode(Bytes))
          if (const auto Found = Flows.find(Packet->To.Port); Found != Flows.end())
            Found->second->handle(*Packet, From);
    });
  }
  client_flow &openFlow(std::function<void()> OnOpen = {}) {
    const std::uint16_t Port = NextPort++;
    client_flow &Flow = *(Flows[Port] = std::make_unique<client_flow>(*this, Port));
    Flow.OnOpen = std::move(OnOpen);
    Flow.open();
    return Flow;
  }

  std::uint32_t Ip;
  address Service;
  router &Router;
  std::function<void(client_flow &, const packet &, const address &)> OnSystemReset;
  int Socket = -1;
  std::uint16_t NextPort = 10000;
  std::map<std::uint16_t, std::unique_ptr<client_flow>> Flows;
};

inline flow_key client_flow::key() const { return {{Owner.Ip, Port}, Owner.Service}; }

inline void client_flow::transmit(unsigned Flags, std::uint32_t Seq, std::uint32_t AckNo,
                                  const string &Data) {
  const flow_key Key = key();
  LastMachine = Owner.Router.choose(Key);
  LastPacketAt = now();
  const packet P{Flags, 0, Seq, AckNo, (Flags & Syn) != 0 ? 0 : Echo, Key.first, Key.second, Data};
  if (LastMachine != nullptr)
    sendTo(Owner.Socket, {LastMachine->Ip, Deployment.Port}, encode(P));
}

inline void client_flow::open() {
  Isn = static_cast<std::uint32_t>(Random());
  Next = Isn + 1;
  FirstSentAt = now();
  auto Copies = std::make_shared<std::uint32_t>(0);
  transmit(Syn, Isn, 0, "");
  for (const double Delay : {0.2, 0.6})
    after(Delay, [this, Copies] {
      if (State == state::Opening)
        transmit(Syn, Isn, ++*Copies, "");
    });
  after(1.4, [this] {
    if (State == state::Opening)
      finish();
  });
}

inline void client_flow::finish() {
  State = state::Closed;
  Repeat.stop();
  if (OnEnd)
    OnEnd();
}

inline void client_flow::close() {
  if (State != state::Open)
    return;
  transmit(Fin | Ack, Next, Expected, "");
  State = state::Closed;
  Repeat.stop();
}

inline void client_flow::send(const string &RequestId) {
  Pending = RequestId;
  SentAt = now();
  Unacknowledged = 0;
  string Data = RequestId + " POST /items";
  Data.resize(900, '.');
  const std::uint32_t Seq = Next;
  Next += static_cast<std::uint32_t>(Data.size());
  record("client flow=%s request=%s through=%s", text(address{Owner.Ip, Port}).c_str(),
         RequestId.c_str(), Owner.Router.choose(key())->Name.c_str());
  const auto Send = [this, Seq, Data] { transmit(Ack, Seq, Expected, Data); };
  Send();
  // A client gives up at its time budget.
  Repeat.start(Send, 4);
  after(TimeBudget, [this, RequestId] {
    if (State == state::Open && Pending == RequestId) {
      record("client flow=%s request=%s gave up", text(address{Owner.Ip, Port}).c_str(),
             RequestId.c_str());
      transmit(Rst, Next, Expected, "");
      finish();
    }
  });
}

inline void client_flow::handle(const packet &P, const address &Sender) {
  if (State == state::Closed || P.From != Owner.Service)
    return;
  if ((P.Flags & Rst) != 0) {
    const bool System = P.Sum == 0 && P.Data.empty();
    if (System && State == state::Open) {
      const std::uint32_t Distance = std::min(P.Seq - Expected, Expected - P.Seq);
      if (Distance > 76800)
        return;
      Owner.OnSystemReset(*this, P, Sender);
    }
    finish();
    return;
  }
  if (P.Sum != P.computeSum()) {
    record("client flow=%s VIOLATION a packet was changed", text(address{Owner.Ip, Port}).c_str());
    return;
  }
  // The last echo that the client has received on the flow.
  Echo = P.Echo;
  if ((P.Flags & Syn) != 0) {
    if (State != state::Opening)
      return;
    State = state::Open;
    OpenedAt = now();
    Expected = P.Seq + 1;
    transmit(Ack, Next, Expected, "");
    if (OnOpen)
      OnOpen();
    return;
  }
  if (P.AckNo == Next)
    Repeat.stop();
  if (P.Data.empty())
    return;
  const bool New = P.Seq == Expected;
  if (New)
    Expected += static_cast<std::uint32_t>(P.Data.size());
  // Every second packet is acknowledged, and a single one after a delay.
  if (++Unacknowledged >= 2) {
    Unacknowledged = 0;
    transmit(Ack, Next, Expected, "");
  } else {
    after(AckDelay, [this] {
      if (State == state::Open && Unacknowledged > 0) {
        Unacknowledged = 0;
        transmit(Ack, Next, Expected, "");
      }
    });
  }
  if (!New)
    return;
  const string Answer = P.Data.substr(0, P.Data.find('.'));
  if (Answer != "done " + Pending && Answer != "not-executed " + Pending) {
    record("client flow=%s VIOLATION foreign answer", text(address{Owner.Ip, Port}).c_str());
    return;
  }
  record("client flow=%s request=%s %s after=%.0fms", text(address{Owner.Ip, Port}).c_str(),
         Pending.c_str(), Answer.starts_with("done") ? "answered" : "rejected",
         (now() - SentAt) * 1000);
  Pending.clear();
  if (OnAnswer)
    OnAnswer();
}

// --- The end of a run
// ----------------------------------------------------------------------------------

inline std::vector<std::unique_ptr<machine>> Machines;

inline void superviseAll() {
  for (const auto &Machine : Machines)
    Machine->supervise();
  after(0.02, superviseAll);
}

[[noreturn]] inline void finishRun(int Code) {
  Machines.clear();
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(Deployment.Folder);
  std::fprintf(Record, "result: %d\n", Code);
  std::fclose(Record);
  std::fflush(stdout);
  std::_Exit(Code);
}
[[noreturn]] inline void unableToRun(const string &Reason) {
  record("can't run: %s", Reason.c_str());
  std::fprintf(stderr, "can't run: %s\n", Reason.c_str());
  finishRun(2);
}

/// Finds a range of ports that is free, and makes a temporary folder.
inline void prepare(const string &RecordFile) {
  signal(SIGPIPE, SIG_IGN);
  for (const int Signal : {SIGTERM, SIGINT})
    signal(Signal, [](int) { Stopped = true; });
  Record = std::fopen(RecordFile.c_str(), "w");
  if (Record == nullptr)
    std::_Exit(2);
  setvbuf(Record, nullptr, _IOLBF, 0);
  char Name[] = "/tmp/lab-3-XXXXXX";
  if (mkdtemp(Name) == nullptr)
    std::_Exit(2);
  Deployment.Folder = Name;
  for (int Try = 0; Try < 50 && Deployment.Port == 0; ++Try) {
    const auto Port = static_cast<std::uint16_t>(20000 + Random() % 1200 * 10);
    bool Free = true;
    for (int Offset = 0; Offset < 6 && Free; ++Offset)
      for (const int Type : {SOCK_DGRAM, SOCK_STREAM}) {
        const int Socket = openSocket(Type, {ip(1, 1), std::uint16_t(Port + Offset)});
        Free = Free && Socket >= 0;
        if (Socket >= 0)
          close(Socket);
      }
    if (Free)
      Deployment.Port = Port;
  }
  if (Deployment.Port == 0)
    unableToRun("no free ports");
  if (access(Deployment.Program.c_str(), X_OK) != 0)
    unableToRun(Deployment.Program + " isn't built");
}

} // namespace lab

#endif
