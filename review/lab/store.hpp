#ifndef REVIEW_LAB_STORE_HPP
#define REVIEW_LAB_STORE_HPP

#include "loop.hpp"
#include "net.hpp"

#include <list>
#include <memory>
#include <set>

namespace lab {

/// A stand-in for the platform's store: lists and watches of objects over HTTP/1.1.
///
/// Linearizable calls see every change at once. A call with `serializable` sees the changes that
/// are older than the lag of the address at which it arrives; its `current_rev` is that of the last
/// one.
class store {
public:
  explicit store(loop &Loop) : Loop(Loop) {
    Loop.every(2, [this] { answerWatches(); });
  }
  ~store() {
    for (const auto &Connection : Connections)
      close(Connection->Descriptor);
    for (const int Descriptor : Listeners)
      close(Descriptor);
  }

  /// Listens at an address; \p StaleLag is in milliseconds.
  void listenAt(std::uint32_t Address, std::uint16_t Port, double StaleLag) {
    const int Listener = openSocket(SOCK_STREAM, Address, Port);
    Listeners.push_back(Listener);
    Lags[Listener] = StaleLag;
    Loop.onReadable(Listener, [this, Listener] {
      for (;;) {
        const int Descriptor = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (Descriptor < 0)
          return;
        auto Connection = std::make_shared<connection>();
        Connection->Descriptor = Descriptor;
        Connection->Listener = Listener;
        Connections.push_back(Connection);
        Loop.onReadable(Descriptor, [this, Connection] { read(Connection); });
      }
    });
  }

  /// Writes an object; the return is the acknowledgement.
  std::uint64_t put(const std::string &Kind, const std::string &Name, const std::string &Spec) {
    return change(Kind, Name, Spec, false);
  }
  void remove(const std::string &Kind, const std::string &Name) { change(Kind, Name, "", true); }

  std::uint64_t revision() const {
    return Changes.empty() ? FirstRevision : Changes.back().Revision;
  }
  /// Calls answered so far.
  int Calls = 0;

private:
  static constexpr std::uint64_t FirstRevision = 1;

  struct changed {
    std::uint64_t Revision;
    double At;
    std::string Kind;
    std::string Name;
    std::string Spec;
    bool Deleted;
    std::uint64_t Created;
  };
  struct connection {
    int Descriptor = -1;
    int Listener = -1;
    std::string In;
    std::string Out;
    /// A watch that waits.
    bool Watching = false;
    bool Stale = false;
    std::string Kind;
    std::uint64_t From = 0;
    double Until = 0;
  };
  using connection_pointer = std::shared_ptr<connection>;

  std::uint64_t change(const std::string &Kind, const std::string &Name, const std::string &Spec,
                       bool Deleted) {
    std::uint64_t Created = revision() + 1;
    for (const changed &Change : Changes)
      if (Change.Kind == Kind && Change.Name == Name)
        Created = Change.Deleted ? revision() + 1 : Change.Created;
    Changes.push_back({revision() + 1, Loop.now(), Kind, Name, Spec, Deleted, Created});
    answerWatches();
    return revision();
  }

  /// Revision up to which a call sees changes.
  std::uint64_t visible(const connection &Connection, bool Stale) const {
    const double Limit = Loop.now() - (Stale ? Lags.at(Connection.Listener) : 0);
    std::uint64_t Result = FirstRevision;
    for (const changed &Change : Changes)
      if (!Stale || Change.At <= Limit)
        Result = Change.Revision;
    return Result;
  }

  static std::string object(const changed &Change) {
    return "{\"meta\":{\"name\":\"" + Change.Name +
           "\",\"revision\":" + std::to_string(Change.Revision) +
           ",\"created\":" + std::to_string(Change.Created) +
           ",\"finalizers\":[],\"deleting\":false},\"spec\":" +
           (Change.Spec.empty() ? "null" : Change.Spec) + ",\"status\":null}";
  }

  void respond(const connection_pointer &Connection, int Status, const std::string &Body) {
    ++Calls;
    Connection->Out +=
        "HTTP/1.1 " + std::to_string(Status) +
        " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(Body.size()) +
        "\r\n\r\n" + Body;
    write(Connection);
  }

