#ifndef BRIARPOINT_TESTS_FORWARD_LOAD_MODEL_H
#define BRIARPOINT_TESTS_FORWARD_LOAD_MODEL_H

#include "base/seeded_random.h"
#include "forward/packet_forwarder.h"

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace briarpoint::test {

/// What callers got.
struct load_result {
  std::uint64_t Asked = 0;
  /// Served within the goal, and at all.
  std::uint64_t InGoal = 0;
  std::uint64_t Served = 0;
  /// Requests that arrived at the busiest target, relative to the mean of its service.
  double Imbalance = 0;

  double inGoal() const { return static_cast<double>(InGoal) / static_cast<double>(Asked); }
  double served() const { return static_cast<double>(Served) / static_cast<double>(Asked); }
};

/// Sizes of the model: those of the shop network.
struct load_settings {
  std::uint64_t Seed = 20261204;
  std::vector<std::string> DataCentres = {"a", "b", "c"};
  std::size_t BalancersEach = 5;
  std::vector<std::size_t> Targets = {5, 5, 4};
  std::uint32_t Slots = 3;
  std::size_t Queue = 12;
  std::size_t CallersEach = 100;
  /// Of each caller; the load of a slot follows from it and the work.
  duration MeanPause = std::chrono::milliseconds(750);
  double MeanWorkMs = 40;
  duration Goal = std::chrono::milliseconds(200);
  duration Budget = std::chrono::milliseconds(2000);
};

/// A seeded event loop over the real decision code: balancers that know nothing of each other,
/// callers that repeat packets and try again, targets with slots and queues. Nothing here knows of
/// sockets or clocks.
class load_model {
public:
  enum class fault : std::uint8_t { None, Silent, Refusing, Cut };

  explicit load_model(const load_settings &Settings);

  /// Does something at a time after the start.
  void at(duration Time, std::function<void()> Action);
  void setFault(std::size_t Target, fault Fault) { Targets[Target]->Fault = Fault; }
  /// Packets between data centres are lost, in both directions, if one of them is \p DataCentre.
  void cut(const std::string &DataCentre) { CutDataCentre = DataCentre; }
  /// Work at a target takes \p Factor times as long.
  void slow(std::size_t Target, double Factor) { Targets[Target]->Slowness = Factor; }
  /// The target's entry says that it drains; its flows end at their next answer.
  void drain(std::size_t Target);

  std::size_t targetCount() const { return Targets.size(); }
  std::size_t targetIn(const std::string &DataCentre) const;

  /// Plays for \p Time and returns what callers got.
  load_result play(duration Time);
  /// The same, for the requests that were sent in a part of the time.
  load_result play(duration Time, duration From, duration To);

private:
  struct target_model {
    target_registration Registration;
    fault Fault = fault::None;
    double Slowness = 1;
    std::uint32_t Busy = 0;
    std::deque<std::function<void()>> Waiting;
    std::uint64_t Arrivals = 0;
  };
  struct ignored_times final : flow_observer {
    void onOpened(duration) override {}
    void onAnswered(duration) override {}
  };
  struct balancer {
    balancer(const std::string &DataCentre, random_source &Random);
    std::string DataCentre;
    route_table Routes;
    target_registry Registry;
    ignored_times Times;
    packet_forwarder Forwarder;
  };
  struct caller_model {
    std::string DataCentre;
    std::size_t Balancer = 0;
    caller_packet Packet;
    target_model *Target = nullptr;
    instant AskedAt{};
    bool Waiting = false;
    /// Counts packets, so that a timer knows whether its packet is the present one.
    std::uint64_t Step = 0;
    int Tries = 0;
  };
  struct event {
    instant At;
    std::uint64_t Number;
    std::function<void()> Run;
    bool operator<(const event &Other) const {
      return std::pair(At, Number) > std::pair(Other.At, Other.Number);
    }
  };

  void after(duration Delay, std::function<void()> Run);
  bool reachable(const std::string &From, const target_model &To) const;
  void ask(caller_model &Caller);
  void open(caller_model &Caller);
  void transmit(caller_model &Caller, int Repeat);
  void arrive(caller_model &Caller, target_model &Target, std::uint64_t Step);
  /// Returns false if the target refuses the request because its queue is full; its caller then
  /// asks again on another flow.
  bool serve(target_model &Target, std::function<void()> Done);
  void answered(caller_model &Caller, target_model &Target);
  void failed(caller_model &Caller);
  void finish(caller_model &Caller, bool Served);

  load_settings Settings;
  seeded_random Random;
  std::vector<std::unique_ptr<target_model>> Targets;
  std::vector<std::unique_ptr<balancer>> Balancers;
  std::vector<std::unique_ptr<caller_model>> Callers;
  std::priority_queue<event> Events;
  std::uint64_t EventNumber = 0;
  std::uint64_t Revision = 100;
  std::string CutDataCentre;
  instant Start{std::chrono::seconds(1000)};
  instant Now = Start;
  instant CountFrom{};
  instant CountTo = Never;
  load_result Result;
};

} // namespace briarpoint::test

#endif // BRIARPOINT_TESTS_FORWARD_LOAD_MODEL_H
