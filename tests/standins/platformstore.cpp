#include "platformstore.h"

namespace nutmeghinge {

std::optional<TableRow> PlatformStore::row(const std::string &key) const
{
    const auto found = m_rows.find(key);
    if (found == m_rows.end()) {
        return std::nullopt;
    }
    return TableRow{key, RowVersion(found->second.version), found->second.value};
}

std::vector<TableRow> PlatformStore::rows(const std::string &prefix) const
{
    std::vector<TableRow> result;
    for (auto row = m_rows.lower_bound(prefix); row != m_rows.end() && row->first.starts_with(prefix); ++row) {
        result.push_back({row->first, RowVersion(row->second.version), row->second.value});
    }
    return result;
}

std::uint64_t PlatformStore::versionOf(const std::string &key) const
{
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? 0 : found->second.version;
}

std::variant<PlatformStore::Versions, PlatformStore::Conflicts> PlatformStore::transact(const Transaction &transaction)
{
    Conflicts conflicts;
    for (const RowCondition &condition : transaction.conditions) {
        const RowVersion current(versionOf(condition.key));
        if (current != condition.version) {
            conflicts.push_back({condition.key, current});
        }
    }
    if (!conflicts.empty()) {
        return conflicts;
    }
    ++m_lastVersion;
    Versions versions;
    for (const RowWrite &write : transaction.writes) {
        m_rows[write.key] = {m_lastVersion, write.value};
        versions[write.key] = m_lastVersion;
    }
    for (const std::string &key : transaction.deletes) {
        m_rows.erase(key);
    }
    return versions;
}

bool PlatformStore::putObject(const std::string &name, std::string content)
{
    return m_objects.emplace(name, std::move(content)).second;
}

std::optional<std::string> PlatformStore::object(const std::string &name) const
{
    const auto found = m_objects.find(name);
    if (found == m_objects.end()) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace nutmeghinge