  void write(const connection_pointer &Connection) {
    while (!Connection->Out.empty()) {
      const ssize_t Size = send(Connection->Descriptor, Connection->Out.data(),
                                Connection->Out.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (Size <= 0) {
        if (errno == EAGAIN)
          Loop.after(2, [this, Connection] { write(Connection); });
        return;
      }
      Connection->Out.erase(0, static_cast<std::size_t>(Size));
    }
  }

  void drop(const connection_pointer &Connection) {
    if (Connection->Descriptor < 0)
      return;
    Loop.remove(Connection->Descriptor);
    close(Connection->Descriptor);
    Connection->Descriptor = -1;
    Connections.remove(Connection);
  }

  void read(const connection_pointer &Connection) {
    char Buffer[4096];
    for (;;) {
      const ssize_t Size = recv(Connection->Descriptor, Buffer, sizeof(Buffer), MSG_DONTWAIT);
      if (Size == 0 || (Size < 0 && errno != EAGAIN)) {
        drop(Connection);
        return;
      }
      if (Size < 0)
        break;
      Connection->In.append(Buffer, static_cast<std::size_t>(Size));
    }
    std::size_t End = 0;
    while ((End = Connection->In.find("\r\n\r\n")) != std::string::npos) {
      const std::string Head = Connection->In.substr(0, End);
      Connection->In.erase(0, End + 4);
      handle(Connection, Head.substr(0, Head.find("\r\n")));
    }
  }

  static std::string parameter(const std::string &Target, const std::string &Name) {
    for (const char Before : {'?', '&'}) {
      const std::size_t Found = Target.find(Before + Name + "=");
      if (Found == std::string::npos)
        continue;
      const std::size_t Begin = Found + Name.size() + 2;
      return Target.substr(Begin, Target.find('&', Begin) - Begin);
    }
    return "";
  }

  void handle(const connection_pointer &Connection, const std::string &Line) {
    const std::size_t Space = Line.find(' ');
    const std::string Target = Line.substr(Space + 1, Line.rfind(' ') - Space - 1);
    const std::string Prefix = "/-/objects/";
    if (Line.substr(0, Space) != "GET" || Target.rfind(Prefix, 0) != 0) {
      respond(Connection, 404, "{}");
      return;
    }
    const std::string Kind = Target.substr(Prefix.size(), Target.find('?') - Prefix.size());
    const bool Stale = parameter(Target, "serializable") == "1";
    const std::string Watch = parameter(Target, "watch");
    if (Watch.empty()) {
      list(Connection, Kind, parameter(Target, "after"), Stale);
      return;
    }
    Connection->Watching = true;
    Connection->Stale = Stale;
    Connection->Kind = Kind;
    Connection->From = std::strtoull(Watch.c_str(), nullptr, 10);
    Connection->Until = Loop.now() + std::atof(parameter(Target, "wait_ms").c_str());
    answerWatches();
  }

  void list(const connection_pointer &Connection, const std::string &Kind, const std::string &After,
            bool Stale) {
    const std::uint64_t Revision = visible(*Connection, Stale);
    std::map<std::string, const changed *> Objects;
    for (const changed &Change : Changes)
      if (Change.Kind == Kind && Change.Revision <= Revision) {
        if (Change.Deleted)
          Objects.erase(Change.Name);
        else
          Objects[Change.Name] = &Change;
      }
    std::string Items;
    for (const auto &[Name, Change] : Objects)
      if (Name > After)
        Items += (Items.empty() ? "" : ",") + object(*Change);
    respond(Connection, 200,
            "{\"items\":[" + Items +
                "],\"has_more\":false,\"current_rev\":" + std::to_string(Revision) + "}");
  }

  void answerWatches() {
    const auto Waiting = Connections;
    for (const connection_pointer &Connection : Waiting) {
      if (!Connection->Watching || Connection->Descriptor < 0)
        continue;
      const std::uint64_t Revision = visible(*Connection, Connection->Stale);
      std::string Events;
      for (const changed &Change : Changes)
        if (Change.Kind == Connection->Kind && Change.Revision > Connection->From &&
            Change.Revision <= Revision)
          Events += (Events.empty() ? "" : ",") + ("{\"object\":" + object(Change)) +
                    ",\"deleted\":" + (Change.Deleted ? "true" : "false") + "}";
      if (Events.empty() && Loop.now() < Connection->Until)
        continue;
      Connection->Watching = false;
      respond(Connection, 200,
              "{\"events\":[" + Events + "],\"current_rev\":" +
                  std::to_string(std::max(Revision, Connection->From)) + "}");
    }
  }

  loop &Loop;
  std::vector<int> Listeners;
  std::map<int, double> Lags;
  std::list<connection_pointer> Connections;
  std::vector<changed> Changes;
};

} // namespace lab

#endif // REVIEW_LAB_STORE_HPP
