#include "io/event_loop.h"

#include "io/timeval.h"

#include <event2/event.h>

#include <csignal>
#include <stdexcept>

namespace briarpoint {

event_loop::event_loop() : Base(event_base_new()) {
  // libevent writes to sockets without MSG_NOSIGNAL, so a peer that closes its connection could
  // end the process by SIGPIPE.
  std::signal(SIGPIPE, SIG_IGN);
  if (Base == nullptr)
    throw std::runtime_error("event_base_new failed");
}

event_loop::~event_loop() {
  for (const auto &Registration : Registrations)
    event_free(Registration->Event);
  event_base_free(Base);
}

void event_loop::dispatch(int, short, void *Argument) {
  static_cast<registration *>(Argument)->Handler();
}

void event_loop::add(int Descriptor, short Events, const duration *Interval,
                     std::function<void()> Handler) {
  auto Registration = std::make_unique<registration>();
  Registration->Handler = std::move(Handler);
  Registration->Event = event_new(Base, Descriptor, static_cast<short>(Events | EV_PERSIST),
                                  dispatch, Registration.get());
  if (Registration->Event == nullptr)
    throw std::runtime_error("event_new failed");
  const timeval Period = Interval == nullptr ? timeval{} : toTimeval(*Interval);
  event_add(Registration->Event, Interval == nullptr ? nullptr : &Period);
  Registrations.push_back(std::move(Registration));
}

void event_loop::onReadable(int Descriptor, std::function<void()> Handler) {
  add(Descriptor, EV_READ, nullptr, std::move(Handler));
}

void event_loop::onInterval(duration Interval, std::function<void()> Handler) {
  add(-1, 0, &Interval, std::move(Handler));
}

void event_loop::onSignal(int Signal, std::function<void()> Handler) {
  add(Signal, EV_SIGNAL, nullptr, std::move(Handler));
}

void event_loop::run() { event_base_loop(Base, EVLOOP_NO_EXIT_ON_EMPTY); }

void event_loop::runOnce(bool Wait) { event_base_loop(Base, Wait ? EVLOOP_ONCE : EVLOOP_NONBLOCK); }

void event_loop::stop() { event_base_loopbreak(Base); }

} // namespace briarpoint
