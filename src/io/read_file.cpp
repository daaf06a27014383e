#include "io/read_file.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace briarpoint {

std::string readFile(const std::string &File) {
  std::ifstream Stream(File, std::ios::binary);
  std::ostringstream Text;
  if (!Stream || !(Text << Stream.rdbuf()))
    throw std::runtime_error("can't read " + File);
  return Text.str();
}

} // namespace briarpoint
