#include "tests/daemon/fabric_support.h"

#include "io/socket_address.h"

#include <sys/socket.h>

#include <algorithm>
#include <functional>

namespace briarpoint {

namespace {

endpoint anyPort() { return {parseEndpoint("127.0.0.1:1")->Address, 0}; }

packet_task_settings taskSettings(const std::string &Name, const endpoint &Fabric) {
  packet_task_settings Settings;
  Settings.Self = makeMemberId(Name);
  Settings.Data = anyPort();
  Settings.Fabric = Fabric;
  Settings.DataPlane.HashSeed = 42;
  return Settings;
}

} // namespace

balancer_fixture::balancer_fixture(const std::string &Name, const endpoint &Fabric,
                                   time_source &Clock)
    : Name(Name), Random(std::hash<std::string>()(Name)),
      Task(taskSettings(Name, Fabric), Clock, Random, Commands, Reports) {}

packet_fabric::target_fixture::target_fixture(const target_settings &Settings, instant Start)
    : Target(Settings, Start), Port(anyPort()) {
  target_config Config;
  Config.Name = Settings.Name;
  Config.Tunnel = localEndpoint(Port.descriptor());
  View.Id = makeTargetId("service" + std::to_string(Settings.Vni), Config);
  View.Service = static_cast<service_id>(Settings.Vni);
  View.Tunnel = Config.Tunnel;
}

packet_fabric::packet_fabric(std::size_t BalancerCount, std::size_t TargetsPerService)
    : FabricPort(anyPort()) {
  const endpoint Fabric = localEndpoint(FabricPort.descriptor());
  for (std::size_t I = 0; I < BalancerCount; ++I)
    Balancers.emplace_back("balancer" + std::to_string(I), Fabric, Clock);
  for (std::uint32_t Vni = 1; Vni <= 2; ++Vni)
    for (std::size_t I = 0; I < TargetsPerService; ++I)
      Targets.emplace_back(target_settings{"target" + std::to_string(I), Vni, 2, {}}, Clock.now());
}

endpoint packet_fabric::serviceEndpoint(std::uint32_t Vni, std::uint16_t Port) const {
  endpoint Endpoint{*parseIpAddress("203.0.113.0"), Port};
  Endpoint.Address.Bytes[3] = static_cast<std::uint8_t>(Vni);
  return Endpoint;
}

void packet_fabric::publishView(config_version Version, const std::vector<std::size_t> &Leaving) {
  forwarding_view_parts Parts;
  Parts.Version = Version;
  for (std::uint32_t Vni = 1; Vni <= 2; ++Vni) {
    service_view Service;
    Service.Id = static_cast<service_id>(Vni);
    Service.Name = "service" + std::to_string(Vni);
    Service.Address = serviceEndpoint(Vni, 0).Address;
    Service.Ports = {{80, transport::Tcp, request_class::Normal},
                     {53, transport::Udp, request_class::Normal}};
    Parts.Services.push_back(Service);
  }
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    target_view View = Targets[I].View;
    View.AcceptsNew = std::find(Leaving.begin(), Leaving.end(), I) == Leaving.end();
    Parts.Services[static_cast<std::uint32_t>(View.Service) - 1].Targets.push_back(
        static_cast<std::uint32_t>(I));
    Parts.Targets.push_back(View);
  }
  for (balancer_fixture &Balancer : Balancers)
    Parts.Members.push_back(
        {makeMemberId(Balancer.Name), "dc", "", Balancer.Task.local(), member_state::Ready, false});
  Parts.Owners = ownership_table::build(Parts.Members, ownership_scope::DataCentre, "dc", false);
  Parts.NextOwners = Parts.Owners;
  const auto View = std::make_shared<const forwarding_view>(std::move(Parts));
  for (balancer_fixture &Balancer : Balancers)
    Balancer.Commands.push(apply_view{View});
  settle();
}

void packet_fabric::sendRaw(geneve_socket &From, const endpoint &To,
                            std::span<const std::byte> Payload) {
  const socket_address Address = toSocketAddress(To);
  sendto(From.descriptor(), Payload.data(), Payload.size(), 0, Address.get(), Address.Size);
}

void packet_fabric::settle() {
  // Datagrams on loopback arrive within the send call. The longest path, a flow setup and its
  // reply, takes 12 hops.
  constexpr int Rounds = 16;
  for (int I = 0; I < Rounds; ++I) {
    for (balancer_fixture &Balancer : Balancers)
      Balancer.Task.step(std::chrono::milliseconds(0));
    for (target_fixture &Target : Targets) {
      Target.Port.receive([&](std::span<const std::byte> Payload) {
        for (const auto &Reply : Target.Target.handlePacket(Payload, Clock.now()))
          Target.Port.send(Balancers[Random.below(Balancers.size())].Task.local(),
                           static_cast<std::uint32_t>(Target.View.Service), Reply);
      });
      Target.Port.flush();
    }
    FabricPort.receive([this](std::span<const std::byte> Payload) {
      Arrived.emplace_back(Payload.begin(), Payload.end());
    });
  }
}

std::vector<std::vector<std::byte>> packet_fabric::takeFromFabric() {
  return std::exchange(Arrived, {});
}

} // namespace briarpoint
