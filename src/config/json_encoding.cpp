#include "config/json_encoding.h"

#include "config/enum_text.h"

namespace briarpoint {

namespace {

using nlohmann::json;

template <typename T> json encodeAll(const std::vector<T> &Items) {
  json Array = json::array();
  for (const T &Item : Items)
    Array.push_back(encode(Item));
  return Array;
}

json encode(const put_service &Operation) {
  return {{"operation", "put_service"}, {"service", encode(Operation.Service)}};
}

json encode(const remove_service &Operation) {
  return {{"operation", "remove_service"}, {"service", Operation.Service}};
}

json encode(const put_target &Operation) {
  return {{"operation", "put_target"},
          {"service", Operation.Service},
          {"target", encode(Operation.Target)}};
}

json encode(const remove_target &Operation) {
  return {
      {"operation", "remove_target"}, {"service", Operation.Service}, {"target", Operation.Target}};
}

json encode(const set_target_intent &Operation) {
  return {{"operation", "set_target_intent"},
          {"service", Operation.Service},
          {"target", Operation.Target},
          {"intent", enumText(Operation.Intent)}};
}

} // namespace

json encode(const service_port &Port) {
  return {
      {"port", Port.Port}, {"protocol", enumText(Port.Protocol)}, {"class", enumText(Port.Class)}};
}

json encode(const target_config &Target) {
  return {{"name", Target.Name},
          {"data_centre", Target.DataCentre},
          {"tunnel", toString(Target.Tunnel)},
          {"health", toString(Target.Health)},
          {"slots", Target.Slots},
          {"intent", enumText(Target.Intent)}};
}

json encode(const service_config &Service) {
  return {{"name", Service.Name},
          {"id", static_cast<std::uint32_t>(Service.Id)},
          {"address", toString(Service.Address)},
          {"ports", encodeAll(Service.Ports)},
          {"targets", encodeAll(Service.Targets)}};
}

json encode(const configuration &Configuration) {
  return {{"version", Configuration.Version}, {"services", encodeAll(Configuration.Services)}};
}

json encode(const patch &Patch) {
  json Operations = json::array();
  for (const patch_operation &Operation : Patch.Operations)
    Operations.push_back(std::visit([](const auto &Kind) { return encode(Kind); }, Operation));
  return {{"id", Patch.Id}, {"base", Patch.Base}, {"operations", std::move(Operations)}};
}

} // namespace briarpoint
