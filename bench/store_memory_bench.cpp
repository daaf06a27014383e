#include "io/event_loop.h"
#include "net/endpoint.h"

#include <cxxopts.hpp>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <nlohmann/json.hpp>

#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace briarpoint {
namespace {

/// Limits of a page of a list at the users' platform.
constexpr std::size_t MaxPageObjects = 500;
constexpr std::size_t MaxPageBytes = 1'000'000;

/// Addresses on the loopback network that no other program of this project uses.
constexpr const char *StoreAddress = "127.91.0.1";
constexpr std::uint16_t StorePort = 7900;
constexpr const char *ForwarderAddress = "127.91.0.2";

struct server_deleter {
  void operator()(evhttp *Server) const { evhttp_free(Server); }
};

/// A store with the entries of hosts, a configuration, and entries of another writer in one kind.
/// These can be written before the program starts or later, when watches report them.
class measured_store {
public:
  measured_store(event_loop &Loop, bool Json) : Json(Json), Server(evhttp_new(Loop.base())) {
    evhttp_set_gencb(Server.get(), onRequest, this);
    if (evhttp_bind_socket(Server.get(), StoreAddress, StorePort) != 0)
      throw std::runtime_error(std::string("can't listen on ") + StoreAddress + ":" +
                               std::to_string(StorePort));
  }

  void write(const std::string &Kind, const std::string &Name, const nlohmann::json &Spec) {
    const std::string Object =
        encode({{"meta", {{"name", Name}, {"revision", ++Revision}, {"created", Revision}}},
                {"spec", Spec}});
    Objects[Kind][Name] = {Object, Revision};
  }
  /// Answers the watches of a kind that wait.
  void notify(const std::string &Kind) {
    for (auto &[Request, Watch] : std::exchange(Watches, {}))
      if (Watch.Kind == Kind)
        answerWatch(Request, Watch);
      else
        Watches[Request] = Watch;
  }

private:
  struct object {
    std::string Encoded;
    std::uint64_t Revision = 0;
  };
  struct watch {
    std::string Kind;
    std::uint64_t After = 0;
  };

