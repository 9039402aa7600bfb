#pragma once

#include "document.h"

#include <string>
#include <vector>

namespace nutmeghinge {

/** Change of one field between two documents. */
struct DocumentChange {
    /** Path of the field, such as "targets.allow". */
    std::string field;
    /** Old and new value as text; empty if the field is absent. */
    std::string before;
    std::string after;
    /** Effect of the change, as one line for the operator. */
    std::string effect;

    friend bool operator==(const DocumentChange &, const DocumentChange &) = default;
};

/** Returns the changes of all fields that differ, in the order of the document's fields. */
std::vector<DocumentChange> differenceOf(const Document &before, const Document &after);

} // namespace nutmeghinge
