#pragma once

#include "platformtable.h"
#include "units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace nutmeghinge {

/** In-memory table rows and objects of the platform stand-in. */
class PlatformStore
{
public:
    struct Transaction {
        std::vector<RowCondition> conditions;
        std::vector<RowWrite> writes;
        std::vector<std::string> deletes;
    };
    /** New versions of the written rows, by key. */
    using Versions = std::map<std::string, std::uint64_t>;
    /** Keys and current versions of the rows whose condition failed; version 0 if the row is absent. */
    using Conflicts = std::vector<RowCondition>;

    /** Returns the row; empty if it is absent. */
    std::optional<TableRow> row(const std::string &key) const;
    /** Returns the rows whose key starts with the prefix, in the order of their keys. */
    std::vector<TableRow> rows(const std::string &prefix) const;
    /** Applies the whole transaction if all its conditions hold, else nothing. */
    std::variant<Versions, Conflicts> transact(const Transaction &transaction);

    /** Keeps the rows as they are now, for restore(). now: time since any fixed moment. */
    void keepCopy(Duration now);
    /**
     * Restores the rows of the last copy that was kept by the given time; later versions are given out again. Rows with the
     * prefix stay as they are, as if their writers had written them again.
     */
    void restore(Duration time, const std::string &keptPrefix);
    /** Returns how often the rows were restored. */
    std::uint64_t restorations() const { return m_restorations; }

    /** Stores an object. Returns false and changes nothing if an object of that name exists. */
    bool putObject(const std::string &name, std::string content);
    /** Returns the content of the object; empty if it is absent. */
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
    struct Copy {
        Duration at{0};
        std::uint64_t lastVersion = 0;
        std::map<std::string, Row> rows;
    };
    /** In the order of their times. */
    std::vector<Copy> m_copies;
    std::uint64_t m_restorations = 0;
};

} // namespace nutmeghinge
