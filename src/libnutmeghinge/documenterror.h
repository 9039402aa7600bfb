#pragma once

#include <string>

namespace nutmeghinge {

/** One error in a document or settings file. */
struct DocumentError {
    /** Line number from 1; 0 if the error has no line. */
    int line = 0;
    /** Path of the field, such as "targets.allow"; empty if the error concerns the whole file. */
    std::string field;
    /** What is wrong, worded to follow the field's path. */
    std::string reason;

    friend bool operator==(const DocumentError &, const DocumentError &) = default;
};

} // namespace nutmeghinge
