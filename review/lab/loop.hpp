#ifndef REVIEW_LAB_LOOP_HPP
#define REVIEW_LAB_LOOP_HPP

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include <poll.h>

namespace lab {

using steady = std::chrono::steady_clock;

/// A single-threaded event loop: descriptors and timers.
class loop {
public:
  /// Milliseconds since the loop was created.
  double now() const {
    return std::chrono::duration<double, std::milli>(steady::now() - Start).count();
  }
  std::uint64_t at(double Time, std::function<void()> Action) {
    const std::uint64_t Id = ++NextId;
    Timers.emplace(std::make_pair(Time, Id), std::move(Action));
    return Id;
  }
  std::uint64_t after(double Delay, std::function<void()> Action) {
    return at(now() + Delay, std::move(Action));
  }
  void every(double Interval, std::function<void()> Action) {
    after(Interval, [this, Interval, Action] {
      Action();
      every(Interval, Action);
    });
  }
  void onReadable(int Descriptor, std::function<void()> Handler) {
    Readers[Descriptor] = std::move(Handler);
  }
  void remove(int Descriptor) { Readers.erase(Descriptor); }
  void stop() { Stopped = true; }

  void run() {
    while (!Stopped) {
      std::vector<pollfd> Polls;
      for (const auto &[Descriptor, Handler] : Readers)
        Polls.push_back({Descriptor, POLLIN, 0});
      int Wait = 50;
      if (!Timers.empty()) {
        const double Left = Timers.begin()->first.first - now();
        Wait = Left <= 0 ? 0 : Left < 50 ? static_cast<int>(Left) + 1 : 50;
      }
      poll(Polls.data(), Polls.size(), Wait);
      const double Now = now();
      // The process itself was held up: measurements around that moment say nothing.
      if (LastTurn > 0 && Now - LastTurn > 150)
        Stalls.push_back(Now);
      LastTurn = Now;
      for (const pollfd &Poll : Polls) {
        if (Poll.revents == 0)
          continue;
        const auto Found = Readers.find(Poll.fd);
        if (Found == Readers.end())
          continue;
        const auto Handler = Found->second;
        Handler();
      }
      while (!Stopped && !Timers.empty() && Timers.begin()->first.first <= now()) {
        const auto Action = std::move(Timers.begin()->second);
        Timers.erase(Timers.begin());
        Action();
      }
    }
  }

  /// Times at which the loop had not run for more than 150 ms.
  std::vector<double> Stalls;

private:
  steady::time_point Start = steady::now();
  std::map<std::pair<double, std::uint64_t>, std::function<void()>> Timers;
  std::map<int, std::function<void()>> Readers;
  std::uint64_t NextId = 0;
  bool Stopped = false;
  double LastTurn = 0;
};

/// The lines of record.txt.
class record {
public:
  record(loop &Loop, const std::string &File) : Loop(Loop), Out(std::fopen(File.c_str(), "w")) {
    if (Out == nullptr)
      throw std::runtime_error("can't write " + File);
  }
  ~record() { std::fclose(Out); }
  void line(const std::string &Text) {
    std::fprintf(Out, "%9.3f s  %s\n", Loop.now() / 1000, Text.c_str());
  }

private:
  loop &Loop;
  std::FILE *Out;
};

} // namespace lab

#endif // REVIEW_LAB_LOOP_HPP
