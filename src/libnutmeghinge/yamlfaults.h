#pragma once

#include "documentfault.h"

#include <cstddef>
#include <string>
#include <vector>

namespace nutmeghinge {

/** Collects the faults of one YAML text, up to a limit. */
class YamlFaults
{
public:
    static constexpr std::size_t maximumFaults = 100;

    /** Adds a fault; past the limit one last fault says that more are left out. */
    void add(int line, std::string field, std::string reason);
    bool isEmpty() const { return m_faults.empty(); }
    /** The faults in the order of their lines. */
    std::vector<DocumentFault> sorted() const;

private:
    std::vector<DocumentFault> m_faults;
    bool m_hasMore = false;
};

} // namespace nutmeghinge
