#ifndef BRIARPOINT_SOAK_VIOLATIONS_H
#define BRIARPOINT_SOAK_VIOLATIONS_H

#include <cstdio>
#include <map>
#include <string>

namespace briarpoint::soak {

/// Violations of the forwarders' guarantees, counted by guarantee. The first five of each are
/// printed when they occur.
class violations {
public:
  void add(const std::string &Guarantee, const std::string &Detail) {
    constexpr int MaxPrinted = 5;
    if (++Counts[Guarantee] <= MaxPrinted)
      std::printf("guarantee violated: %s: %s\n", Guarantee.c_str(), Detail.c_str());
  }
  const std::map<std::string, int> &counts() const { return Counts; }

private:
  std::map<std::string, int> Counts;
};

} // namespace briarpoint::soak

#endif // BRIARPOINT_SOAK_VIOLATIONS_H
