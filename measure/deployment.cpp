#include "measure/deployment.h"

namespace briarpoint::measure {

deployment shopNetwork() {
  deployment Shop;
  Shop.Name = "shop";
  Shop.DataCentres = {"riga-a", "riga-b", "riga-c"};
  Shop.LatencyBetweenDataCentres = std::chrono::microseconds(500);
  Shop.Services = {"inventory", "catalogue"};
  Shop.Slots = 3;
  Shop.OpenFlows = 18 * 4300;
  return Shop;
}

deployment storageFirm() {
  deployment Storage;
  Storage.Name = "storage";
  Storage.DataCentres = {"regina", "saskatoon", "brandon"};
  Storage.LatencyBetweenDataCentres = std::chrono::microseconds(1400);
  Storage.Services = {"gate", "ledger"};
  Storage.Slots = 2;
  Storage.OpenFlows = 18 * 4400;
  return Storage;
}

target_config makeTarget(const deployment &Deployment, std::uint32_t Service,
                         std::uint32_t Number) {
  target_config Target;
  Target.Name = Deployment.Services[Service] + "-" + std::to_string(Number);
  Target.DataCentre = Deployment.DataCentres[Number % DataCentreCount];
  const auto Host = static_cast<std::uint8_t>(Number);
  Target.Tunnel.Address.Bytes = {172, 16, static_cast<std::uint8_t>(Service), Host};
  Target.Tunnel.Port = 6081;
  Target.Health = {Target.Tunnel.Address, 8080};
  Target.Slots = Deployment.Slots;
  return Target;
}

std::vector<service_config> makeServices(const deployment &Deployment) {
  std::vector<service_config> Services;
  for (std::uint32_t I = 0; I < Deployment.Services.size(); ++I) {
    service_config Service;
    Service.Name = Deployment.Services[I];
    Service.Id = service_id{I + 1};
    Service.Address.Bytes = {198, 51, 100, static_cast<std::uint8_t>(I + 1)};
    for (std::uint16_t Class = 0; Class < RequestClassCount; ++Class)
      Service.Ports.push_back({static_cast<std::uint16_t>(FirstTcpPort + Class), transport::Tcp,
                               static_cast<request_class>(Class)});
    Service.Ports.push_back({UdpPort, transport::Udp, request_class::Critical});
    for (std::uint32_t Number = 0; Number < Deployment.Targets[I]; ++Number)
      Service.Targets.push_back(makeTarget(Deployment, I, Number));
    Services.push_back(Service);
  }
  return Services;
}

} // namespace briarpoint::measure
