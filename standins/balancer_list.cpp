#include "standins/balancer_list.h"

#include <fstream>
#include <stdexcept>

namespace briarpoint {

balancer_list::balancer_list(std::string FileName) : File(std::move(FileName)) {
  reload();
  if (Balancers.empty())
    throw std::runtime_error("no valid list of balancers in " + File);
}

void balancer_list::reload() {
  std::ifstream Stream(File);
  std::vector<endpoint> New;
  for (std::string Line; std::getline(Stream, Line);) {
    const std::optional<endpoint> Balancer = parseEndpoint(Line);
    if (!Balancer)
      return;
    New.push_back(*Balancer);
  }
  if (!New.empty())
    Balancers = std::move(New);
}

const endpoint &balancer_list::pick(random_source &Random) const {
  return Balancers[Random.below(Balancers.size())];
}

} // namespace briarpoint
