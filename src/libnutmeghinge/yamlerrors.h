#pragma once

#include "documenterror.h"

#include <cstddef>
#include <string>
#include <vector>

namespace nutmeghinge {

/** Collects the errors of one YAML text, up to a limit. */
class YamlErrors
{
public:
    static constexpr std::size_t maximumErrors = 100;

    /** Adds an error. Errors beyond the limit are dropped, and sorted() appends an entry that says so. */
    void add(int line, std::string field, std::string reason);
    bool isEmpty() const { return m_errors.empty(); }
    /** Returns the errors sorted by line. */
    std::vector<DocumentError> sorted() const;

private:
    std::vector<DocumentError> m_errors;
    bool m_hasMore = false;
};

} // namespace nutmeghinge
