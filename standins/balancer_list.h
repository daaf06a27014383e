#ifndef BRIARPOINT_STANDINS_BALANCER_LIST_H
#define BRIARPOINT_STANDINS_BALANCER_LIST_H

#include "base/random_source.h"
#include "net/endpoint.h"

#include <string>
#include <vector>

namespace briarpoint {

/// The balancers over which the fabric sprays packets. Read from a file with one data endpoint per
/// line. The file may change while a stand-in runs.
class balancer_list {
public:
  /// \throws std::runtime_error if the file is missing, empty or malformed.
  explicit balancer_list(std::string File);

  /// Reads the file again. If it is missing, empty or malformed (for example half-written), the
  /// list stays unchanged.
  void reload();

  /// Returns a random balancer.
  const endpoint &pick(random_source &Random) const;

  const std::vector<endpoint> &balancers() const { return Balancers; }

private:
  std::string File;
  std::vector<endpoint> Balancers;
};

} // namespace briarpoint

#endif // BRIARPOINT_STANDINS_BALANCER_LIST_H
