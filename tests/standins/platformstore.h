#pragma once

#include "platformtable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace nutmeghinge {

/** Rows and objects of the platform, in memory. */
class PlatformStore
{
public:
    struct Transaction {
        std::vector<RowCondition> conditions;
        std::vector<RowWrite> writes;
        std::vector<std::string> deletes;
    };
    /** Versions of the rows that were written. */
    using Versions = std::map<std::string, std::uint64_t>;
    /** Present versions of the rows whose condition failed; 0 for an absent one. */
    using Conflicts = std::vector<RowCondition>;

    std::optional<TableRow> row(const std::string &key) const;
    std::vector<TableRow> rows(const std::string &prefix) const;
    /** Applies all of the transaction or nothing. */
    std::variant<Versions, Conflicts> transact(const Transaction &transaction);

    /** Returns false, and changes nothing, where there is one of that name. */
    bool putObject(const std::string &name, std::string content);
    std::optional<std::string> object(const std::string &name) const;

private:
    struct Row {
        std::uint64_t version = 0;
        std::string value;
    };

    std::uint64_t versionOf(const std::string &key) const;

    std::uint64_t m_lastVersion = 0;
    std::map<std::string, Row> m_rows;
    std::map<std::string, std::string> m_objects;
};

} // namespace nutmeghinge
