#ifndef BRIARPOINT_CONFIG_CONFIG_DECODER_H
#define BRIARPOINT_CONFIG_CONFIG_DECODER_H

#include "config/finding_collector.h"
#include "config/patch.h"
#include "config/patch_header.h"

namespace briarpoint {

/// Decode functions for JSON and TOML documents. They report errors to \p Findings and return a
/// value that is complete only if there are no findings.
configuration decodeConfiguration(const document_value &Document, finding_collector &Findings);
service_config decodeService(const document_value &Document, const std::string &Path,
                             finding_collector &Findings);
target_config decodeTarget(const document_value &Document, const std::string &Path,
                           finding_collector &Findings);
patch decodePatch(const document_value &Document, finding_collector &Findings,
                  const patch_header &Header = {});

} // namespace briarpoint

#endif // BRIARPOINT_CONFIG_CONFIG_DECODER_H
