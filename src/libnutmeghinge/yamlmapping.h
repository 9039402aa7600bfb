#pragma once

#include "units.h"

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace nutmeghinge {

class YamlErrors;

/**
 * Reads the fields of one YAML mapping by name and type. If a field is absent or
 * invalid, the value passed in is left unchanged. Errors are added to the list given
 * to the constructor, which must outlive the mapping.
 */
class YamlMapping
{
public:
    /** Returns the reason why a text is invalid, or nothing if it is valid. */
    using TextCheck = std::optional<std::string> (*)(std::string_view text);

    /** Creates a mapping without fields. */
    explicit YamlMapping(YamlErrors &errors);
    /** The node must be a mapping. */
    YamlMapping(YamlErrors &errors, std::string path, int line, const YAML::Node &node);

    bool has(std::string_view name) const;
    /** Adds an error if the field is absent. */
    void require(std::string_view name);
    /** Adds an error for every field that was not read. */
    void reportUnknown();
    /** Adds an error for the field. */
    void addError(std::string_view name, std::string reason);

    /** Reads a text field that passes the check. Returns whether the value was set. */
    bool text(std::string_view name, std::string &value, TextCheck check);
    void texts(std::string_view name, std::vector<std::string> &values, TextCheck check);
    void flag(std::string_view name, bool &value);
    void ratio(std::string_view name, double &value, double lowest, double highest);
    void duration(std::string_view name, Duration &value, Duration lowest, Duration highest);
    bool time(std::string_view name, WallTime &value);

    template <std::unsigned_integral Number>
    void number(std::string_view name, Number &value, std::uint64_t lowest, std::uint64_t highest)
    {
        if (const std::optional<std::uint64_t> read = wholeNumber(name, lowest, std::min<std::uint64_t>(highest, std::numeric_limits<Number>::max()))) {
            value = static_cast<Number>(*read);
        }
    }

    /** Reads a field that must be one of the given words; each word stands for a value. */
    template <typename Value>
    void choice(std::string_view name, Value &value, const std::vector<std::pair<std::string_view, Value>> &words)
    {
        std::vector<std::string_view> names;
        names.reserve(words.size());
        for (const auto &word : words) {
            names.push_back(word.first);
        }
        if (const std::optional<std::size_t> chosen = wordPosition(name, names)) {
            value = words[*chosen].second;
        }
    }

    /** Returns a nested mapping; it has no fields if the field is absent or invalid. */
    YamlMapping mapping(std::string_view name);
    /** Returns the mappings of a list field; items that are not mappings are reported and left out. */
    std::vector<YamlMapping> mappings(std::string_view name);

private:
    struct Field {
        std::string name;
        YAML::Node value;
        int line = 0;
        /** True if the field was read; reportUnknown() reports the others. */
        bool isKnown = false;
    };

    void addFields(const YAML::Node &node);
    const Field *find(std::string_view name) const;
    /** Finds a field and marks it as known. */
    const Field *take(std::string_view name);
    /** Same as take(), but adds an error and returns null if the value is not a scalar. */
    const Field *takeScalar(std::string_view name, const char *expected);
    std::string pathOf(std::string_view name) const;
    std::optional<std::uint64_t> wholeNumber(std::string_view name, std::uint64_t lowest, std::uint64_t highest);
    /** Returns the index of the word that the field contains. */
    std::optional<std::size_t> wordPosition(std::string_view name, const std::vector<std::string_view> &words);
    void addText(std::vector<std::string> &values, const YAML::Node &item, const std::string &path, TextCheck check);

    YamlErrors *m_errors;
    std::string m_path;
    int m_line = 0;
    std::vector<Field> m_fields;
};

} // namespace nutmeghinge
