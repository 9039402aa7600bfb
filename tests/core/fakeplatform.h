#pragma once

#include "effects.h"
#include "events.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace nutmeghinge {

/**
 * In-memory table of the platform with the rows of one cell. A write is conditional on the row's version. The table can be
 * restored from a copy: its versions go back, and its epoch rises.
 */
class FakePlatform
{
public:
    decltype(CellRowWriteFinished::result) write(const WriteCellRow &effect)
    {
        std::optional<VersionedCellRow> &stored = effect.epoch == epoch ? row : rowsOfEarlierEpochs[effect.epoch];
        const RowVersion present = stored ? stored->version : RowVersion(0);
        if (effect.expected != present) {
            return WriteConflict{};
        }
        ++writes;
        stored = VersionedCellRow{effect.row, RowVersion(++version), effect.epoch};
        if (effect.epoch == epoch) {
            rowsOfEarlierEpochs.clear();
            return RowWritten{stored->version};
        }
        // The answer shows another epoch than that of the call.
        return PlatformUnavailable{};
    }
    std::variant<VersionedCellRow, RowAbsent, PlatformUnavailable> read() const
    {
        if (row) {
            return *row;
        }
        for (auto earlier = rowsOfEarlierEpochs.rbegin(); earlier != rowsOfEarlierEpochs.rend(); ++earlier) {
            if (earlier->second) {
                return VersionedCellRow{earlier->second->row, RowVersion(0), earlier->first};
            }
        }
        return RowAbsent{};
    }
    std::variant<DocumentCopy, RowAbsent, PlatformUnavailable> readDocument(DocumentRevision known) const
    {
        if (document.revision == DocumentRevision()) {
            return RowAbsent{};
        }
        return document.revision > known ? document : DocumentCopy{document.revision, ""};
    }
    decltype(MemberRowWriteFinished::result) write(const WriteMemberRow &effect)
    {
        const auto present = members.find(effect.row.member.node);
        const RowVersion presentVersion = present == members.end() ? RowVersion(0) : present->second.version;
        if (effect.expected != presentVersion) {
            return MemberRowConflict{present == members.end() ? std::nullopt : std::optional(present->second)};
        }
        const RowVersion written(++version);
        members[effect.row.member.node] = {effect.row, written};
        return RowWritten{written};
    }
    std::vector<VersionedMemberRow> memberRows() const
    {
        std::vector<VersionedMemberRow> rows;
        for (const auto &[node, row] : members) {
            rows.push_back(row);
        }
        return rows;
    }
    /** Stores the text as the next revision of the document. */
    void put(std::string text) { document = DocumentCopy{DocumentRevision(document.revision.value() + 1), std::move(text)}; }

    /** Keeps a copy of what the nodes have written. */
    void keepCopy(Duration now) { m_copies.push_back({now, {version, row, rowsOfEarlierEpochs, members, epoch}}); }
    /** Restores the newest copy that is not younger than the given time, and begins a new epoch. */
    void restore(Duration time)
    {
        const auto younger = std::find_if(m_copies.begin(), m_copies.end(), [&](const auto &copy) { return copy.first > time; });
        Content content = younger == m_copies.begin() ? Content() : std::prev(younger)->second;
        m_copies.erase(younger, m_copies.end());
        version = content.version;
        members = std::move(content.members);
        rowsOfEarlierEpochs = std::move(content.rowsOfEarlierEpochs);
        rowsOfEarlierEpochs[content.epoch] = std::move(content.row);
        row.reset();
        epoch = TableEpoch(epoch.value() + 1);
    }

    bool down = false;
    /** Writes take effect, but their answers are lost. */
    bool losesAnswers = false;
    Duration delay = std::chrono::milliseconds(3);
    std::optional<VersionedCellRow> row;
    std::map<TableEpoch, std::optional<VersionedCellRow>> rowsOfEarlierEpochs;
    std::map<NodeName, VersionedMemberRow> members;
    DocumentCopy document;
    TableEpoch epoch;
    /** Version of the latest write; taken back by a restoration. */
    std::uint64_t version = 0;
    std::uint64_t writes = 0;

private:
    struct Content {
        std::uint64_t version = 0;
        std::optional<VersionedCellRow> row;
        std::map<TableEpoch, std::optional<VersionedCellRow>> rowsOfEarlierEpochs;
        std::map<NodeName, VersionedMemberRow> members;
        TableEpoch epoch;
    };

    std::vector<std::pair<Duration, Content>> m_copies;
};

} // namespace nutmeghinge
