#include "tests/config/generators.h"

namespace briarpoint::test {

namespace {

/// Returns a different address for each number below 2^24.
ip_address makeAddress(std::uint32_t Number, bool IsV6) {
  ip_address Address;
  Address.IsV6 = IsV6;
  Address.Bytes[0] = IsV6 ? 0x20 : 10;
  for (std::size_t I = 0; I < 3; ++I)
    Address.Bytes[Address.size() - 1 - I] = static_cast<std::uint8_t>(Number >> (8 * I));
  return Address;
}

target_config makeTarget(std::uint32_t Service, std::uint32_t Number) {
  target_config Target;
  Target.Name = "target-" + std::to_string(Number);
  Target.DataCentre = *rc::gen::element<std::string>("riga-a", "riga-b", "Riga.C_1");
  const ip_address Address = makeAddress(Service * 1000 + Number + 1, *rc::gen::arbitrary<bool>());
  Target.Tunnel = {Address, *rc::gen::inRange<std::uint16_t>(1, 65535)};
  Target.Health = {Address, *rc::gen::inRange<std::uint16_t>(1, 65535)};
  Target.Slots = *rc::gen::inRange<std::uint32_t>(1, 1000);
  Target.Intent = *rc::gen::element(target_intent::Active, target_intent::Leaving);
  return Target;
}

service_config makeService(std::uint32_t Number) {
  service_config Service;
  Service.Name = "service-" + std::to_string(Number);
  Service.Id = service_id{Number + 1 + *rc::gen::inRange<std::uint32_t>(0, 100) * 100};
  Service.Address = makeAddress(1'000'000 + Number, *rc::gen::arbitrary<bool>());
  const auto Ports = *rc::gen::inRange<std::uint16_t>(1, 4);
  for (std::uint16_t I = 0; I < Ports; ++I)
    Service.Ports.push_back(
        {static_cast<std::uint16_t>(*rc::gen::inRange<std::uint16_t>(1, 1000) * 10 + I),
         *rc::gen::element(transport::Tcp, transport::Udp),
         *rc::gen::element(request_class::Critical, request_class::Normal, request_class::Bulk)});
  // The number of targets varies, so that operations often name a target that doesn't exist.
  const auto Targets = *rc::gen::inRange<std::uint32_t>(0, 9);
  for (std::uint32_t I = 0; I < Targets; ++I)
    Service.Targets.push_back(makeTarget(Number, I));
  return Service;
}

patch_operation makeOperation() {
  const auto Number = *rc::gen::inRange<std::uint32_t>(0, 6);
  const std::string Service = "service-" + std::to_string(Number);
  const std::string Target = "target-" + std::to_string(*rc::gen::inRange<std::uint32_t>(0, 9));
  switch (*rc::gen::inRange(0, 5)) {
  case 0:
    return put_service{makeService(Number)};
  case 1:
    return remove_service{Service};
  case 2:
    return put_target{Service, makeTarget(Number, *rc::gen::inRange<std::uint32_t>(0, 9))};
  case 3:
    return remove_target{Service, Target};
  default:
    return set_target_intent{Service, Target, target_intent::Leaving};
  }
}

} // namespace

rc::Gen<configuration> validConfiguration() {
  return rc::gen::exec([] {
    configuration Configuration;
    Configuration.Version = *rc::gen::arbitrary<config_version>();
    const auto Services = *rc::gen::inRange<std::uint32_t>(0, 6);
    for (std::uint32_t I = 0; I < Services; ++I)
      Configuration.Services.push_back(makeService(I));
    return Configuration;
  });
}

rc::Gen<std::vector<patch_operation>> anyOperations() {
  return rc::gen::exec([] {
    std::vector<patch_operation> Operations;
    const auto Count = *rc::gen::inRange<std::size_t>(0, 6);
    for (std::size_t I = 0; I < Count; ++I)
      Operations.push_back(makeOperation());
    return Operations;
  });
}

configuration largeConfiguration(std::uint32_t TargetCount) {
  service_config Service{"inventory", service_id{1}, makeAddress(1'000'000, false), {{443}}, {}};
  for (std::uint32_t I = 0; I < TargetCount; ++I) {
    const ip_address Address = makeAddress(I + 1, false);
    Service.Targets.push_back({"target-" + std::to_string(I),
                               "riga-a",
                               {Address, 6081},
                               {Address, 8080},
                               3,
                               target_intent::Active});
  }
  return {7, {Service}};
}

} // namespace briarpoint::test
