#ifndef BRIARPOINT_IO_FILE_DESCRIPTOR_H
#define BRIARPOINT_IO_FILE_DESCRIPTOR_H

#include <unistd.h>

#include <utility>

namespace briarpoint {

/// Owns a file descriptor and closes it.
class file_descriptor {
public:
  file_descriptor() = default;
  explicit file_descriptor(int Descriptor) : Descriptor(Descriptor) {}
  file_descriptor(file_descriptor &&Other) noexcept
      : Descriptor(std::exchange(Other.Descriptor, -1)) {}
  file_descriptor &operator=(file_descriptor &&Other) noexcept {
    std::swap(Descriptor, Other.Descriptor);
    return *this;
  }
  ~file_descriptor() {
    if (Descriptor >= 0)
      close(Descriptor);
  }

  int get() const { return Descriptor; }
  /// Returns the descriptor without closing it and gives up ownership.
  int release() { return std::exchange(Descriptor, -1); }

private:
  int Descriptor = -1;
};

} // namespace briarpoint

#endif // BRIARPOINT_IO_FILE_DESCRIPTOR_H
