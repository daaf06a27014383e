#include "forwarder/load_sharing_log.h"

#include "base/seeded_random.h"
#include "tests/forwarder/socket_support.h"

#include <spdlog/sinks/ostream_sink.h>

#include <sstream>

namespace briarpoint {
namespace {

class silent_sender final : public load_sender {
public:
  void send(const endpoint &, const load_report &) override {}
  void send(const endpoint &, const load_summary &) override {}
};

/// A forwarder in data centre "a" with a target of 10 slots in "a" and in "b".
class a_load_sharing_log : public socket_test {
protected:
  a_load_sharing_log() {
    for (const char *DataCentre : {"a", "b"}) {
      target_registration Registration;
      Registration.Name = std::string("i-") + DataCentre;
      Registration.Number = Targets.size() + 1;
      Registration.Service = "web";
      Registration.DataCentre = DataCentre;
      Registration.Slots = 10;
      Registration.Revision = Registration.Number;
      Targets.put(Registration, Clock.now());
    }
  }
  void receive(std::uint32_t Round, std::uint32_t InProgress) {
    Exchange.receive(
        anyPort(), true,
        {Round,
         true,
         500,
         3,
         {{loadKey("web", "a"), InProgress, 0, 0, 0}, {loadKey("web", "b"), 0, 0, 10, 0}},
         {},
         {}},
        Clock.now());
  }
  /// Returns the lines that an update writes.
  std::string update() {
    Text.str("");
    SharingLog.update(Clock.now());
    return Text.str();
  }
  static target_registry_settings settings() {
    target_registry_settings Result;
    Result.DataCentre = "a";
    return Result;
  }

  std::ostringstream Text;
  event_log TextLog{std::make_shared<spdlog::logger>(
                        "text", std::make_shared<spdlog::sinks::ostream_sink_mt>(Text, true)),
                    Clock};
  seeded_random Random{1};
  target_registry Targets{settings()};
  load_meter Meter;
  pooled_load Pooled{Targets, Meter, 0};
  silent_sender Sender;
  load_exchange Exchange{anyPort(), Targets, Meter, Pooled, Sender, Random};
  load_sharing_log SharingLog{TextLog, Targets, Exchange, Pooled};
};

// Guards against changes that an operator can't see, and against a line for each summary.
TEST_F(a_load_sharing_log, showsBeginAndEnd) {
  EXPECT_EQ(update(), "");
  receive(1, 26);
  const std::string Begin = update();
  EXPECT_NE(Begin.find("load_sharing_changed"), std::string::npos);
  EXPECT_NE(Begin.find("active=yes"), std::string::npos);
  EXPECT_NE(Begin.find("load_spill_changed"), std::string::npos);
  EXPECT_NE(Begin.find("probability=1.00"), std::string::npos);
  receive(2, 26);
  EXPECT_EQ(update(), "");
  Clock.Now += pooled_load::Lifetime;
  const std::string End = update();
  EXPECT_NE(End.find("active=no"), std::string::npos);
  EXPECT_NE(End.find("probability=0.00"), std::string::npos);
  EXPECT_EQ(update(), "");
}

} // namespace
} // namespace briarpoint
