#include "yamlfaults.h"

#include <algorithm>

namespace nutmeghinge {

void YamlFaults::add(int line, std::string field, std::string reason)
{
    if (m_errors.size() == maximumErrors) {
        m_hasMore = true;
        return;
    }
    m_errors.push_back({line, std::move(field), std::move(reason)});
}

std::vector<DocumentFault> YamlFaults::sorted() const
{
    std::vector<DocumentFault> faults = m_errors;
    std::stable_sort(faults.begin(), faults.end(), [](const DocumentFault &left, const DocumentFault &right) { return left.line < right.line; });
    if (m_hasMore) {
        faults.push_back({0, {}, "further faults are left out"});
    }
    return faults;
}

} // namespace nutmeghinge
