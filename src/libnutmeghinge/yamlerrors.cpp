#include "yamlerrors.h"

#include <algorithm>

namespace nutmeghinge {

void YamlErrors::add(int line, std::string field, std::string reason)
{
    if (m_errors.size() == maximumErrors) {
        m_hasMore = true;
        return;
    }
    m_errors.push_back({line, std::move(field), std::move(reason)});
}

std::vector<DocumentError> YamlErrors::sorted() const
{
    std::vector<DocumentError> errors = m_errors;
    std::stable_sort(errors.begin(), errors.end(), [](const DocumentError &left, const DocumentError &right) { return left.line < right.line; });
    if (m_hasMore) {
        errors.push_back({0, {}, "further faults are left out"});
    }
    return errors;
}

} // namespace nutmeghinge
