#ifndef BRIARPOINT_CONFIG_DOCUMENT_CHECK_H
#define BRIARPOINT_CONFIG_DOCUMENT_CHECK_H

#include "config/configuration.h"
#include "config/finding_collector.h"

namespace briarpoint {

/// Returns the value at \p Path (such as "services[1].name"), or the innermost existing value that
/// encloses it.
const document_value &locate(const document_value &Document, std::string_view Path);

/// Validates a decoded configuration and orders its services by name.
/// \throws findings_error with the findings of the decoder or, if there are none, those of
/// validate() with their positions in the document.
configuration finishConfiguration(const document_value &Document, configuration Decoded,
                                  finding_collector &Findings);

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_DOCUMENT_CHECK_H
