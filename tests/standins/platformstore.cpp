#include "platformstore.h"

#include <algorithm>
#include <iterator>

namespace nutmeghinge {

namespace {

constexpr Duration copyLifetime = std::chrono::seconds(30);

} // namespace

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

void PlatformStore::keepCopy(Duration now)
{
    std::erase_if(m_copies, [&](const Copy &copy) { return copy.at < now - copyLifetime; });
    m_copies.push_back({now, m_lastVersion, m_rows});
}

void PlatformStore::restore(Duration time, const std::string &keptPrefix)
{
    const auto younger = std::find_if(m_copies.begin(), m_copies.end(), [&](const Copy &copy) { return copy.at > time; });
    const Copy copy = younger == m_copies.begin() ? Copy() : *std::prev(younger);
    m_copies.erase(younger, m_copies.end());
    ++m_restorations;
    std::map<std::string, Row> kept;
    std::copy_if(m_rows.begin(), m_rows.end(), std::inserter(kept, kept.end()), [&](const auto &row) { return row.first.starts_with(keptPrefix); });
    m_rows = copy.rows;
    m_lastVersion = copy.lastVersion;
    for (const auto &[key, row] : kept) {
        m_rows[key] = {++m_lastVersion, row.value};
    }
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
