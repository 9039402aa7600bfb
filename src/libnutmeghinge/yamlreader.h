#pragma once

#include "documentfault.h"
#include "yamlfaults.h"
#include "yamlmapping.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace nutmeghinge {

/**
 * Checked reading of one YAML text: the text is parsed once, and every fault that
 * is found while its fields are read is kept with its line and field path.
 */
class YamlReader
{
public:
    static constexpr std::size_t maximumBytes = 262144;

    /** A text that is no YAML mapping is a fault, and its root is empty. */
    explicit YamlReader(std::string_view text);
    YamlReader(const YamlReader &) = delete;
    YamlReader &operator=(const YamlReader &) = delete;

    /** The text's fields; valid as long as the reader. */
    YamlMapping &root() { return m_root; }
    /** The text could be parsed, so that its fields mean something. */
    bool isReadable() const { return m_isReadable; }
    bool hasFaults() const { return !m_faults.isEmpty(); }
    std::vector<DocumentFault> faults() const { return m_faults.sorted(); }

private:
    bool parse(std::string_view text);
    bool reject(int line, const char *reason);

    YamlFaults m_faults;
    YamlMapping m_root;
    bool m_isReadable = false;
};

} // namespace nutmeghinge