  std::string encode(const nlohmann::json &Value) const {
    if (Json)
      return Value.dump();
    const std::vector<std::uint8_t> Bytes = nlohmann::json::to_msgpack(Value);
    return {Bytes.begin(), Bytes.end()};
  }
  /// Returns the list \p Name of encoded \p Elements and the fields \p Rest, as one body.
  std::string body(const std::string &Name, const std::vector<std::string> &Elements,
                   const nlohmann::json &Rest) const {
    std::string Out;
    if (Json) {
      Out = "{\"" + Name + "\":[";
      for (const std::string &Element : Elements)
        Out += (Out.back() == '[' ? "" : ",") + Element;
      return Out + "]," + Rest.dump().substr(1);
    }
    Out = static_cast<char>(0x81 + Rest.size());
    Out += encode(Name) + '\xdd';
    for (int Shift = 24; Shift >= 0; Shift -= 8)
      Out += static_cast<char>(Elements.size() >> Shift);
    for (const std::string &Element : Elements)
      Out += Element;
    return Out + encode(Rest).substr(1);
  }
  void reply(evhttp_request *Request, const std::string &Body) const {
    evhttp_add_header(evhttp_request_get_output_headers(Request), "Content-Type",
                      Json ? "application/json" : "application/msgpack");
    const std::unique_ptr<evbuffer, decltype(&evbuffer_free)> Buffer(evbuffer_new(), evbuffer_free);
    evbuffer_add(Buffer.get(), Body.data(), Body.size());
    evhttp_send_reply(Request, HTTP_OK, "OK", Buffer.get());
  }
  void list(evhttp_request *Request, const std::string &Kind, const std::string &After) {
    std::vector<std::string> Items;
    std::size_t Size = 0;
    bool HasMore = false;
    const auto &Listed = Objects[Kind];
    for (auto Object = Listed.upper_bound(After); Object != Listed.end(); ++Object) {
      Size += Object->second.Encoded.size();
      HasMore = Items.size() == MaxPageObjects || (!Items.empty() && Size > MaxPageBytes);
      if (HasMore)
        break;
      Items.push_back(Object->second.Encoded);
    }
    reply(Request, body("items", Items, {{"has_more", HasMore}, {"current_rev", Revision}}));
  }
  void answerWatch(evhttp_request *Request, const watch &Watch) {
    std::vector<std::string> Events;
    for (const auto &[Name, Object] : Objects[Watch.Kind])
      if (Object.Revision > Watch.After)
        Events.push_back(Json ? "{\"deleted\":false,\"object\":" + Object.Encoded + "}"
                              : "\x82" + encode("deleted") + encode(false) + encode("object") +
                                    Object.Encoded);
    reply(Request, body("events", Events, {{"current_rev", Revision}}));
  }
  static void onRequest(evhttp_request *Request, void *Argument) {
    auto &Self = *static_cast<measured_store *>(Argument);
    const evhttp_uri *Uri = evhttp_request_get_evhttp_uri(Request);
    const std::string Path = evhttp_uri_get_path(Uri);
    const std::string Kind = Path.substr(Path.rfind('/') + 1);
    const char *Query = evhttp_uri_get_query(Uri);
    evkeyvalq Fields{};
    if (Query != nullptr)
      evhttp_parse_query_str(Query, &Fields);
    const auto Read = [&Fields](const char *Name) {
      const char *Value = evhttp_find_header(&Fields, Name);
      return std::string(Value == nullptr ? "" : Value);
    };
    const std::string Watched = Read("watch");
    if (Watched.empty()) {
      Self.list(Request, Kind, Read("after"));
    } else if (const watch Watch{Kind, std::stoull(Watched)};
               Read("wait_ms") == "1" || Watch.After < Self.newest(Kind)) {
      Self.answerWatch(Request, Watch);
    } else {
      Self.Watches[Request] = Watch;
      evhttp_connection_set_closecb(evhttp_request_get_connection(Request), onClose, Argument);
    }
    evhttp_clear_headers(&Fields);
  }
  static void onClose(evhttp_connection *Connection, void *Argument) {
    std::erase_if(static_cast<measured_store *>(Argument)->Watches, [&](const auto &Entry) {
      return evhttp_request_get_connection(Entry.first) == Connection;
    });
  }
  std::uint64_t newest(const std::string &Kind) {
    std::uint64_t Newest = 0;
    for (const auto &[Name, Object] : Objects[Kind])
      Newest = std::max(Newest, Object.Revision);
    return Newest;
  }

