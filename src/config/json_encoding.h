#ifndef BRIARPOINT_CONFIG_JSON_ENCODING_H
#define BRIARPOINT_CONFIG_JSON_ENCODING_H

#include "config/patch.h"

#include <nlohmann/json.hpp>

namespace briarpoint {

/// Encode a configuration, a part of it or a patch as JSON, in the form that the decoder reads.
nlohmann::json encode(const service_port &Port);
nlohmann::json encode(const target_config &Target);
nlohmann::json encode(const service_config &Service);
nlohmann::json encode(const configuration &Configuration);
nlohmann::json encode(const patch &Patch);

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_JSON_ENCODING_H
