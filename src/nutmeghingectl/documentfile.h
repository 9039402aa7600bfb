#pragma once

#include "documentparser.h"

#include <optional>
#include <string>

namespace nutmeghinge {

/** Text of a document's file, cut one byte over the limit; nothing where it cannot be read. */
std::optional<std::string> readDocumentText(const std::string &path);
/** Reads and checks a document's file; one that cannot be read is a fault without a line. */
ParsedDocument readDocumentFile(const std::string &path);

/** The faults as "FILE:LINE: FIELD: REASON", one a line. */
std::string faultsText(const std::string &path, const std::vector<DocumentError> &faults);
/** The faults as a JSON list. */
std::string faultsJson(const std::vector<DocumentError> &faults);

} // namespace nutmeghinge
