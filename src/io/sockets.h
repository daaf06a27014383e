#ifndef BRIARPOINT_IO_SOCKETS_H
#define BRIARPOINT_IO_SOCKETS_H

#include "io/file_descriptor.h"
#include "net/endpoint.h"

namespace briarpoint {

/// Opens a non-blocking UDP socket bound to \p Local; port 0 lets the system choose.
/// \throws std::system_error if that fails, for example because the address is in use.
file_descriptor openUdpSocket(const endpoint &Local);

/// Opens a non-blocking TCP socket bound to \p Local that doesn't listen yet.
/// \throws std::system_error if that fails.
file_descriptor openTcpSocket(const endpoint &Local);

} // namespace briarpoint

#endif // BRIARPOINT_IO_SOCKETS_H