  bool Json;
  std::map<std::string, std::map<std::string, object>> Objects;
  std::map<evhttp_request *, watch> Watches;
  std::uint64_t Revision = 0;
  std::unique_ptr<evhttp, server_deleter> Server;
};

/// Returns the highest resident memory of a process so far, in kB.
std::size_t peakMemoryKb(pid_t Process) {
  std::ifstream Status("/proc/" + std::to_string(Process) + "/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with("VmHWM:"))
      return std::stoul(Line.substr(6));
  throw std::runtime_error("the program has ended");
}

pid_t startProgram(const std::string &Program, const std::string &Folder) {
  const std::string Ip = ForwarderAddress;
  std::ofstream(Folder + "/settings.toml")
      << "name = \"measured\"\ndata_centre = \"a\"\nstore = \"" << StoreAddress << ":" << StorePort
      << "\"\nseeds = []\nshutdown_time = \"1s\"\nflow_lifetime = \"60s\"\n[listen]\npackets = \""
      << Ip << ":7001\"\nreadiness = \"" << Ip << ":7002\"\noperator = \"" << Ip
      << ":7003\"\npeers = \"" << Ip << ":7004\"\n";
  const pid_t Process = fork();
  if (Process != 0)
    return Process;
  if (std::freopen((Folder + "/log").c_str(), "w", stdout) != nullptr)
    execl(Program.c_str(), Program.c_str(), "--config", (Folder + "/settings.toml").c_str(),
          nullptr);
  _exit(1);
}

void runFor(event_loop &Loop, std::chrono::seconds Time) {
  const auto End = std::chrono::steady_clock::now() + Time;
  while (std::chrono::steady_clock::now() < End) {
    Loop.runOnce(false);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

int run(const cxxopts::ParseResult &Options) {
  event_loop Loop;
  measured_store Store(Loop, Options["json"].as<bool>());
  const auto Hosts = Options["hosts"].as<std::size_t>();
  for (std::size_t I = 1; I <= Hosts; ++I) {
    char Id[16];
    std::snprintf(Id, sizeof(Id), "i-%010zx", I);
    Store.write(
        "servers", Id,
        {{"service", "service" + std::to_string(I % 100)},
         {"address", "10." + std::to_string(I >> 16U) + "." + std::to_string(I >> 8U & 255U) + "." +
                         std::to_string(I & 255U) + ":8080"},
         {"zone", "a"},
         {"version", "v1.17"},
         {"max_concurrency", 3},
         {"state", "ready"},
         {"warmup_left_ms", 0},
         {"sequence", I},
         {"born", 1'765'000'000'000 + I}});
  }
  Store.write("config", "main",
              {{"version", 1},
               {"routes",
                {{{"name", "r"},
                  {"hostname", "198.18.0.1"},
                  {"path_prefix", "/443/"},
                  {"service", "service1"}}}}});
  const auto Kind = Options["kind"].as<std::string>();
  const std::vector<int> Numbers(Options["numbers"].as<std::size_t>(), 1);
  const auto WriteEntries = [&] {
    for (int I = 0; I < Options["entries"].as<int>(); ++I)
      Store.write(Kind, "samples-" + std::to_string(I), Numbers);
  };
  const bool Later = Options["later"].as<bool>();
  if (!Later)
    WriteEntries();

  const std::string Folder = std::filesystem::temp_directory_path() / "briarpoint-store-memory";
  std::filesystem::create_directories(Folder);
  const pid_t Process = startProgram(Options["program"].as<std::string>(), Folder);
  runFor(Loop, std::chrono::seconds(5));
  std::cout << "peak after the start: " << peakMemoryKb(Process) << " kB\n";
  if (Later) {
    WriteEntries();
    Store.notify(Kind);
    runFor(Loop, std::chrono::seconds(5));
    std::cout << "peak after the entries were written: " << peakMemoryKb(Process) << " kB\n";
  }
  kill(Process, SIGKILL);
  waitpid(Process, nullptr, 0);
  return 0;
}

} // namespace
} // namespace briarpoint

/// Measures the peak memory of a forwarder beside many hosts and large entries of another writer.
int main(int Count, char **Arguments) {
  cxxopts::Options Options("store_memory_bench", "Peak memory of a forwarder beside large entries");
  Options.add_options()("program", "path of briarpoint-forwarder", cxxopts::value<std::string>())(
      "hosts", "number of hosts", cxxopts::value<std::size_t>()->default_value("12000"))(
      "entries", "number of entries of another writer", cxxopts::value<int>()->default_value("4"))(
      "numbers", "length of the list in such an entry",
      cxxopts::value<std::size_t>()->default_value("1040000"))(
      "kind", "kind of these entries", cxxopts::value<std::string>()->default_value("servers"))(
      "later", "write them when the program runs")("json", "encode bodies in JSON");
  try {
    return briarpoint::run(Options.parse(Count, Arguments));
  } catch (const std::exception &Error) {
    std::cerr << "store_memory_bench: " << Error.what() << "\n";
    return 1;
  }
}
