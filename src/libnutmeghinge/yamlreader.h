#pragma once

#include "documenterror.h"
#include "yamlerrors.h"
#include "yamlmapping.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace nutmeghinge {

/**
 * Parses one YAML text and collects all errors found while its fields are read, each
 * with its line and field path.
 */
class YamlReader
{
public:
    /** Maximum size of a text; bytes. */
    static constexpr std::size_t maximumBytes = 262144;

    /** If the text is not a YAML mapping, an error is added and the root is empty. */
    explicit YamlReader(std::string_view text);
    YamlReader(const YamlReader &) = delete;
    YamlReader &operator=(const YamlReader &) = delete;

    /** Returns the top-level fields; valid as long as the reader exists. */
    YamlMapping &root() { return m_root; }
    /** Returns whether the text could be parsed, so that its fields can be read. */
    bool isReadable() const { return m_isReadable; }
    bool hasErrors() const { return !m_errors.isEmpty(); }
    /** Returns the errors sorted by line. */
    std::vector<DocumentError> errors() const { return m_errors.sorted(); }

private:
    bool parse(std::string_view text);
    bool reject(int line, const char *reason);

    YamlErrors m_errors;
    YamlMapping m_root;
    bool m_isReadable = false;
};

} // namespace nutmeghinge
