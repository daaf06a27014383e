#ifndef BRIARPOINT_CTL_CTL_ERROR_H
#define BRIARPOINT_CTL_CTL_ERROR_H

#include "ctl/exit_code.h"

#include <stdexcept>
#include <string>

namespace briarpoint {

/// Error that ends the command. what() is the message for the operator.
class ctl_error : public std::runtime_error {
public:
  ctl_error(exit_code Code, const std::string &Message) : std::runtime_error(Message), Code(Code) {}

  exit_code code() const { return Code; }

private:
  exit_code Code;
};

} // namespace briarpoint

#endif // BRIARPOINT_CTL_CTL_ERROR_H
