#ifndef BRIARPOINT_STANDINS_PLATFORM_OBJECTS_H
#define BRIARPOINT_STANDINS_PLATFORM_OBJECTS_H

#include <cstdint>
#include <map>
#include <string>

namespace briarpoint::standins {

/// Objects of the platform stand-in with their versions.
class platform_objects {
public:
  struct object {
    std::uint64_t Version = 0;
    std::string Value;
  };

  /// Returns the object; version 0 if it doesn't exist.
  object get(const std::string &Key) const {
    const auto Found = Objects.find(Key);
    return Found == Objects.end() ? object{} : Found->second;
  }

  /// Writes if the version is \p Expected. Returns whether it did.
  bool put(const std::string &Key, std::uint64_t Expected, std::string Value) {
    if (get(Key).Version != Expected)
      return false;
    Objects[Key] = {Expected + 1, std::move(Value)};
    return true;
  }

private:
  std::map<std::string, object> Objects;
};

} // namespace briarpoint::standins

#endif // BRIARPOINT_STANDINS_PLATFORM_OBJECTS_H
