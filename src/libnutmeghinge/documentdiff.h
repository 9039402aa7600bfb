#pragma once

#include "document.h"

#include <string>
#include <vector>

namespace nutmeghinge {

/** One field in which two documents differ. */
struct DocumentChange {
    /** Path of the field, such as "targets.allow". */
    std::string field;
    /** Values as text; empty where the field is absent. */
    std::string before;
    std::string after;
    /** What the change does, in one line for an operator. */
    std::string effect;

    friend bool operator==(const DocumentChange &, const DocumentChange &) = default;
};

/** Every field in which the documents differ, in the order of the document's fields. */
std::vector<DocumentChange> differenceOf(const Document &before, const Document &after);

} // namespace nutmeghinge
