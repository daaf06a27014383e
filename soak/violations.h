#ifndef BRIARPOINT_SOAK_VIOLATIONS_H
#define BRIARPOINT_SOAK_VIOLATIONS_H

#include <cstdio>
#include <map>
#include <string>

namespace briarpoint::soak {

/// Broken promises, by name. The first ones of each are printed when they happen.
class violations {
public:
  void add(const std::string &Promise, const std::string &Detail) {
    constexpr int Printed = 5;
    if (++Counts[Promise] <= Printed)
      std::printf("broken: %s: %s\n", Promise.c_str(), Detail.c_str());
  }
  const std::map<std::string, int> &counts() const { return Counts; }

private:
  std::map<std::string, int> Counts;
};

} // namespace briarpoint::soak

#endif // BRIARPOINT_SOAK_VIOLATIONS_H
