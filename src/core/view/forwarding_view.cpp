#include "core/view/forwarding_view.h"

#include "base/hash.h"

#include <utility>

namespace briarpoint {

namespace {

constexpr std::uint32_t AmbiguousIndex = 0xFFFFFFFF;

/// Returns the element at the position that \p Index holds for \p SearchKey; null if there is none.
template <typename Map, typename Key, typename Element>
const Element *lookUp(const Map &Index, const Key &SearchKey,
                      const std::vector<Element> &Elements) {
  const auto Found = Index.find(SearchKey);
  return Found == Index.end() ? nullptr : &Elements[Found->second];
}

} // namespace

std::size_t forwarding_view::endpoint_hash::operator()(const endpoint &Endpoint) const noexcept {
  const auto *Bytes = reinterpret_cast<const char *>(Endpoint.Address.Bytes.data());
  return hashBytes({Bytes, Endpoint.Address.size()}, Endpoint.Port);
}

std::size_t forwarding_view::endpoint_hash::operator()(const listener_key &Key) const noexcept {
  return mixHash((*this)(Key.Destination), static_cast<std::uint64_t>(Key.Protocol));
}

forwarding_view::forwarding_view(forwarding_view_parts AllParts) : Parts(std::move(AllParts)) {
  for (std::uint32_t I = 0; I < Parts.Services.size(); ++I) {
    const service_view &Service = Parts.Services[I];
    ServiceIndex.emplace(Service.Id, I);
    for (std::uint32_t J = 0; J < Service.Ports.size(); ++J) {
      const service_port &Port = Service.Ports[J];
      Listeners.emplace(listener_key{{Service.Address, Port.Port}, Port.Protocol},
                        listener_index{I, J});
    }
  }
  for (std::uint32_t I = 0; I < Parts.Targets.size(); ++I) {
    TargetIndex.emplace(Parts.Targets[I].Id, I);
    TunnelIndex.emplace(Parts.Targets[I].Tunnel, I);
    const auto [Known, IsNew] =
        AddressIndex.try_emplace({Parts.Targets[I].Tunnel.Address, Parts.Targets[I].Service}, I);
    if (!IsNew)
      Known->second = AmbiguousIndex;
  }
  for (std::uint32_t I = 0; I < Parts.Members.size(); ++I) {
    MemberIndex.emplace(Parts.Members[I].Id, I);
    DataIndex.emplace(Parts.Members[I].Data, I);
  }
}

forwarding_view::service_match forwarding_view::matchService(const endpoint &Destination,
                                                             transport Protocol) const {
  const auto Found = Listeners.find({Destination, Protocol});
  if (Found == Listeners.end())
    return {};
  const service_view &Service = Parts.Services[Found->second.Service];
  return {&Service, &Service.Ports[Found->second.Port]};
}

const service_view *forwarding_view::findService(service_id Id) const {
  return lookUp(ServiceIndex, Id, Parts.Services);
}

const target_view *forwarding_view::findTarget(target_id Id) const {
  return lookUp(TargetIndex, Id, Parts.Targets);
}

const target_view *forwarding_view::findTargetByTunnel(const endpoint &Tunnel) const {
  return lookUp(TunnelIndex, Tunnel, Parts.Targets);
}

const target_view *forwarding_view::findTargetByAddress(const ip_address &Address,
                                                        service_id Service) const {
  const auto Found = AddressIndex.find({Address, Service});
  if (Found == AddressIndex.end() || Found->second == AmbiguousIndex)
    return nullptr;
  return &Parts.Targets[Found->second];
}

const member_view *forwarding_view::findMember(member_id Id) const {
  return lookUp(MemberIndex, Id, Parts.Members);
}

const member_view *forwarding_view::findMemberByDataEndpoint(const endpoint &Data) const {
  return lookUp(DataIndex, Data, Parts.Members);
}

} // namespace briarpoint
