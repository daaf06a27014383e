#ifndef BRIARPOINT_STANDINS_BALANCER_LIST_H
#define BRIARPOINT_STANDINS_BALANCER_LIST_H

#include "base/random_source.h"
#include "net/endpoint.h"

#include <string>
#include <vector>

namespace briarpoint {

/// The balancers that the fabric sprays packets over. The list comes from a file with one data
/// endpoint per line, which may change while a simulator runs.
class balancer_list {
public:
  /// \throws std::runtime_error if the file can't be read.
  explicit balancer_list(std::string File);

  /// Reads the file again. A file that is missing, empty or malformed leaves the list unchanged, so
  /// that a half-written file does no harm.
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
