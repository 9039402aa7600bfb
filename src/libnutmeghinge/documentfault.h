#pragma once

#include <string>

namespace nutmeghinge {

/** One fault of a document or settings file. */
struct DocumentFault {
    /** Line from 1; 0 where the fault has no line. */
    int line = 0;
    /** Path of the field, such as "targets.allow"; empty for the whole file. */
    std::string field;
    std::string reason;

    friend bool operator==(const DocumentFault &, const DocumentFault &) = default;
};

} // namespace nutmeghinge
