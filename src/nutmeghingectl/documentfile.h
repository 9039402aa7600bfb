#pragma once

#include "documentparser.h"

#include <optional>
#include <string>

namespace nutmeghinge {

/** Reads the text of a document file, truncated one byte over the size limit; std::nullopt if the file cannot be read. */
std::optional<std::string> readDocumentText(const std::string &path);
/** Reads and parses a document file. A file that cannot be read is reported as an error without a line number. */
ParsedDocument readDocumentFile(const std::string &path);

/** Formats the errors as "FILE:LINE: FIELD: REASON", one per line. */
std::string errorsText(const std::string &path, const std::vector<DocumentError> &errors);
/** Formats the errors as a JSON list. */
std::string errorsJson(const std::vector<DocumentError> &errors);

} // namespace nutmeghinge
