#pragma once

#include "documentparser.h"

#include <string>

namespace nutmeghinge {

/** Reads and checks a document's file; one that cannot be read is a fault without a line. */
ParsedDocument readDocumentFile(const std::string &path);

/** The faults as "FILE:LINE: FIELD: REASON", one a line. */
std::string faultsText(const std::string &path, const std::vector<DocumentFault> &faults);
/** The faults as a JSON list. */
std::string faultsJson(const std::vector<DocumentFault> &faults);

} // namespace nutmeghinge
