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

class YamlFaults;

/**
 * The fields of one mapping. Each is read by its name and type; a field that is
 * absent or faulty leaves the value as it is. Faults go to the list that the
 * mapping was made with, which must outlive it.
 */
class YamlMapping
{
public:
    /** Why a text cannot be a value; nothing where it can. */
    using TextCheck = std::optional<std::string> (*)(std::string_view text);

    /** A mapping without fields. */
    explicit YamlMapping(YamlFaults &faults);
    /** The node must be a mapping. */
    YamlMapping(YamlFaults &faults, std::string path, int line, const YAML::Node &node);

    bool has(std::string_view name) const;
    /** Reports the field if it is absent. */
    void require(std::string_view name);
    /** Reports every field that nothing has asked for. */
    void reportUnknown();
    /** Reports a fault of the field. */
    void fault(std::string_view name, std::string reason);

    /** Returns whether the value was read. */
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

    /** One of several words, each of which stands for a value. */
    template <typename Value>
    void choice(std::string_view name, Value &value, const std::vector<std::pair<std::string_view, Value>> &words)
    {
        std::vector<std::string_view> names;
        for (const auto &word : words) {
            names.push_back(word.first);
        }
        if (const std::optional<std::size_t> chosen = position(name, names)) {
            value = words[*chosen].second;
        }
    }

    /** The fields of a mapping in this one; none where the field is absent or faulty. */
    YamlMapping mapping(std::string_view name);
    /** The mappings of a list. */
    std::vector<YamlMapping> mappings(std::string_view name);

private:
    struct Field {
        std::string name;
        YAML::Node value;
        int line = 0;
        bool isKnown = false;
    };

    void addFields(const YAML::Node &node);
    const Field *find(std::string_view name) const;
    const Field *take(std::string_view name);
    const Field *takeScalar(std::string_view name, const char *expected);
    std::string pathOf(std::string_view name) const;
    std::optional<std::uint64_t> wholeNumber(std::string_view name, std::uint64_t lowest, std::uint64_t highest);
    std::optional<std::size_t> position(std::string_view name, const std::vector<std::string_view> &words);
    void addText(std::vector<std::string> &values, const YAML::Node &item, const std::string &path, TextCheck check);

    YamlFaults *m_faults;
    std::string m_path;
    int m_line = 0;
    std::vector<Field> m_fields;
};

} // namespace nutmeghinge
