#include "config/config_decoder.h"

#include "config/config_limits.h"
#include "config/field_reader.h"

#include <algorithm>

namespace briarpoint {

namespace {

service_port decodePort(const document_value &Document, const std::string &Path,
                        finding_collector &Findings) {
  field_reader Reader(Document, Path, Findings);
  service_port Port;
  Reader.required("port", bounded{Port.Port, std::uint16_t{1}, std::uint16_t{65535}});
  Reader.optional("protocol", Port.Protocol);
  Reader.optional("class", Port.Class);
  Reader.finish();
  return Port;
}

put_target decodePutTarget(field_reader &Reader, finding_collector &Findings) {
  put_target Operation;
  Reader.required("service", name_text{Operation.Service});
  Reader.requiredValue("target", [&](const document_value &Value, const std::string &Path) {
    Operation.Target = decodeTarget(Value, Path, Findings);
  });
  return Operation;
}

put_service decodePutService(field_reader &Reader, finding_collector &Findings) {
  put_service Operation;
  Reader.requiredValue("service", [&](const document_value &Value, const std::string &Path) {
    Operation.Service = decodeService(Value, Path, Findings);
  });
  return Operation;
}

remove_service decodeRemoveService(field_reader &Reader) {
  remove_service Operation;
  Reader.required("service", name_text{Operation.Service});
  return Operation;
}

remove_target decodeRemoveTarget(field_reader &Reader) {
  remove_target Operation;
  Reader.required("service", name_text{Operation.Service});
  Reader.required("target", name_text{Operation.Target});
  return Operation;
}

set_target_intent decodeSetIntent(field_reader &Reader) {
  set_target_intent Operation;
  Reader.required("service", name_text{Operation.Service});
  Reader.required("target", name_text{Operation.Target});
  Reader.required("intent", Operation.Intent);
  return Operation;
}

patch_operation decodeOperation(const document_value &Document, const std::string &Path,
                                finding_collector &Findings) {
  field_reader Reader(Document, Path, Findings);
  std::string Kind;
  patch_operation Operation;
  if (!Reader.required("operation", Kind))
    return Operation;
  if (Kind == "put_service")
    Operation = decodePutService(Reader, Findings);
  else if (Kind == "remove_service")
    Operation = decodeRemoveService(Reader);
  else if (Kind == "put_target")
    Operation = decodePutTarget(Reader, Findings);
  else if (Kind == "remove_target")
    Operation = decodeRemoveTarget(Reader);
  else if (Kind == "set_target_intent")
    Operation = decodeSetIntent(Reader);
  else {
    // The known fields depend on the operation, so unknown fields can't be reported here.
    Reader.report("operation", "must be one of \"put_service\" \"remove_service\" \"put_target\" "
                               "\"remove_target\" \"set_target_intent\"");
    return Operation;
  }
  Reader.finish();
  return Operation;
}

} // namespace

target_config decodeTarget(const document_value &Document, const std::string &Path,
                           finding_collector &Findings) {
  field_reader Reader(Document, Path, Findings);
  target_config Target;
  Reader.required("name", name_text{Target.Name});
  Reader.required("data_centre", name_text{Target.DataCentre});
  Reader.required("tunnel", Target.Tunnel);
  Reader.required("health", Target.Health);
  Reader.required("slots", bounded{Target.Slots, std::uint32_t{1}, MaxTargetSlots});
  Reader.optional("intent", Target.Intent);
  Reader.finish();
  return Target;
}

service_config decodeService(const document_value &Document, const std::string &Path,
                             finding_collector &Findings) {
  field_reader Reader(Document, Path, Findings);
  service_config Service;
  Reader.required("name", name_text{Service.Name});
  std::uint32_t Id = 0;
  Reader.required("id", bounded{Id, std::uint32_t{1}, MaxServiceId});
  Service.Id = service_id{Id};
  Reader.required("address", Service.Address);
  Reader.requiredElements("ports", [&](const document_value &Value, const std::string &Element) {
    Service.Ports.push_back(decodePort(Value, Element, Findings));
  });
  Reader.optionalElements("targets", [&](const document_value &Value, const std::string &Element) {
    Service.Targets.push_back(decodeTarget(Value, Element, Findings));
  });
  Reader.finish();
  return Service;
}

configuration decodeConfiguration(const document_value &Document, finding_collector &Findings) {
  field_reader Reader(Document, "", Findings);
  configuration Configuration;
  Reader.optional("version", bounded{Configuration.Version});
  Reader.requiredElements("services", [&](const document_value &Value, const std::string &Element) {
    Configuration.Services.push_back(decodeService(Value, Element, Findings));
  });
  Reader.finish();
  return Configuration;
}

patch decodePatch(const document_value &Document, finding_collector &Findings,
                  const patch_header &Header) {
  field_reader Reader(Document, "", Findings);
  patch Patch;
  if (!Header.Id && !Header.DefaultId)
    Reader.required("id", name_text{Patch.Id});
  else if (!Reader.optional("id", name_text{Patch.Id}) || Header.Id)
    Patch.Id = Header.Id ? *Header.Id : *Header.DefaultId;
  if (Header.Base) {
    Reader.optional("base", bounded{Patch.Base});
    Patch.Base = *Header.Base;
  } else {
    Reader.required("base", bounded{Patch.Base});
  }
  Reader.requiredElements("operations",
                          [&](const document_value &Value, const std::string &Element) {
                            Patch.Operations.push_back(decodeOperation(Value, Element, Findings));
                          });
  Reader.finish();
  return Patch;
}

} // namespace briarpoint
