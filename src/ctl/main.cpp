#include "ctl/run_ctl.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <random>
#include <thread>

namespace briarpoint {

namespace {

std::string makePatchId() {
  std::random_device Random;
  char Text[32];
  std::snprintf(Text, sizeof(Text), "ctl-%08x%08x", Random(), Random());
  return Text;
}

std::optional<std::string> readVariable(const std::string &Name) {
  const char *Value = std::getenv(Name.c_str());
  return Value == nullptr ? std::nullopt : std::optional<std::string>(Value);
}

} // namespace

} // namespace briarpoint

int main(int ArgumentCount, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  const briarpoint::ctl_environment Environment{
      std::cout, std::cerr, &briarpoint::readVariable, &briarpoint::makePatchId,
      [](briarpoint::duration Duration) { std::this_thread::sleep_for(Duration); }};
  return static_cast<int>(
      briarpoint::runCtl({Arguments + 1, Arguments + ArgumentCount}, Environment));
}
